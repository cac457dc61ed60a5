package raft_test

import (
	"testing"
	"time"

	"lichentray/raft"
)

// TestRejectedAppendsAreResentOnce: a member misses the first of many appends that are in
// flight, and rejects each of the others. It is sent the log once, not once for each
// rejection, and has all of it in the end.
func TestRejectedAppendsAreResentOnce(t *testing.T) {
	members := raft.Membership{Voters: []raft.Member{{ID: 1}, {ID: 2}, {ID: 3}}}
	nodes := map[uint64]*raft.Node{}
	for id := uint64(1); id <= 3; id++ {
		nodes[id] = raft.New(raft.Config{ID: id, HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: time.Second, RandInt63n: func(n int64) int64 {
			if id == 1 {
				return 0 // it campaigns first
			}
			return n - 1
		}}, 0, raft.PersistentState{Snapshot: raft.Snapshot{Members: members}})
	}
	var now time.Duration
	var toThird []raft.Message // messages to member 3 that are held back
	isHeldBack, sent := false, 0
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
						sent += len(m.Entries)
						if isHeldBack {
							toThird = append(toThird, m)
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
		t.Fatal("nobody leads")
	}
	const n = 300
	isHeldBack, sent = true, 0
	for range n {
		if _, _, ok := nodes[1].Propose([]byte("x")); !ok {
			t.Fatal("not proposed")
		}
		exchange()
	}
	// The first hundred are lost; the others arrive before any answer does.
	isHeldBack = false
	for _, m := range toThird[min(100, len(toThird)-1):] {
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
		t.Errorf("member 3 has the log up to %d of %d", nodes[3].LastIndex(), nodes[1].LastIndex())
	}
	if sent > 3*n {
		t.Errorf("%d entries were sent for %d", sent, n)
	}
}
