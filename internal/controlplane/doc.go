// Package controlplane implements a control-plane node: a member of the Raft group that
// replicates the registry, and the server that proxies, relays and other members connect to.
//
// A Node connects consensus (package raft), the replicated registry (package registry) with
// its watch cache, the store on disk and the peer connections. Package api serves a node's
// exported methods over HTTP; cmd/lichentray-controlplane starts and stops the node. This
// package serves no HTTP itself, does not select endpoints or proxies, judge rollouts or
// compile configuration (see loadbalance, rollout, config), and never reads the wall clock:
// all instants are durations since the node's start on the monotonic clock.
//
// # Components
//
// Each component of a node is a type in its own file:
//
//   - eventLoop runs the tasks that access consensus, one at a time
//   - sharedState holds the replicated state and everything derived from it
//   - proposer executes commands and linearizable reads through the leader
//   - logWriter makes log entries, votes and snapshots durable
//   - snapshotter compacts the log and restores received snapshots
//   - membershipManager decides which members vote, and handles joins and departures
//   - peerPool maintains the connections to the other members
//   - watchServer serves the lists and watches of proxies
//   - healthMonitor tracks endpoint heartbeats and removes crashed endpoints
//   - coordination.LeaseTimers tracks which coordination locks have expired
//   - rolloutController advances rollouts
//   - quotaAllocator divides among proxies the load that endpoints may receive during warm-up
//   - proxyDirectory, zoneEvacuator, configurationStore, groupWatchers and
//     auditSink serve the remaining calls
//   - historyCompactor discards history that can no longer be requested
//   - reportAggregator sums the reports of proxies over all nodes
//
// # Concurrency
//
// The event loop is a single goroutine. Its state is in loopState, which only loop tasks
// receive; a method that takes a *loopState runs on the loop. State shared by several
// goroutines is protected by the mutex of the type that holds it. Locks are held briefly and
// never while waiting for a peer, the disk or the loop. The exception is the lock of
// listEncoding, which is held while the list is encoded for all requests that wait for it.
// Where two locks are held, the order is: listEncoding before sharedState; sharedState or
// watchServer before healthMonitor or rolloutController; groupWatchers before its wakeups;
// peerPool before peerConnection.
//
// The other goroutines are the log writer, the listener, one for each accepted connection and
// one for each stream on it, two for each peer connection, and short-lived ones for health
// checks, requests of peers and writes requested by proxies. All of them end when Close
// cancels the node's context, and Close waits for them.
//
// # Loss of quorum contact
//
// A node that loses contact with the majority continues as follows. The limits are those of
// Timing, and docs/notes/worst-days.md has the cases and their reasons.
//
//   - A leader that receives no response from a majority for ElectionTimeout steps down
//     (tickLeader of raft).
//   - Once the last contact is older than upToDateWindow (consensusView.isUpToDate), bookmarks
//     to proxies pause, and streams to relays and watches of cells end. A proxy then connects
//     to another node.
//   - A heartbeat that writes nothing is rejected after ConnectionTimeout (updateEndpoint), so
//     that the endpoint reports to a node that is in contact with the leader. A drain or
//     departure that this node has already applied is still acknowledged.
//   - Calls that need the leader wait for one while enough time is left. After
//     callRejectionDelay they are rejected at once (proposer.waitToRetry).
//   - The directory continues to answer from the local state, but does not deny that a host
//     exists (checkHost).
//
// Proxies continue to serve with the configuration and the endpoints they have.
package controlplane
