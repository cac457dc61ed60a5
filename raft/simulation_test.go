package raft_test

import (
	"fmt"
	"testing"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// TestSimulatedFaults runs a cluster under random faults, with fixed seeds, and checks that
// no two nodes commit different entries at one index, that no acknowledged command is lost,
// that no confirmed read is stale, that LastQuorumContact is correct and that the cluster
// recovers.
func TestSimulatedFaults(t *testing.T) {
	for seed := int64(1); seed <= 40; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { newSimulation(t, seed).run() })
	}
}

// simulation is one execution of a cluster under faults.
type simulation struct {
	t       *testing.T
	cluster *rafttest.Cluster
	voters  int
	maxDown int                      // maximum number of nodes down without losing the quorum
	down    map[uint64]bool          // crashed nodes
	nextID  uint64                   // for the next node that replaces one with a lost disk
	acked   map[string]time.Duration // when each acknowledged command was acknowledged
	// contactChecks counts the checks of LastQuorumContact by node.
	contactChecks map[uint64]int
}

func newSimulation(t *testing.T, seed int64) *simulation {
	c := rafttest.NewCluster(seed, 3+2*int(seed%2), newCommandList)
	voters := len(c.Nodes)
	return &simulation{
		t:             t,
		cluster:       c,
		voters:        voters,
		maxDown:       (voters - 1) / 2,
		down:          map[uint64]bool{},
		nextID:        uint64(voters) + 1,
		acked:         map[string]time.Duration{},
		contactChecks: map[uint64]int{},
	}
}

func (s *simulation) run() {
	const rounds, runsPerRound = 120, 6
	c := s.cluster
	for round := range rounds {
		c.Faults.DropProbability = c.Rand.Float64() * 0.2 * float64(c.Rand.Intn(2))
		c.Faults.MaxSyncDelay = time.Duration(6+c.Rand.Intn(2)*90) * time.Millisecond
		id := c.IDs()[c.Rand.Intn(len(c.IDs()))]
		s.injectFault(id, round)
		for range runsPerRound {
			s.propose(round)
			s.readAtLeaders()
			c.Run(time.Duration(10+c.Rand.Intn(60)) * time.Millisecond)
			checkQuorumContact(s.t, c, s.acked, s.contactChecks)
		}
		if c.Violation != "" {
			s.t.Fatal(c.Violation)
		}
	}
	s.checkRecovery()
}

// injectFault injects a random fault, on node id if the fault affects a single node.
func (s *simulation) injectFault(id uint64, round int) {
	c := s.cluster
	switch c.Rand.Intn(9) {
	case 0:
		if !s.down[id] && len(s.down) < s.maxDown {
			c.Crash(id)
			s.down[id] = true
		}
	case 1:
		for crashed := range s.down {
			c.Restart(crashed)
			delete(s.down, crashed)
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
		if c.Rand.Intn(2) == 0 {
			s.restartAll()
		}
	case 7:
		if l := c.Leader(); l != nil {
			l.Raft.TransferLeadership()
		}
	case 8:
		s.loseDisk(id, round)
	}
}

// restartAll crashes and restarts all nodes at the same time. They keep their disks.
func (s *simulation) restartAll() {
	for _, id := range s.cluster.IDs() {
		s.cluster.Crash(id)
	}
	for _, id := range s.cluster.IDs() {
		s.cluster.Restart(id)
	}
	s.down = map[uint64]bool{}
}

// loseDisk replaces a voter other than the leader with a node that has an empty disk and a
// new ID, if all nodes are up and enough rounds remain.
func (s *simulation) loseDisk(id uint64, round int) {
	c := s.cluster
	l := c.Leader()
	if l == nil || len(s.down) > 0 || id == l.ID || !l.Raft.Membership().IsVoter(id) || round > 100 {
		return
	}
	c.Heal()
	c.Remove(id)
	c.Add(s.nextID)
	replaceVoter(c, id, s.nextID)
	s.nextID++
}

// propose proposes a new command on the leader, if there is one.
func (s *simulation) propose(round int) {
	c := s.cluster
	l := c.Leader()
	if l == nil {
		return
	}
	command := fmt.Sprint("v", len(s.acked), "-", round, "-", c.Now)
	c.Propose(l.ID, []byte(command), func(_ any, ok bool) {
		if ok {
			s.acked[command] = c.Now
		}
	})
}

// readAtLeaders reads from all nodes that believe they are the leader, including deposed
// ones. A confirmed read must see all commands acknowledged before it was requested.
func (s *simulation) readAtLeaders() {
	c := s.cluster
	for _, id := range c.IDs() {
		n := c.Nodes[id]
		if !c.IsUp(id) || n.Raft.Role() != raft.Leader {
			continue
		}
		before := make([]string, 0, len(s.acked))
		for command := range s.acked {
			before = append(before, command)
		}
		c.Read(id, func(ok bool) {
			if ok && !containsAll(n.StateMachine.(*commandList), before) {
				s.t.Fatalf("a confirmed read on node %d lacks an acknowledged command", id)
			}
		})
	}
}

// checkRecovery ends all faults and checks that the cluster commits commands again, and
// that all members have all acknowledged commands.
func (s *simulation) checkRecovery() {
	t, c := s.t, s.cluster
	c.Heal()
	c.Faults.DropProbability = 0
	for id := range s.down {
		c.Restart(id)
	}
	c.Run(5 * time.Second)
	l := c.Leader()
	if l == nil {
		t.Fatal("no leader after the end of all faults")
	}
	isCommitted := false
	c.Propose(l.ID, []byte("last"), func(_ any, ok bool) { isCommitted = ok })
	c.Run(2 * time.Second)
	if !isCommitted {
		t.Fatal("no command is committed after the end of all faults")
	}
	var all []string
	for command := range s.acked {
		all = append(all, command)
	}
	for _, m := range l.Raft.Membership().AllMembers() {
		if n := c.Nodes[m.ID]; n != nil && !containsAll(n.StateMachine.(*commandList), all) {
			t.Errorf("node %d lacks an acknowledged command", m.ID)
		}
	}
	if c.Violation != "" {
		t.Fatal(c.Violation)
	}
	if len(s.acked) < 50 {
		t.Errorf("%d commands were acknowledged, want at least 50", len(s.acked))
	}
	if len(s.contactChecks) < s.voters {
		t.Errorf("%d nodes ever had contact with a quorum, want at least one per voter", len(s.contactChecks))
	}
}

// TestFiveVotersSurviveTwoLostDisks guards against the loss of acknowledged commands and of
// the quorum. Right after a command is acknowledged, all five voters lose power and their
// unsynced writes, and the leader and another voter lose their disks; the time varies with
// the seed. Later, one more disk is lost and its voter replaced, and two voters, the number
// in one region, stop.
func TestFiveVotersSurviveTwoLostDisks(t *testing.T) {
	for seed := int64(0); seed < 15; seed++ {
		c := rafttest.NewCluster(seed, 5, newCommandList)
		c.Run(time.Second)
		var acked []string
		nextID := uint64(6)
		propose := func(command string) (done bool) {
			l := c.Leader()
			if l == nil {
				return false
			}
			c.Propose(l.ID, []byte(command), func(_ any, ok bool) {
				if ok {
					acked = append(acked, command)
					done = true
				}
			})
			for range 100 { // stops right after the acknowledgement
				c.Run(time.Millisecond)
				if done {
					break
				}
			}
			return done
		}
		for i := range 5 + c.Rand.Intn(10) {
			propose(fmt.Sprint("a", i))
		}
		l := c.Leader()
		if l == nil || len(acked) == 0 {
			t.Fatalf("seed %d: no leader, or no command was acknowledged", seed)
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
			c.Add(nextID)
			replaceVoter(c, id, nextID)
			nextID++
		}
		c.Run(2 * time.Second)
		if l = c.Leader(); l == nil || !containsAll(l.StateMachine.(*commandList), acked) {
			t.Fatalf("seed %d: no leader, or the leader lacks some of %d acknowledged commands", seed, len(acked))
		}
		var others []uint64
		for _, m := range l.Raft.Membership().Voters {
			if m.ID != l.ID {
				others = append(others, m.ID)
			}
		}
		c.Remove(others[0])
		c.Add(nextID)
		replaceVoter(c, others[0], nextID)
		c.Crash(others[1])
		c.Crash(l.ID)
		c.Run(2 * time.Second)
		if !propose("after") {
			t.Errorf("seed %d: no command is committed with two of five voters stopped", seed)
		}
		if c.Violation != "" {
			t.Fatalf("seed %d: %s", seed, c.Violation)
		}
	}
}

// TestRestartsDuringSixHundredProposals guards against the loss of acknowledged commands
// when nodes restart under load over low-bandwidth links. During each 100 of 600 proposals
// one of the nodes, in turn, crashes and restarts 30 proposals later. Finally every node
// must have all acknowledged commands.
func TestRestartsDuringSixHundredProposals(t *testing.T) {
	for seed := int64(1); seed <= 4; seed++ {
		c := rafttest.NewCluster(seed, 3, newCommandList)
		c.Run(time.Second)
		for _, id := range c.IDs() {
			limitBandwidth(c, id, 500_000)
		}
		var acked []string
		padding := make([]byte, 3000)
		for i := range 600 {
			id := uint64(i/100)%3 + 1
			if i%100 == 50 {
				c.Crash(id)
			} else if i%100 == 80 {
				c.Restart(id)
			}
			if l := c.Leader(); l != nil {
				command := fmt.Sprintf("%d %x", i, padding)
				c.Propose(l.ID, []byte(command), func(_ any, ok bool) {
					if ok {
						acked = append(acked, command)
					}
				})
			}
			c.Run(100 * time.Millisecond)
		}
		c.Run(3 * time.Second)
		if c.Violation != "" {
			t.Fatal(c.Violation)
		}
		if len(acked) < 550 {
			t.Errorf("seed %d: %d of 600 proposals were acknowledged, want at least 550", seed, len(acked))
		}
		for _, id := range c.IDs() {
			if !containsAll(c.Nodes[id].StateMachine.(*commandList), acked) {
				t.Errorf("seed %d: node %d lacks an acknowledged command", seed, id)
			}
		}
	}
}
