package controlplane

import (
	"time"

	"lichentray/coordination"
	"lichentray/registry"
)

// maxAcceptedDigests is the number of configuration versions for which the digest of the accepted
// content is kept: about a day and a half at 5,500 changes a day, with some 200 bytes each.
const maxAcceptedDigests = 8192

// departureRetention is how long the departure marker of an endpoint is kept: as long as a
// heartbeat that the endpoint sent earlier may still be in transit.
const departureRetention = coordination.MaxCallDelay

// compactionDivisor is the divisor of the retention that gives the time between two compactions.
const compactionDivisor = 4

// historyCompactor discards, on the leader, history that can no longer be requested. The
// replicated state holds no timestamps, so the compactor records when each revision was reached.
type historyCompactor struct {
	*environment
	state *sharedState
}

// revisionHistory records when revisions were reached, oldest first, see loopState.
type revisionHistory struct {
	revisions   []revisionTime
	compactedAt time.Duration
}

// revisionTime is a revision and when this node first observed it.
type revisionTime struct {
	at       time.Duration
	revision uint64
}

// watchRetention is how long the events of a watch are kept. It has a margin because a caller
// counts from when it received the revision that it asks for.
func (h *historyCompactor) watchRetention() time.Duration {
	return h.settings.Bounds.HistoryRetention.Duration() * 3 / 2
}

// record records the current revision, at most once a second.
func (h *historyCompactor) record(state *loopState, now time.Duration) {
	history := &state.history
	if n := len(history.revisions); n > 0 && now-history.revisions[n-1].at < time.Second {
		return
	}
	history.pruneBefore(now - max(h.watchRetention(), departureRetention))
	history.revisions = append(history.revisions, revisionTime{at: now, revision: h.state.onLoop(state).store.Revision()})
}

// compact proposes to discard the history that is older than its retention.
func (h *historyCompactor) compact(state *loopState, now time.Duration) {
	history := &state.history
	if now-history.compactedAt < min(h.watchRetention(), departureRetention)/compactionDivisor {
		return
	}
	history.compactedAt = now
	if before, isKnown := history.revisionBefore(now - h.watchRetention()); isKnown {
		state.proposeWithoutWaiting(registry.Command{Coordination: &coordination.Command{
			Operation:     coordination.CompactHistory,
			CompactBefore: before,
		}})
	}
	departedBefore, _ := history.revisionBefore(now - departureRetention)
	if txn := expiryTxn(h.state.onLoop(state).store, departedBefore); len(txn.Then) > 0 {
		state.proposeWithoutWaiting(registry.Command{Txn: txn})
	}
}

// revisionBefore returns the newest revision that this node had observed before an instant.
// isKnown is false if the record does not reach back that far.
func (h *revisionHistory) revisionBefore(instant time.Duration) (revision uint64, isKnown bool) {
	for _, r := range h.revisions {
		if r.at >= instant {
			break
		}
		revision = r.revision
		isKnown = true
	}
	return revision, isKnown
}

// pruneBefore deletes the records that revisionBefore does not need for the given or any later
// instant.
func (h *revisionHistory) pruneBefore(instant time.Duration) {
	superseded := 0
	for superseded+1 < len(h.revisions) && h.revisions[superseded+1].at < instant {
		superseded++
	}
	h.revisions = append(h.revisions[:0], h.revisions[superseded:]...)
}

// expiryTxn returns a transaction that deletes the departure markers that were written at or
// before a revision, and all but the newest maxAcceptedDigests digests of accepted
// configurations.
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
