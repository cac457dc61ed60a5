// Package controlplane implements a control-plane node: one member of the Raft
// group that holds the registry, and the server that proxies, relays and other
// members connect to.
//
// A Node joins consensus (package raft), the replicated registry (package
// registry) with its watch cache, the disk and the peer connections. Package api
// serves a node's exported methods over HTTP; cmd/lichentray-controlplane starts
// and stops it. The package serves no HTTP itself, does not compute placement,
// verdicts or configuration (see loadbalance, rollout, config), and never reads
// the time of day: all instants are durations since the node's start on the
// monotonic clock.
//
// # Parts
//
// Each part of a node is a type with its own file:
//
//   - eventLoop runs the tasks that touch consensus, one at a time
//   - sharedState holds the replicated state and everything derived from it
//   - proposer puts commands and linearizable reads through the leader
//   - logWriter makes log entries, votes and snapshots durable
//   - snapshotter compacts the log and restores received snapshots
//   - membershipManager decides who votes, and handles joins and departures
//   - peerPool keeps the connections to the other members
//   - watchServer serves the lists and watches of proxies
//   - healthMonitor tracks endpoint heartbeats and removes crashed endpoints
//   - coordination.LeaseTimers know which coordination locks have expired
//   - rolloutController advances roll-outs
//   - quotaAllocator shares out what endpoints that warm up may receive
//   - proxyDirectory, zoneEvacuator, configurationStore, groupWatchers and
//     auditSink serve the remaining calls
//   - historyCompactor forgets history that nobody may ask for any more
//   - reportAggregator sums what proxies report, over all nodes
//
// # Concurrency
//
// The event loop is one goroutine. State that belongs to it is in loopState, which
// only loop tasks receive; a method that takes a *loopState runs there. State that
// several goroutines use stands behind the mutex of the type that holds it. Locks are
// held briefly and never while waiting for a peer, the disk or the loop. One is held
// for longer: that of listEncoding, while the list is encoded for all who wait for it.
// Where two are held, the order is: listEncoding before sharedState; sharedState or
// watchServer before healthMonitor or rolloutController; groupWatchers before its
// wakeups; peerPool before peerConnection.
//
// Further goroutines: the log writer, the listener, one for each connection accepted
// and one for each stream on it, two for each peer connection, and short-lived ones
// for health checks, requests of peers and writes that proxies ask for. All of them
// end when Close cancels the node's context, and Close waits for them.
//
// # Out of contact
//
// A node that loses contact with the majority goes on as follows; the limits are those
// of Timing, and docs/notes/worst-days.md has the cases and their reasons.
//
//   - A leader that no majority answers for ElectionTimeout steps down (tickLeader of
//     raft).
//   - Bookmarks to proxies pause, and streams to relays and watches of cells end, once
//     the contact is older than upToDateWindow (consensusView.isUpToDate). A proxy then
//     looks for another node.
//   - A heartbeat that writes nothing is rejected after ConnectionTimeout
//     (updateEndpoint), so that the endpoint reports to a node that the leader hears.
//     A drain or departure that is known here is still acknowledged.
//   - Calls that need the leader wait for one while they have time. After
//     callRejectionDelay they are rejected at once (proposer.waitToRetry).
//   - The directory answers on from what it holds, but does not deny that a host exists
//     (checkHost).
//
// Proxies serve on with the configuration and the endpoints they have.
package controlplane
