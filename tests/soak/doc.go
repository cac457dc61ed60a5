// Package soak runs the built programs as processes on the loopback and injects overlapping faults
// generated from a seed: kills, pauses, rolling restarts and repeated SIGHUPs, network partitions,
// dropped responses, wiped disks and seed node changes, up to three at a time. One crowd after another
// of misbehaving clients meets a random node, and keeps its connections open. Meanwhile clients,
// endpoints, an operator and applications generate load. Some endpoints deregister, and one of their
// earlier heartbeats is delivered after that. Clients and lock holders keep their connections open until
// the process is gone.
//
// The deployment is a core of three control-plane nodes with disks, three relays and two proxy
// nodes. The seed also determines how many of the initial seed nodes have no disk, the number of zones,
// whether the settings include the optional bounds, and whether all processes are killed at the first
// acknowledged configuration. A TCP forwarder in this package listens in front of each control-plane
// node (setting bind_ip), so that a node can be partitioned from the others while its process runs.
//
// Safety properties are checked throughout the run: see the methods of checks. After the last fault,
// the deployment must recover fully within recoveryBound. No process may have reported an invariant
// violation, or exceeded the memory or the descriptors of its settings.
//
// By default the test runs a few short seeds. Longer runs:
//
//	go test ./tests/soak -count=1 -timeout 2h -soak.first 100 -soak.seeds 50 -soak.duration 30s
//
// Concurrent runs on one machine each need a different -soak.subnet. -soak.proxies and -soak.relays
// set the size of the deployment.
package soak
