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

// proposeWhileCatchingUp proposes n commands of some bytes, ten a second, until eachTime,
// which may be nil, returns true, and returns how many were committed. The leader must
// keep its leadership and its contact with a majority.
func proposeWhileCatchingUp(t *testing.T, c *rafttest.Cluster, n, bytes int, eachTime func(leader *rafttest.Node) (done bool)) (committed int) {
	t.Helper()
	first := c.Leader()
	for range n {
		l := c.Leader()
		if l == nil || l != first {
			t.Fatalf("%v: the leader lost its leadership while a member caught up", c.Now)
		}
		c.Propose(l.ID, make([]byte, bytes), func(_ any, ok bool) {
			if ok {
				committed++
			}
		})
		for range 10 {
			c.Run(10 * time.Millisecond)
			// The contact counts from when a heartbeat was sent. Its round trip over the
			// narrow link alone takes up to a third of a second here.
			if !l.Raft.HasQuorumContact(3 * rafttest.ElectionTimeout) {
				t.Fatalf("%v: the leader has no contact with a majority", c.Now)
			}
		}
		if eachTime != nil && eachTime(l) {
			break
		}
	}
	if c.Violation != "" {
		t.Fatal(c.Violation)
	}
	return committed
}

// TestCatchUpOverLowBandwidthLink: a node with an empty disk, or a voter that was down for
// five hundred proposals, needs a state of 16 MB, or what it missed, over a few Mbit/s
// while proposals continue at ten a second. It catches up after hardly more than that has
// crossed the link once. The leader, whose majority depends on that voter, keeps its
// leadership.
func TestCatchUpOverLowBandwidthLink(t *testing.T) {
	const stateSize = 16 << 20
	for _, test := range []struct {
		name         string
		isNew        bool
		missedBytes  int // of each command while it was down
		maxSentBytes int // that it may be sent
	}{
		{"empty disk", true, 2000, stateSize * 5 / 4},
		{"missed less than the state", false, 2000, stateSize / 4},
		// The log holds up to two hundred of them after its snapshot.
		{"missed more than the state", false, 40000, stateSize*5/4 + 200*40000},
	} {
		for _, mbit := range []int{4, 20} {
			t.Run(fmt.Sprint(test.name, " at ", mbit, " Mbit/s"), func(t *testing.T) {
				c := rafttest.NewCluster(3, 3, func() rafttest.StateMachine { return &largeState{size: stateSize} })
				c.Run(time.Second)
				late := c.Leader().ID%3 + 1
				c.Crash(late)
				proposeWhileCatchingUp(t, c, 500, test.missedBytes, nil)
				if test.isNew {
					c.Remove(late)
					late = 4
					c.Add(late)
					l := c.Leader()
					if err := l.Raft.ProposeConfChange(l.Raft.Membership().WithLearner(raft.Member{ID: late, Addr: "node-4"})); err != nil {
						t.Fatal(err)
					}
				} else {
					c.Restart(late)
				}
				rate := mbit * 1e6 / 8
				limitBandwidth(c, late, rate)
				limitedAt := c.Now
				proposeWhileCatchingUp(t, c, 3*stateSize/rate*10, 2000, func(l *rafttest.Node) bool {
					if other := 6 - l.ID - late; !test.isNew && c.IsUp(other) && c.Now-limitedAt > time.Second {
						c.Crash(other)
					}
					return l.Raft.MatchIndex(late)+5 >= l.Raft.LastIndex()
				})
				l := c.Leader()
				sent := c.CarriedBytes[[2]uint64{l.ID, late}]
				t.Logf("caught up after %v and %.1f MB", c.Now-limitedAt, float64(sent)/(1<<20))
				if lag := l.Raft.LastIndex() - l.Raft.MatchIndex(late); lag > 5 {
					t.Errorf("%d entries behind after %v", lag, c.Now-limitedAt)
				}
				if sent > test.maxSentBytes {
					t.Errorf("%d bytes were sent, over %d", sent, test.maxSentBytes)
				}
			})
		}
	}
}

// TestDamagedSnapshotChunkIsNotInstalled: a snapshot with a damaged chunk is not installed,
// and arrives complete in the end. One that a second leader continues to send does not
// begin anew. One that the caller cannot restore leaves the node where it was.
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
		t.Errorf("junk was installed, or not validated: %+v", e)
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
				t.Errorf("step %d: installed %q", step, e.SnapshotToInstall.Data)
			}
			return
		}
		out := e.Messages
		if e.Write != nil {
			out = append(out, e.Write.MessagesAfterAppend...)
		}
		if len(out) != 1 || out[0].Type != raft.MsgSnapshotResp || out[0].To != from {
			t.Fatalf("step %d: answered %+v", step, out)
		}
		offset = out[0].Offset
	}
	t.Error("never installed")
}
