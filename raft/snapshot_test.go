package raft_test

import (
	"errors"
	"fmt"
	"hash/crc32"
	"testing"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// proposeWhileCatchingUp proposes n commands of the given size, ten per second, and returns
// the number of committed ones. It ends early when afterEach, which may be nil, returns
// true. The leader must keep its leadership and its contact with a majority.
func proposeWhileCatchingUp(t *testing.T, c *rafttest.Cluster, n, bytes int, afterEach func(leader *rafttest.Node) (done bool)) (committed int) {
	t.Helper()
	first := c.Leader()
	for range n {
		l := c.Leader()
		if l == nil || l != first {
			t.Fatalf("%v: the leader lost its leadership while a member was catching up", c.Now)
		}
		c.Propose(l.ID, make([]byte, bytes), func(_ any, ok bool) {
			if ok {
				committed++
			}
		})
		for range 10 {
			c.Run(10 * time.Millisecond)
			// Contact is measured from when a heartbeat was sent. The round trip over the
			// low-bandwidth link alone takes up to a third of a second here.
			if !l.Raft.HasQuorumContact(3 * rafttest.ElectionTimeout) {
				t.Fatalf("%v: the leader has no contact with a majority", c.Now)
			}
		}
		if afterEach != nil && afterEach(l) {
			break
		}
	}
	if c.Violation != "" {
		t.Fatal(c.Violation)
	}
	return committed
}

// TestCatchUpOverLowBandwidthLink guards against a member that cannot catch up because data
// is sent repeatedly, and against a leader that loses its lease behind that data. A node
// with an empty disk, or a voter that was down for 500 proposals, receives a state of 16
// MiB, or the entries that it missed, over a few Mbit/s while proposals continue at ten per
// second. The bytes sent to it must hardly exceed the data that it needs. The leader, whose
// majority may depend on that voter, must keep its leadership.
func TestCatchUpOverLowBandwidthLink(t *testing.T) {
	const stateSize = 16 << 20
	for _, test := range []struct {
		name         string
		isNew        bool
		missedBytes  int // size of each command proposed while the member was down
		maxSentBytes int // limit of the bytes sent to the member
	}{
		{"empty disk", true, 2000, stateSize * 5 / 4},
		{"missed less than the state", false, 2000, stateSize / 4},
		// The log has up to 200 of the commands after its snapshot.
		{"missed more than the state", false, 40000, stateSize*5/4 + 200*40000},
	} {
		for _, mbit := range []int{4, 20} {
			t.Run(fmt.Sprint(test.name, " at ", mbit, " Mbit/s"), func(t *testing.T) {
				c := rafttest.NewCluster(3, 3, func() rafttest.StateMachine { return &largeState{size: stateSize} })
				c.Run(time.Second)
				laggingID := c.Leader().ID%3 + 1
				c.Crash(laggingID)
				proposeWhileCatchingUp(t, c, 500, test.missedBytes, nil)
				if test.isNew {
					c.Remove(laggingID)
					laggingID = 4
					c.Add(laggingID)
					l := c.Leader()
					if err := l.Raft.ProposeConfChange(l.Raft.Membership().WithLearner(raft.Member{ID: laggingID, Addr: "node-4"})); err != nil {
						t.Fatal(err)
					}
				} else {
					c.Restart(laggingID)
				}
				rate := mbit * 1e6 / 8
				limitBandwidth(c, laggingID, rate)
				limitedAt := c.Now
				proposeWhileCatchingUp(t, c, 3*stateSize/rate*10, 2000, func(l *rafttest.Node) bool {
					if other := 6 - l.ID - laggingID; !test.isNew && c.IsUp(other) && c.Now-limitedAt > time.Second {
						c.Crash(other)
					}
					return l.Raft.MatchIndex(laggingID)+5 >= l.Raft.LastIndex()
				})
				l := c.Leader()
				sent := c.SentBytes[[2]uint64{l.ID, laggingID}]
				t.Logf("caught up after %v and %.1f MB", c.Now-limitedAt, float64(sent)/(1<<20))
				if lag := l.Raft.LastIndex() - l.Raft.MatchIndex(laggingID); lag > 5 {
					t.Errorf("the member lags by %d entries after %v, want at most 5", lag, c.Now-limitedAt)
				}
				if sent > test.maxSentBytes {
					t.Errorf("sent %d bytes, want at most %d", sent, test.maxSentBytes)
				}
			})
		}
	}
}

// TestDamagedSnapshotChunkIsNotInstalled checks that a snapshot with a damaged chunk is
// discarded and received again, that a transfer continued by another leader does not
// restart, and that a snapshot rejected by ValidateSnapshot changes nothing.
func TestDamagedSnapshotChunkIsNotInstalled(t *testing.T) {
	rejected := 0
	n := raft.New(raft.Config{ID: 2, HeartbeatInterval: time.Millisecond, ElectionTimeout: time.Second, RandInt63n: func(int64) int64 { return 0 }, ValidateSnapshot: func(data []byte) error {
		if string(data) == "junk" {
			rejected++
			return errors.New("junk")
		}
		return nil
	}}, 0, raft.PersistentState{})
	n.Step(0, raft.Message{Type: raft.MsgSnapshot, From: 1, To: 2, Term: 1, Size: 4, Sum: crc32.Checksum([]byte("junk"), crc32.MakeTable(crc32.Castagnoli)),
		Snap: &raft.Snapshot{Index: 4, Term: 1, Data: []byte("junk")}})
	if e := n.Ready(); rejected != 1 || e.SnapshotToInstall != nil || n.LastIndex() != 0 {
		t.Errorf("an invalid snapshot was installed, or not validated: %+v", e)
	}
	data := []byte("what a state machine holds, in five parts or so")
	sum := crc32.Checksum(data, crc32.MakeTable(crc32.Castagnoli))
	offset, isDamaged := 0, false
	for step := range 20 {
		chunk := append([]byte(nil), data[offset:min(offset+10, len(data))]...)
		if offset == 20 && !isDamaged {
			isDamaged = true
			chunk[3] ^= 1
		}
		from := uint64(1)
		if step > 8 {
			from = 3
		}
		n.Step(0, raft.Message{Type: raft.MsgSnapshot, From: from, To: 2, Term: from, Offset: offset, Size: len(data), Sum: sum,
			Snap: &raft.Snapshot{Index: 9, Term: 1, Data: chunk}})
		e := n.Ready()
		if e.SnapshotToInstall != nil {
			if !isDamaged || string(e.SnapshotToInstall.Data) != string(data) || step != 9 {
				t.Errorf("step %d: installed snapshot %q, want the sent data at step 9", step, e.SnapshotToInstall.Data)
			}
			return
		}
		out := e.Messages
		if e.Write != nil {
			out = append(out, e.Write.MessagesAfterAppend...)
		}
		if len(out) != 1 || out[0].Type != raft.MsgSnapshotResp || out[0].To != from {
			t.Fatalf("step %d: responded with %+v, want one MsgSnapshotResp to the sender", step, out)
		}
		offset = out[0].Offset
	}
	t.Error("the snapshot was never installed")
}
