package controlplane

import (
	"time"

	"lichentray/coordination"
	"lichentray/registry"
)

// maxAcceptedDigests is for how many versions it is remembered which configuration
// was accepted: a day and a half of 5,500 changes a day, some 200 bytes each.
const maxAcceptedDigests = 8192

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

// record remembers the present revision, at most once a second.
func (h *historyCompactor) record(state *loopState, now time.Duration) {
	history := &state.history
	if n := len(history.revisions); n > 0 && now-history.revisions[n-1].at < time.Second {
		return
	}
	history.revisions = append(history.revisions, revisionTime{at: now, revision: h.state.onLoop(state).store.Revision()})
}

// compact proposes to forget what is older than the retention, with a margin.
func (h *historyCompactor) compact(state *loopState, now time.Duration) {
	retention := h.settings.Bounds.HistoryRetention.Duration() * 3 / 2
	if now-state.history.compactedAt < retention/4 {
		return
	}
	before, isDue := state.history.expireRevisions(now, retention)
	if !isDue {
		return
	}
	state.history.compactedAt = now
	state.proposeWithoutWaiting(registry.Command{Coordination: &coordination.Command{
		Operation:     coordination.CompactHistory,
		CompactBefore: before,
	}})
	if txn := expiryTxn(h.state.onLoop(state).store, before); len(txn.Then) > 0 {
		state.proposeWithoutWaiting(registry.Command{Txn: txn})
	}
}

// expireRevisions forgets when the revisions beyond the retention were reached and
// returns the newest of them; isDue is false if there is none.
func (h *revisionHistory) expireRevisions(now, retention time.Duration) (newest uint64, isDue bool) {
	expired := 0
	for expired < len(h.revisions) && now-h.revisions[expired].at > retention {
		newest = h.revisions[expired].revision
		expired++
	}
	if expired == 0 {
		return 0, false
	}
	h.revisions = append([]revisionTime(nil), h.revisions[expired:]...)
	return newest, true
}

// expiryTxn returns a transaction that deletes the markers of endpoints that departed
// by a revision, and the digests of accepted configurations beyond the newest ones.
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
