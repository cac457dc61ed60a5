package controlplane

import (
	"time"

	"lichentray/internal/transport"
	"lichentray/loadbalance"
)

// reportAggregator exchanges the reports of proxies between nodes. Every node sums the reports of
// the proxies connected to it and sends the result to the leader. The leader sends every node the
// totals over all nodes, the quotas and the verdicts.
type reportAggregator struct {
	*environment
	peers    *peerPool
	watches  *watchServer
	health   *healthMonitor
	rollouts *rolloutController
	quotas   *quotaAllocator
}

// nodeReport is the report of one node about the proxies connected to it. The leader keeps the
// newest report of each other node, keyed by member ID, see loopState.
type nodeReport struct {
	// sequences holds the sequence number of the newest report of each proxy, keyed by name.
	sequences   map[string]uint64
	loads       map[string]loadbalance.Load        // by service
	rollouts    map[string]transport.RolloutReport // by service
	incarnation uint64                             // of the node
	receivedAt  time.Duration
}

// becomeLeader discards the reports from an earlier term of this node as leader. The nodes report
// again.
func (a *reportAggregator) becomeLeader(state *loopState) {
	state.nodeReports = map[uint64]nodeReport{}
}

// recordNode records the report of another node.
func (a *reportAggregator) recordNode(state *loopState, id uint64, aggregate *transport.ProxyAggregate) {
	now := a.now()
	state.nodeReports[id] = nodeReport{
		sequences:   aggregate.Here,
		loads:       aggregate.Loads,
		rollouts:    aggregate.Trials,
		incarnation: aggregate.Life,
		receivedAt:  now,
	}
	a.health.addObservations(aggregate.Seen)
	state.proxyLeases.renew(now, aggregate.Here)
}

// exchange sends this node's report to the leader or, on the leader, sends the totals over all
// nodes to every member.
func (a *reportAggregator) exchange(state *loopState, now time.Duration) {
	own, observations := a.watches.collectReports(state, now)
	if !state.isLeader() {
		a.peers.enqueue(a.peers.addrOf(state.raft.LeaderID()), &transport.Frame{Proxies: &transport.ProxyAggregate{
			Here:   own.sequences,
			Loads:  own.loads,
			Seen:   observations,
			Trials: own.rollouts,
			Life:   a.incarnation,
		}})
		return
	}
	state.proxyLeases.renew(now, own.sequences)
	total := a.sumReports(state, now, own)
	state.rollouts.reported = total.rollouts
	summary := proxySummary{
		proxies:  len(total.sequences),
		loads:    total.loads,
		quotas:   a.quotas.allocate(state, now, total.sequences),
		verdicts: a.health.verdicts(state, now, observations),
	}
	a.watches.setSummary(summary)
	for _, m := range state.raft.Membership().AllMembers() {
		a.peers.enqueue(m.Addr, &transport.Frame{Proxies: &transport.ProxyAggregate{
			Sum:      summary.proxies,
			Loads:    summary.loads,
			Rounds:   summary.quotas,
			Verdicts: summary.verdicts,
		}})
	}
}

// sumReports adds the reports of the other nodes to this node's own report, which it modifies,
// and discards the reports of nodes that no longer report.
func (a *reportAggregator) sumReports(state *loopState, now time.Duration, own nodeReport) nodeReport {
	a.rollouts.recordReports(state, own.incarnation, own.rollouts)
	for id, report := range state.nodeReports {
		if now-report.receivedAt > a.timing.DeadMemberTimeout {
			delete(state.nodeReports, id)
			continue
		}
		for proxy, sequence := range report.sequences {
			own.sequences[proxy] = max(own.sequences[proxy], sequence)
		}
		mergeLoads(own.loads, report.loads)
		a.rollouts.recordReports(state, report.incarnation, report.rollouts)
		mergeRolloutProgress(own.rollouts, report.rollouts)
	}
	return own
}

func mergeLoads(to, from map[string]loadbalance.Load) {
	for service, load := range from {
		to[service] = to[service].Add(load)
	}
}
