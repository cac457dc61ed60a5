package raft_test

import (
	"testing"
	"time"

	"lichentray/raft"
)

// TestRejectedAppendsAreResentOnce guards against a resend of the log for each rejected
// append: a member that misses the first of many appends in flight rejects all the others.
// The leader must resend the missing entries once, and the member must catch up.
func TestRejectedAppendsAreResentOnce(t *testing.T) {
	members := raft.Membership{Voters: []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	nodes := map[uint64]*raft.Node{}
	for id := uint64(1); id <= 3; id++ {
		nodes[id] = raft.New(raft.Config{ID: id, HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: time.Second, RandInt63n: func(n int64) int64 {
			if id == 1 {
				return 0 // node 1 campaigns first
			}
			return n - 1
		}}, 0, raft.PersistentState{Snapshot: raft.Snapshot{Members: members}})
	}
	var now time.Duration
	var heldBack []raft.Message // appends to member 3 that are delivered later, or lost
	isHoldingBack, sentEntries := false, 0
	exchange := func() {
		for more := true; more; {
			more = false
			for id := uint64(1); id <= 3; id++ {
				e := nodes[id].Ready()
				out := e.Messages
				if e.Write != nil {
					out = append(out, e.Write.MessagesAfterAppend...)
					if n := len(e.Write.Entries); n > 0 {
						last := e.Write.Entries[n-1]
						nodes[id].ReportPersisted(last.Index, last.Term)
					}
					more = true
				}
				for _, m := range out {
					more = true
					if m.To == 3 && m.Type == raft.MsgAppend {
						sentEntries += len(m.Entries)
						if isHoldingBack {
							heldBack = append(heldBack, m)
							continue
						}
					}
					nodes[m.To].Step(now, m)
				}
			}
		}
	}
	for ; nodes[1].Role() != raft.Leader && now < 30*time.Second; now += 10 * time.Millisecond {
		for id := uint64(1); id <= 3; id++ {
			nodes[id].Tick(now)
		}
		exchange()
	}
	if nodes[1].Role() != raft.Leader {
		t.Fatal("node 1 did not become the leader")
	}
	const n = 300
	isHoldingBack, sentEntries = true, 0
	for range n {
		if _, _, ok := nodes[1].Propose([]byte("x")); !ok {
			t.Fatal("the leader rejected a proposal")
		}
		exchange()
	}
	// The first 100 appends are lost. The others arrive before the leader receives any
	// response.
	isHoldingBack = false
	for _, m := range heldBack[min(100, len(heldBack)-1):] {
		nodes[3].Step(now, m)
	}
	exchange()
	for range 50 {
		now += 10 * time.Millisecond
		for id := uint64(1); id <= 3; id++ {
			nodes[id].Tick(now)
		}
		exchange()
	}
	if nodes[3].LastIndex() != nodes[1].LastIndex() {
		t.Errorf("LastIndex() of member 3 = %d, want %d", nodes[3].LastIndex(), nodes[1].LastIndex())
	}
	if sentEntries > 3*n {
		t.Errorf("sent %d entries for %d proposals, want at most 3 per proposal", sentEntries, n)
	}
}
