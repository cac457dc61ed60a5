package controlplane

import (
	"time"

	"lichentray/coordination"
	"lichentray/registry"
)

// maxAcceptedDigests is for how many versions it is remembered which configuration
// was accepted: a day and a half of 5,500 changes a day, some 200 bytes each.
const maxAcceptedDigests = 8192

// departureRetention is how long the marker of an endpoint that announced its end is kept: as long as
// a heartbeat that the endpoint sent before may be on its way.
const departureRetention = coordination.MaxCallDelay

// compactionDivisor is the part of the retention that passes between two compactions, as a divisor.
const compactionDivisor = 4

// historyCompactor forgets, at the leader, history that nobody may ask for any more.
// The replicated state holds no time, so it remembers which revision was reached
// when.
type historyCompactor struct {
	*environment
	state *sharedState
}

// revisionHistory is which revision was reached when, oldest first, see loopState.
type revisionHistory struct {
	revisions   []revisionTime
	compactedAt time.Duration
}

// revisionTime is when this node first saw a revision.
type revisionTime struct {
	at       time.Duration
	revision uint64
}

// watchRetention is how long the events of a watch are kept: with a margin, as a caller counts from
// when it received the revision that it asks for.
func (h *historyCompactor) watchRetention() time.Duration {
	return h.settings.Bounds.HistoryRetention.Duration() * 3 / 2
}

// record remembers the present revision, at most once a second.
func (h *historyCompactor) record(state *loopState, now time.Duration) {
	history := &state.history
	if n := len(history.revisions); n > 0 && now-history.revisions[n-1].at < time.Second {
		return
	}
	history.forgetBefore(now - max(h.watchRetention(), departureRetention))
	history.revisions = append(history.revisions, revisionTime{at: now, revision: h.state.onLoop(state).store.Revision()})
}

// compact proposes to forget what is older than its retention.
func (h *historyCompactor) compact(state *loopState, now time.Duration) {
	history := &state.history
	if now-history.compactedAt < min(h.watchRetention(), departureRetention)/compactionDivisor {
		return
	}
	history.compactedAt = now
	if before, isKnown := history.reachedBy(now - h.watchRetention()); isKnown {
		state.proposeWithoutWaiting(registry.Command{Coordination: &coordination.Command{
			Operation:     coordination.CompactHistory,
			CompactBefore: before,
		}})
	}
	departedBefore, _ := history.reachedBy(now - departureRetention)
	if txn := expiryTxn(h.state.onLoop(state).store, departedBefore); len(txn.Then) > 0 {
		state.proposeWithoutWaiting(registry.Command{Txn: txn})
	}
}

// reachedBy returns the newest revision that this node had seen before an instant; isKnown is false if
// it does not reach back so far.
func (h *revisionHistory) reachedBy(instant time.Duration) (revision uint64, isKnown bool) {
	for _, r := range h.revisions {
		if r.at >= instant {
			break
		}
		revision = r.revision
		isKnown = true
	}
	return revision, isKnown
}

// forgetBefore forgets what reachedBy needs for no instant from the given one on.
func (h *revisionHistory) forgetBefore(instant time.Duration) {
	superseded := 0
	for superseded+1 < len(h.revisions) && h.revisions[superseded+1].at < instant {
		superseded++
	}
	h.revisions = append(h.revisions[:0], h.revisions[superseded:]...)
}

// expiryTxn returns a transaction that deletes the markers of endpoints that departed
// up to a revision, and the digests of accepted configurations beyond the newest ones.
func expiryTxn(store *registry.Store, before uint64) *registry.Txn {
	txn := &registry.Txn{}
	expire := func(o registry.Object) {
		deletion := deleteIfUnchanged(o)
		txn.If = append(txn.If, deletion.If...)
		txn.Then = append(txn.Then, deletion.Then...)
	}
	for _, o := range store.List(registry.DepartedPrefix) {
		if o.ModRevision <= before {
			expire(o)
		}
	}
	digests := store.List(registry.AcceptedConfigPrefix)
	if len(digests) > maxAcceptedDigests {
		for _, o := range digests[:len(digests)-maxAcceptedDigests] {
			expire(o)
		}
	}
	return txn
}
