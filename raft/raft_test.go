package raft_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// commandList is the plainest state machine: all commands in order.
type commandList struct{ commands []string }

func (l *commandList) Apply(_ uint64, data []byte) any {
	l.commands = append(l.commands, string(data))
	return len(l.commands)
}
func (l *commandList) Snapshot() []byte    { b, _ := json.Marshal(l.commands); return b }
func (l *commandList) Restore(data []byte) { l.commands = nil; _ = json.Unmarshal(data, &l.commands) }

func newCommandList() rafttest.StateMachine { return &commandList{} }

func Example() {
	c := rafttest.NewCluster(1, 3, newCommandList)
	c.Run(time.Second)
	leader := c.Leader()
	c.Propose(leader.ID, []byte("hello"), func(result any, ok bool) { fmt.Println("committed:", ok, "length:", result) })
	c.Run(100 * time.Millisecond)
	// Output: committed: true length: 1
}

// TestSimulatedFaults runs the group through seeded trouble and checks that no
// index is committed twice over, that nothing acknowledged is lost, that
// confirmed reads are never stale, and that the group recovers.
func TestSimulatedFaults(t *testing.T) {
	for seed := int64(1); seed <= 40; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runSimulatedFaults(t, seed) })
	}
}

func runSimulatedFaults(t *testing.T, seed int64) {
	c := rafttest.NewCluster(seed, 3+2*int(seed%2), newCommandList)
	n := uint64(len(c.Nodes))
	most := int(n-1) / 2
	acked := map[string]time.Duration{}
	down := map[uint64]bool{}
	next := n + 1
	touched := map[uint64]int{}
	for round := range 120 {
		c.Faults.DropProbability = c.Rand.Float64() * 0.2 * float64(c.Rand.Intn(2))
		c.Faults.MaxSyncDelay = time.Duration(6+c.Rand.Intn(2)*90) * time.Millisecond
		id := c.IDs()[c.Rand.Intn(len(c.IDs()))]
		switch c.Rand.Intn(9) {
		case 0:
			if !down[id] && len(down) < most {
				c.Crash(id)
				down[id] = true
			}
		case 1:
			for d := range down {
				c.Restart(d)
				delete(down, d)
			}
		case 2:
			for _, other := range c.IDs() {
				c.SetLinkCut(id, other, true)
				if c.Rand.Intn(2) == 0 {
					c.SetLinkCut(other, id, true)
				}
			}
		case 3:
			c.Heal()
		case 4:
			c.SetFrozen(id, true)
		case 5:
			c.HangDisk(id, time.Duration(c.Rand.Intn(900))*time.Millisecond)
		case 6:
			// All at once; their disks stay.
			if c.Rand.Intn(2) == 0 {
				for _, x := range c.IDs() {
					c.Crash(x)
				}
				for _, x := range c.IDs() {
					c.Restart(x)
				}
				down = map[uint64]bool{}
			}
		case 7:
			if l := c.Leader(); l != nil {
				l.Raft.TransferLeadership()
			}
		case 8:
			// A disk is lost: its node comes back as somebody new.
			l := c.Leader()
			if l == nil || len(down) > 0 || id == l.ID || !l.Raft.Membership().IsVoter(id) || round > 100 {
				break
			}
			c.Heal()
			c.Remove(id)
			c.Add(next)
			replaceVoter(c, id, next)
			next++
		}
		for range 6 {
			if l := c.Leader(); l != nil {
				v := fmt.Sprint("v", len(acked), "-", round, "-", c.Now)
				c.Propose(l.ID, []byte(v), func(_ any, ok bool) {
					if ok {
						acked[v] = c.Now
					}
				})
			}
			// Whoever believes that it leads is asked, the deposed too.
			for _, x := range c.IDs() {
				n := c.Nodes[x]
				if !c.IsUp(x) || n.Raft.Role() != raft.Leader {
					continue
				}
				before := make([]string, 0, len(acked))
				for a := range acked {
					before = append(before, a)
				}
				c.Read(x, func(ok bool) {
					if ok && !containsAll(n.StateMachine.(*commandList), before) {
						t.Fatalf("node %d answered a confirmed read without an acknowledged value", x)
					}
				})
			}
			c.Run(time.Duration(10+c.Rand.Intn(60)) * time.Millisecond)
			checkQuorumContact(t, c, acked, touched)
		}
		if c.Violation != "" {
			t.Fatal(c.Violation)
		}
	}
	c.Heal()
	c.Faults.DropProbability = 0
	for d := range down {
		c.Restart(d)
	}
	c.Run(5 * time.Second)
	l := c.Leader()
	if l == nil {
		t.Fatal("no leader after all trouble has ended")
	}
	done := false
	c.Propose(l.ID, []byte("last"), func(_ any, ok bool) { done = ok })
	c.Run(2 * time.Second)
	if !done {
		t.Fatal("nothing is committed after all trouble has ended")
	}
	var all []string
	for a := range acked {
		all = append(all, a)
	}
	for _, m := range l.Raft.Membership().AllMembers() {
		if x := c.Nodes[m.ID]; x != nil && !containsAll(x.StateMachine.(*commandList), all) {
			t.Errorf("node %d lacks an acknowledged value", m.ID)
		}
	}
	if c.Violation != "" {
		t.Fatal(c.Violation)
	}
	if len(acked) < 50 {
		t.Errorf("only %d values were acknowledged", len(acked))
	}
	if len(touched) < int(n) {
		t.Errorf("only %d nodes were ever in touch", len(touched))
	}
}

// checkTouch: a node that runs holds all that was acknowledged before it was last in
// touch, at a follower less one election time-out. touched counts the checks by node.
func checkQuorumContact(t *testing.T, c *rafttest.Cluster, acked map[string]time.Duration, touched map[uint64]int) {
	t.Helper()
	for _, id := range c.IDs() {
		n := c.Nodes[id]
		if !c.IsUp(id) || n.Raft.LastQuorumContact() == 0 {
			continue
		}
		sure := n.Raft.LastQuorumContact()
		if n.Raft.Role() != raft.Leader {
			sure -= rafttest.ElectionTimeout
		}
		var before []string
		for v, at := range acked {
			if at < sure {
				before = append(before, v)
			}
		}
		if !containsAll(n.StateMachine.(*commandList), before) {
			t.Fatalf("node %d, in touch at %v by its word, lacks a value acknowledged before", id, n.Raft.LastQuorumContact())
		}
		touched[id]++
	}
}

// TestTouchAges: what a node last proved grows old while it is cut off in any one
// direction, or frozen, and whatever waited for it meanwhile proves nothing newer.
func TestQuorumContactAgesWhileIsolated(t *testing.T) {
	for _, trouble := range []string{"deaf", "mute", "frozen"} {
		for seed := int64(1); seed <= 6; seed++ {
			c := rafttest.NewCluster(seed, 3, newCommandList)
			c.Run(time.Second)
			leader := c.Leader().ID
			for _, id := range []uint64{leader, leader%3 + 1} {
				before := c.Nodes[id].Raft.LastQuorumContact()
				if c.Now-before > rafttest.ElectionTimeout {
					t.Fatalf("seed %d: in calm, node %d was last in touch at %v, now %v", seed, id, before, c.Now)
				}
				began := c.Now
				for _, other := range c.IDs() {
					c.SetLinkCut(other, id, trouble == "deaf")
					c.SetLinkCut(id, other, trouble == "mute")
				}
				c.SetFrozen(id, trouble == "frozen")
				c.Run(20 * time.Second)
				if trouble == "frozen" {
					// Thawed, it reads what waited in its socket; nothing new comes in.
					for _, other := range c.IDs() {
						c.SetLinkCut(id, other, true)
					}
					c.SetFrozen(id, false)
					c.Run(c.StepInterval)
				}
				if at := c.Nodes[id].Raft.LastQuorumContact(); at > began+rafttest.ElectionTimeout/2 {
					t.Errorf("seed %d: node %d, %s since %v, counts as in touch at %v", seed, id, trouble, began, at)
				}
				if c.Nodes[id].Raft.HasQuorumContact(rafttest.ElectionTimeout) {
					t.Errorf("seed %d: node %d, %s, believes that a majority hears it", seed, id, trouble)
				}
				c.Heal()
				c.Run(2 * time.Second)
			}
		}
	}
}

func containsAll(l *commandList, values []string) bool {
	have := make(map[string]bool, len(l.commands))
	for _, v := range l.commands {
		have[v] = true
	}
	for _, v := range values {
		if !have[v] {
			return false
		}
	}
	return true
}

// replaceVoter swaps a dead voter for a new node: learner, caught up, voter, and
// the dead one out, as an operator of the library would.
func replaceVoter(c *rafttest.Cluster, dead, fresh uint64) {
	m := raft.Member{ID: fresh, Addr: fmt.Sprint("node-", fresh)}
	for range 400 {
		c.Run(20 * time.Millisecond)
		l := c.Leader()
		if l == nil {
			continue
		}
		ms := l.Raft.Membership()
		var err error
		switch {
		case !ms.IsMember(fresh):
			err = l.Raft.ProposeConfChange(ms.WithLearner(m))
		case !ms.IsVoter(fresh) && l.Raft.MatchIndex(fresh) >= l.Raft.CommitIndex():
			err = l.Raft.ProposeConfChange(ms.WithVoter(m))
		case ms.IsVoter(fresh) && ms.IsMember(dead):
			err = l.Raft.ProposeConfChange(ms.Without(dead))
		case ms.IsVoter(fresh) && !ms.IsMember(dead) && !l.Raft.HasPendingConfChange():
			return
		}
		_ = err // a change still on its way is tried again
	}
}

// TestTwoDisksOfFive: right after a value was acknowledged all five voters lose
// power, and two of them, the leader among them, their disks. With each seed
// another moment, and unsynced writes are gone. Later one more disk is lost and
// replaced, and two voters, as many as a region has, go dark.
func TestFiveVotersSurviveTwoLostDisks(t *testing.T) {
	for seed := int64(0); seed < 15; seed++ {
		c := rafttest.NewCluster(seed, 5, newCommandList)
		c.Run(time.Second)
		var acked []string
		next := uint64(6)
		put := func(v string) (done bool) {
			if l := c.Leader(); l != nil {
				c.Propose(l.ID, []byte(v), func(_ any, ok bool) {
					if ok {
						acked, done = append(acked, v), true
					}
				})
				for range 100 { // stop at the very moment of the promise
					if c.Run(time.Millisecond); done {
						break
					}
				}
			}
			return done
		}
		for i := range 5 + c.Rand.Intn(10) {
			put(fmt.Sprint("a", i))
		}
		l := c.Leader()
		if l == nil || len(acked) == 0 {
			t.Fatalf("seed %d: nothing was acknowledged", seed)
		}
		lost := []uint64{l.ID, l.ID%5 + 1}
		ids := c.IDs()
		for _, id := range ids {
			c.Crash(id)
		}
		for _, id := range lost {
			c.Remove(id)
		}
		for _, id := range ids {
			if id != lost[0] && id != lost[1] {
				c.Restart(id)
			}
		}
		for _, id := range lost {
			c.Add(next)
			replaceVoter(c, id, next)
			next++
		}
		c.Run(2 * time.Second)
		if l = c.Leader(); l == nil || !containsAll(l.StateMachine.(*commandList), acked) {
			t.Fatalf("seed %d: %d acknowledged values, the new core lacks some", seed, len(acked))
		}
		var others []uint64
		for _, m := range l.Raft.Membership().Voters {
			if m.ID != l.ID {
				others = append(others, m.ID)
			}
		}
		c.Remove(others[0])
		c.Add(next)
		replaceVoter(c, others[0], next)
		c.Crash(others[1])
		c.Crash(l.ID)
		c.Run(2 * time.Second)
		if !put("after") {
			t.Errorf("seed %d: with two of five voters dark nothing is committed", seed)
		}
		if c.Violation != "" {
			t.Fatalf("seed %d: %s", seed, c.Violation)
		}
	}
}

// TestSlowLeaderGivesWay: a leader whose disk hangs hands its leadership on
// while the others go on committing.
func TestLeaderWithHangingDiskTransfersLeadership(t *testing.T) {
	c := rafttest.NewCluster(7, 3, newCommandList)
	c.Run(time.Second)
	old := c.Leader().ID
	c.HangDisk(old, 4*time.Second)
	committed := 0
	for range 40 {
		if l := c.Leader(); l != nil {
			c.Propose(l.ID, []byte("x"), func(_ any, ok bool) {
				if ok {
					committed++
				}
			})
		}
		c.Run(25 * time.Millisecond)
	}
	if l := c.Leader(); l == nil || l.ID == old {
		t.Error("the leader with a hanging disk still leads")
	}
	if committed < 30 {
		t.Errorf("only %d of 40 commands were committed", committed)
	}
}

// TestOldLifeIsNotHeard: what is meant for an earlier life of an address does
// nothing.
func TestMessageToEarlierIncarnationIsIgnored(t *testing.T) {
	n := raft.New(raft.Config{ID: 2, HeartbeatInterval: time.Millisecond, ElectionTimeout: time.Second, RandInt63n: func(int64) int64 { return 0 }}, 0, raft.PersistentState{})
	n.Step(0, raft.Message{Type: raft.MsgVote, From: 1, To: 3, Term: 9, Index: 5, LogTerm: 5})
	if e := n.Ready(); e.Write != nil || len(e.Messages) > 0 || n.Term() != 0 {
		t.Error("a message to another life was taken")
	}
}

// TestEarlyReadsWait: a read asked of a leader that has not committed in its term yet
// is answered once it has, and holds what earlier terms acknowledged; it is refused if
// the leader is deposed first.
func TestReadIndexWaitsForCommitInTerm(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		c := rafttest.NewCluster(seed, 3, newCommandList)
		c.Run(time.Second)
		old := c.Leader().ID
		acked := false
		c.Propose(old, []byte("v"), func(_ any, ok bool) { acked = ok })
		for !acked {
			c.Run(c.StepInterval)
		}
		c.Crash(old)
		for c.Leader() == nil {
			c.Run(c.StepInterval)
		}
		l := c.Leader()
		deposed := seed%4 == 0
		if deposed {
			for _, id := range c.IDs() {
				c.SetLinkCut(id, l.ID, true)
			}
		}
		answers, refusals := 0, 0
		c.Read(l.ID, func(ok bool) {
			if !ok {
				refusals++
			} else if answers++; !containsAll(l.StateMachine.(*commandList), []string{"v"}) {
				t.Errorf("seed %d: answered without what was acknowledged", seed)
			}
		})
		c.Run(2 * time.Second)
		if deposed && (answers != 0 || refusals != 1) || !deposed && (answers != 1 || refusals != 0) {
			t.Errorf("seed %d: deposed %v, %d answers, %d refusals", seed, deposed, answers, refusals)
		}
	}
}

// TestSoleVoterWaits: a sole voter leads at once, but says nothing as the leader
// of a term that a crash could make it lead again, with another log.
func TestSoleVoterSendsOnlyAfterItsVoteIsDurable(t *testing.T) {
	n := raft.New(raft.Config{ID: 1, HeartbeatInterval: time.Millisecond, ElectionTimeout: time.Second, RandInt63n: func(int64) int64 { return 0 }}, 0,
		raft.PersistentState{Snapshot: raft.Snapshot{Members: raft.Membership{Voters: []raft.Member{{ID: 1}}, Learners: []raft.Member{{ID: 2}}}}})
	n.Campaign()
	first := n.Ready()
	n.Propose([]byte("x"))
	second := n.Ready()
	if len(first.Messages)+len(second.Messages) > 0 {
		t.Errorf("sent before the vote is durable: %+v %+v", first.Messages, second.Messages)
	}
	last := first.Write.Entries[len(first.Write.Entries)-1]
	if n.ReportPersisted(last.Index, last.Term); len(first.Write.MessagesAfterAppend) == 0 || n.CommitIndex() != last.Index {
		t.Errorf("nothing is said after the write, or committed up to %d of %d", n.CommitIndex(), last.Index)
	}
}

// TestLeaderOutOfTouchStepsDown: a leader that hears nobody, whether it is still
// heard or not, leads no longer than two election spans (CheckQuorum).
func TestIsolatedLeaderStepsDown(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		c := rafttest.NewCluster(3, 3, newCommandList)
		c.Run(time.Second)
		old := c.Leader()
		for _, id := range c.IDs() {
			c.SetLinkCut(id, old.ID, true)
			c.SetLinkCut(old.ID, id, !deaf)
		}
		c.Run(310 * time.Millisecond)
		if old.Raft.Role() == raft.Leader {
			t.Errorf("deaf %v: it still leads", deaf)
		}
	}
}
