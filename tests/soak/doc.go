// Package soak runs the programs as processes on the loopback under faults that are drawn from a
// seed: kills, pauses, restarts and hang-ups in series, partitions, lost answers, emptied disks and
// changes of the seed nodes, two or three of them at a time, while clients, endpoints, an operator
// and applications are at work. Some endpoints sign off, and a heartbeat from before comes late. Clients and holders of locks keep their connections open until
// the process is gone.
//
// The deployment is a core of three control-plane nodes with disks, three relays and two proxy
// nodes. Drawn are how many of its first seeds have no disk, how many zones it has, whether its
// settings name the optional bounds, and whether everything is killed at the first acknowledged
// configuration. A forwarder of this package stands before each control-plane node (setting bind_ip), so
// that a node can be cut off from the others while its process runs.
//
// What holds at any time is checked all the while: see the methods of checks. Once all faults are
// over, everything has to work again within recoveryBound, and no process may have counted a
// violation of one of its own invariants.
//
// The test runs a few short seeds. Longer runs:
//
//	go test ./tests/soak -count=1 -timeout 2h -soak.first 100 -soak.seeds 50 -soak.duration 30s
//
// Several runs on one machine need a -soak.subnet each. -soak.proxies and -soak.relays make the
// deployment as large as the machine bears.
package soak
