package controlplane

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// commandSet is a state machine that holds the set of commands it has applied.
type commandSet map[uint64]bool

func (s commandSet) Apply(_ uint64, data []byte) any {
	s[binary.BigEndian.Uint64(data)] = true
	return nil
}
func (s commandSet) Snapshot() []byte {
	var out []byte
	for k := range s {
		out = binary.BigEndian.AppendUint64(out, k)
	}
	return out
}
func (s commandSet) Restore(data []byte) {
	clear(s)
	for ; len(data) > 0; data = data[8:] {
		s[binary.BigEndian.Uint64(data)] = true
	}
}

// simulatedCore is a simulated group whose leaders change its membership as a Node does.
type simulatedCore struct {
	*rafttest.Cluster
	t                   *testing.T
	seed                int64
	planners            map[uint64]*membershipPlanner
	addrs               map[uint64]string // addresses of all members started
	lastID              uint64
	membershipCheckedAt time.Duration
	lastCommand         uint64
	acknowledged        []uint64

	// storages is the type of storage in which each member keeps its log; unknown for members
	// without an entry.
	storages map[uint64]raft.Storage
	// formation is the formation of every member.
	formation formation
	// joinRejected is the set of nodes that the group has permanently rejected.
	joinRejected map[uint64]bool
}

const (
	simElectionTimeout   = 150 * time.Millisecond
	simDeadMemberTimeout = 5 * simElectionTimeout
	simCatchUpTime       = 13 * simElectionTimeout // the ratio of catch_up_s to contact_s
)

func newSimulatedCore(t *testing.T, seed int64, n int) *simulatedCore {
	c := startSimulatedCore(t, seed, n)
	c.runFor(simCatchUpTime)
	return c
}

// startSimulatedCore starts n nodes, the first three of which are the seeds.
func startSimulatedCore(t *testing.T, seed int64, n int) *simulatedCore {
	c := &simulatedCore{
		Cluster:      rafttest.NewCluster(seed, 3, func() rafttest.StateMachine { return commandSet{} }),
		t:            t,
		seed:         seed,
		planners:     map[uint64]*membershipPlanner{},
		addrs:        map[uint64]string{},
		storages:     map[uint64]raft.Storage{},
		joinRejected: map[uint64]bool{},
	}
	for id := uint64(1); id <= uint64(n); id++ {
		if id > 3 {
			c.Add(id)
		}
		c.addrs[id] = fmt.Sprint("node-", id)
	}
	c.lastID = uint64(n)
	return c
}

// startWithEmptyDisk starts a member with an empty disk at an address.
func (c *simulatedCore) startWithEmptyDisk(addr string) uint64 {
	c.lastID++
	c.Add(c.lastID)
	c.addrs[c.lastID] = addr
	return c.lastID
}

// runFor advances the simulation under load. Nodes that are not members ask to be admitted.
func (c *simulatedCore) runFor(span time.Duration) {
	for end := c.Now + span; c.Now < end; {
		c.Run(c.StepInterval)
		lead := c.Leader()
		if lead == nil {
			continue
		}
		if c.Rand.Intn(8) == 0 {
			c.proposeCommand(lead.ID, nil)
		}
		if c.Now-c.membershipCheckedAt < 80*time.Millisecond {
			continue
		}
		c.membershipCheckedAt = c.Now
		n := lead.Raft
		if c.plannerOf(n).mustTransferLeadership(n, c.Now) && n.TransferLeadership() {
			continue
		}
		if next, reason := c.plannerOf(n).nextChange(n, c.Now); reason != "" {
			_ = n.ProposeConfChange(next)
			continue
		}
		c.admitOne(n)
	}
}

// admitOne lets one node ask the leader n to admit it, or to record its description.
func (c *simulatedCore) admitOne(n *raft.Node) {
	for _, id := range c.IDs() {
		member := c.member(id)
		if !c.IsUp(id) || c.IsFrozen(id) || c.joinRejected[id] || isDescriptionCurrent(n.Membership(), member) {
			continue
		}
		next, err := admit(n.Membership(), member, n.HasPendingConfChange())
		if err == errCoreHasDisks {
			c.joinRejected[id] = true
			continue
		}
		if err == nil {
			_ = n.ProposeConfChange(next)
		}
		return
	}
}

// member returns the description that a node gives of itself.
func (c *simulatedCore) member(id uint64) raft.Member {
	return raft.Member{ID: id, Addr: c.addrs[id], Storage: c.storages[id]}
}

func (c *simulatedCore) plannerOf(n *raft.Node) *membershipPlanner {
	if c.planners[n.ID()] == nil {
		c.planners[n.ID()] = &membershipPlanner{self: c.member(n.ID()), formation: c.formation, tolerance: faultTolerance{machines: 1}, deadMemberTimeout: simDeadMemberTimeout, catchUpWindow: simElectionTimeout, leaveRequestTTL: simDeadMemberTimeout / 2, learnerExpiry: 4 * simCatchUpTime, failureDomainOf: func(raft.Member) string { return "" }}
	}
	return c.planners[n.ID()]
}

func (c *simulatedCore) proposeCommand(id uint64, done func()) {
	if n := c.Nodes[id].Raft; n.Role() == raft.Leader && !c.plannerOf(n).acceptsProposals(n, c.Now) {
		return
	}
	c.lastCommand++
	x := c.lastCommand
	c.Propose(id, binary.BigEndian.AppendUint64(nil, x), func(_ any, ok bool) {
		if ok {
			c.acknowledged = append(c.acknowledged, x)
			if done != nil {
				done()
			}
		}
	})
}

// requireProgress runs the simulation until a new command is acknowledged.
func (c *simulatedCore) requireProgress(within time.Duration, after string) {
	c.t.Helper()
	ok := false
	for end := c.Now + within; !ok; {
		if lead := c.Leader(); lead != nil {
			c.proposeCommand(lead.ID, func() { ok = true })
		}
		c.runFor(20 * time.Millisecond)
		if c.Now > end {
			for _, id := range c.IDs() {
				n := c.Nodes[id].Raft
				c.t.Logf("member %d: up %v, role %v, term %d, leader %d, last index %d, membership %+v", id, c.IsUp(id), n.Role(), n.Term(), n.LeaderID(), n.LastIndex(), n.Membership())
			}
			c.t.Fatalf("seed %d: after %s no command was acknowledged within %v", c.seed, after, within)
		}
	}
}

// shutDown stops a process gracefully: the process repeats its request to leave until it is
// approved or the time for it has passed, and then stops.
func (c *simulatedCore) shutDown(id uint64) (isApproved bool) {
	for end := c.Now + 2*simCatchUpTime; c.Now < end && !isApproved; {
		if lead := c.Leader(); lead != nil && lead.ID == id {
			lead.Raft.TransferLeadership()
		} else if lead != nil {
			isApproved = c.plannerOf(lead.Raft).requestLeave(lead.Raft, c.Now, id)
		}
		c.runFor(20 * time.Millisecond)
	}
	c.Crash(id)
	return isApproved
}

func (c *simulatedCore) anyRunning(except uint64) uint64 {
	if lead := c.Leader(); lead != nil && lead.ID != except && c.Rand.Intn(2) == 0 {
		return lead.ID
	}
	for {
		ids := c.IDs()
		if id := ids[c.Rand.Intn(len(ids))]; id != except && c.IsUp(id) {
			return id
		}
	}
}

// requireNothingLost checks that the leader has applied every acknowledged command, and that no
// two nodes have committed different entries.
func (c *simulatedCore) requireNothingLost() {
	c.t.Helper()
	for _, x := range c.acknowledged {
		if !c.Leader().StateMachine.(commandSet)[x] {
			c.t.Fatalf("seed %d: acknowledged command %d is lost", c.seed, x)
		}
	}
	if c.Violation != "" {
		c.t.Fatalf("seed %d: %s", c.seed, c.Violation)
	}
}
