package raft_test

import (
	"fmt"
	"testing"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// TestSimulatedFaults runs a group under seeded faults and checks that no two nodes commit
// different entries at an index, that no acknowledged command is lost, that no confirmed
// read is stale, that the contact times hold, and that the group recovers.
func TestSimulatedFaults(t *testing.T) {
	for seed := int64(1); seed <= 40; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { newSimulation(t, seed).run() })
	}
}

// simulation is one history of a group under faults.
type simulation struct {
	t       *testing.T
	cluster *rafttest.Cluster
	voters  int
	maxDown int                      // so many may be down without the loss of the quorum
	down    map[uint64]bool          // crashed nodes
	nextID  uint64                   // for a node that replaces one with a lost disk
	acked   map[string]time.Duration // acknowledged commands, and when
	// contactChecks counts the checks of the contact time by node.
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

// injectFault lets a drawn fault happen, at node id if it is one of a single node.
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

// restartAll crashes all nodes at once. Their disks stay.
func (s *simulation) restartAll() {
	for _, id := range s.cluster.IDs() {
		s.cluster.Crash(id)
	}
	for _, id := range s.cluster.IDs() {
		s.cluster.Restart(id)
	}
	s.down = map[uint64]bool{}
}

// loseDisk replaces a voter other than the leader by a node with an empty disk and a new
// ID, if all nodes are up and enough rounds are left.
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

// propose proposes a new command at the leader, if there is one.
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

// readAtLeaders reads at all nodes that believe they lead, deposed ones too. A confirmed
// read must see all that was acknowledged before it was asked.
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
				s.t.Fatalf("node %d answered a confirmed read without an acknowledged value", id)
			}
		})
	}
}

// checkRecovery ends all faults and checks that the group commits again, and that all
// members have all acknowledged commands.
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
		t.Fatal("no leader after all faults have ended")
	}
	isCommitted := false
	c.Propose(l.ID, []byte("last"), func(_ any, ok bool) { isCommitted = ok })
	c.Run(2 * time.Second)
	if !isCommitted {
		t.Fatal("nothing is committed after all faults have ended")
	}
	var all []string
	for command := range s.acked {
		all = append(all, command)
	}
	for _, m := range l.Raft.Membership().AllMembers() {
		if n := c.Nodes[m.ID]; n != nil && !containsAll(n.StateMachine.(*commandList), all) {
			t.Errorf("node %d lacks an acknowledged value", m.ID)
		}
	}
	if c.Violation != "" {
		t.Fatal(c.Violation)
	}
	if len(s.acked) < 50 {
		t.Errorf("only %d values were acknowledged", len(s.acked))
	}
	if len(s.contactChecks) < s.voters {
		t.Errorf("only %d nodes ever had contact with a quorum", len(s.contactChecks))
	}
}

// TestFiveVotersSurviveTwoLostDisks: right after a command was acknowledged, all five
// voters lose power, and two of them, the leader among them, their disks. With each seed
// the moment is another one, and unsynced writes are lost. Later, one more disk is lost
// and replaced, and two voters, as many as a region has, stop.
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
			for range 100 { // stops at the moment of the acknowledgement
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
			c.Add(nextID)
			replaceVoter(c, id, nextID)
			nextID++
		}
		c.Run(2 * time.Second)
		if l = c.Leader(); l == nil || !containsAll(l.StateMachine.(*commandList), acked) {
			t.Fatalf("seed %d: %d acknowledged values, the new group lacks some", seed, len(acked))
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
			t.Errorf("seed %d: with two of five voters stopped nothing is committed", seed)
		}
		if c.Violation != "" {
			t.Fatalf("seed %d: %s", seed, c.Violation)
		}
	}
}

// TestRestartsDuringSixHundredProposals: in each hundred of six hundred proposals a node
// crashes, in turn, and restarts thirty proposals later. All links are narrow. In the end
// no node lacks an acknowledged command.
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
			t.Errorf("seed %d: only %d of 600 proposals were acknowledged", seed, len(acked))
		}
		for _, id := range c.IDs() {
			if !containsAll(c.Nodes[id].StateMachine.(*commandList), acked) {
				t.Errorf("seed %d: node %d lacks an acknowledged command", seed, id)
			}
		}
	}
}
