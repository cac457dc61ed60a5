package controlplane

import (
	"time"

	"lichentray/internal/transport"
	"lichentray/loadbalance"
)

// reportAggregator exchanges what proxies report: every node sums the reports of the
// proxies that watch at it for the leader, and the leader sends every node the sums
// over all, its quotas and its verdicts.
type reportAggregator struct {
	*environment
	peers    *peerPool
	watches  *watchServer
	health   *healthMonitor
	rollouts *rolloutController
	quotas   *quotaAllocator
}

// nodeReport is what one node reports of the proxies that watch at it. The leader keeps
// the newest one of each other node, by member ID, see loopState.
type nodeReport struct {
	// sequences are the numbers of the newest report of each proxy, by name.
	sequences   map[string]uint64
	loads       map[string]loadbalance.Load        // by service
	rollouts    map[string]transport.RolloutReport // by service
	incarnation uint64                             // of the node
	receivedAt  time.Duration
}

// becomeLeader forgets what an earlier leadership knew; the nodes report again.
func (a *reportAggregator) becomeLeader(state *loopState) {
	state.nodeReports = map[uint64]nodeReport{}
}

// recordNode records what another node reports.
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

// exchange sends this node's report to the leader, or as the leader the sums over all
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

// sumReports adds the reports of the other nodes to this node's own one, which it
// changes, and drops those of nodes that do not report any more.
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
