package registry_test

import (
	"fmt"
	"time"

	"lichentray/coordination"
	"lichentray/raft"
	"lichentray/registry"
)

// freezeNodes starts callers and freezes random nodes one after another, each for longer
// than callerTimeout. A frozen node reads the messages sent to it once it resumes.
func (sim *simulation) freezeNodes() {
	sim.startCallers()
	for range 12 {
		ids := sim.cluster.IDs()
		sim.faultyNodeID = ids[sim.cluster.Rand.Intn(len(ids))]
		sim.cluster.SetFrozen(sim.faultyNodeID, true)
		sim.run(callerTimeout + sim.randomDuration(3*time.Second))
		sim.cluster.SetFrozen(sim.faultyNodeID, false)
		sim.run(sim.randomDuration(time.Second))
	}
	sim.cluster.Heal()
}

func (sim *simulation) startCallers() {
	for i := range 12 {
		p := &caller{sim: sim, name: fmt.Sprint("c", i), ownLock: fmt.Sprint("l", i%4), cells: map[string]uint64{}}
		p.scheduleNextCall()
	}
}

// injectFaults starts callers and watchers and injects one fault after another.
func (sim *simulation) injectFaults() {
	sim.startCallers()
	for i := range 6 {
		sim.runWatcher(fmt.Sprintf("g%d.", i%2), 0)
	}
	for _, fault := range sim.cluster.Rand.Perm(8) {
		ids := sim.cluster.IDs()
		id := ids[sim.cluster.Rand.Intn(len(ids))]
		if l := sim.cluster.Leader(); l != nil && sim.cluster.Rand.Intn(2) == 0 {
			id = l.ID
		}
		sim.faultyNodeID = id
		duration := 3 * time.Second
		if fault < 3 {
			sim.probeFaultyNode()
		}
		switch fault {
		case 0, 1, 2: // partitions: both ways, incoming only, outgoing only
			for _, o := range ids {
				sim.cluster.SetLinkCut(id, o, fault != 1)
				sim.cluster.SetLinkCut(o, id, fault != 2)
			}
			duration = partitionDuration
		case 3, 4:
			if l := sim.cluster.Leader(); l != nil {
				sim.faultyNodeID = l.ID
			}
			for _, o := range ids { // in case 4 the node resumes while it is partitioned
				sim.cluster.SetLinkCut(sim.faultyNodeID, o, fault == 4)
				sim.cluster.SetLinkCut(o, sim.faultyNodeID, fault == 4)
			}
			sim.cluster.SetFrozen(sim.faultyNodeID, true)
			sim.run(sim.randomDuration(4 * time.Second))
			sim.probeFaultyNode()
			sim.run(time.Second)
			sim.cluster.SetFrozen(sim.faultyNodeID, false)
			sim.runDueEvents() // a resumed process may read its socket before its timers run
		case 5:
			for range 10 {
				sim.cluster.HangDisk(ids[sim.cluster.Rand.Intn(len(ids))], sim.randomDuration(time.Second))
				sim.run(300 * time.Millisecond)
			}
		case 6:
			if l := sim.cluster.Leader(); l != nil { // the disks of the leader and of half of the others hang
				sim.cluster.HangDisk(l.ID, time.Second)
				for i, left := 0, len(ids)/2; left > 0; i++ {
					if ids[i] != l.ID {
						sim.cluster.HangDisk(ids[i], time.Second)
						left--
					}
				}
			}
			sim.probeFaultyNode()
			sim.run(200 * time.Millisecond)
			for _, o := range ids {
				sim.cluster.Crash(o)
			}
			for _, o := range ids {
				sim.schedule(sim.randomDuration(time.Second), func() { sim.cluster.Restart(o) })
			}
		case 7:
			sim.loseDisk(id)
		}
		sim.run(duration)
		sim.cluster.Heal()
		sim.run(2 * time.Second)
	}
}

// probeFaultyNode reads a cell from the faulty node at a high rate while puts to the cell
// are sent to random nodes.
func (sim *simulation) probeFaultyNode() {
	object := fmt.Sprintf("g0.%d", sim.cluster.Rand.Intn(3))
	for k := range 120 {
		sim.schedule(sim.randomDuration(time.Second), func() {
			if k%3 > 0 {
				sim.callNode(sim.faultyNodeID, &call{object: object}, func() {})
				return
			}
			sim.probePuts++
			c := coordination.Command{Operation: coordination.PutCell, Name: object, Value: fmt.Sprint("probe ", sim.probePuts)}
			sim.callNode(sim.pickNode(), &call{object: object, command: registry.Command{Coordination: &c}}, func() {})
		})
	}
}

// loseDisk removes a voter permanently and adds a new member to replace it.
func (sim *simulation) loseDisk(id uint64) {
	l := sim.cluster.Leader()
	if l == nil || !l.Raft.Membership().IsVoter(id) {
		return
	}
	sim.lostNodeID = id
	sim.cluster.Remove(id)
	sim.faultyNodeID = sim.nextNodeID
	sim.cluster.Add(sim.nextNodeID)
	sim.nextNodeID++
	sim.admitReplacement()
}

// admitReplacement takes the next step of the membership change that replaces a lost
// voter by a new member, until the new member is a voter.
func (sim *simulation) admitReplacement() {
	if l := sim.cluster.Leader(); l != nil && !l.Raft.HasPendingConfChange() {
		membership, id := l.Raft.Membership(), sim.nextNodeID-1
		member := raft.Member{ID: id, Addr: fmt.Sprint("node-", id)}
		switch {
		case !membership.IsMember(id):
			_ = l.Raft.ProposeConfChange(membership.WithLearner(member)) // retried
		case membership.IsMember(sim.lostNodeID):
			_ = l.Raft.ProposeConfChange(membership.Without(sim.lostNodeID))
		case !membership.IsVoter(id) && l.Raft.MatchIndex(id)+100 > l.Raft.LastIndex():
			_ = l.Raft.ProposeConfChange(membership.WithVoter(member))
		case membership.IsVoter(id):
			sim.lostNodeID = 0
			return
		}
	}
	sim.schedule(50*time.Millisecond, sim.admitReplacement)
}

// healAndReadAll ends all faults, restarts all nodes, and then reads every object from every
// node: each read must be answered, and a lock whose lease has expired must be available.
func (sim *simulation) healAndReadAll() {
	sim.isStopping = true
	sim.run(5 * time.Second)
	if sim.lostNodeID != 0 {
		sim.t.Error("the new member never became a voter")
	}
	// The locks acquired here are never released. The sequence numbers that follow fill the
	// log, so that the grants are only in snapshots when the nodes restart.
	const leaseDuration = 4 * time.Second
	acquire := func(k int, holder string, lease time.Duration) {
		c := coordination.Command{Operation: coordination.AcquireLock, Name: fmt.Sprint("l", k), Holder: holder, LeaseMS: uint64(lease.Milliseconds())}
		sim.callNode(sim.pickNode(), &call{object: c.Name, command: registry.Command{Coordination: &c}}, func() {})
	}
	for k := range 4 {
		acquire(k, "sleeper", leaseDuration)
	}
	for range 300 {
		c := coordination.Command{Operation: coordination.NextNumber, Name: "n0"}
		sim.callNode(sim.pickNode(), &call{object: c.Name, command: registry.Command{Coordination: &c}}, func() {})
	}
	sim.run(500 * time.Millisecond)
	for _, id := range sim.cluster.IDs() {
		sim.cluster.Crash(id)
	}
	for _, id := range sim.cluster.IDs() {
		sim.cluster.Restart(id)
	}
	for round := range 30 {
		for k := range 4 {
			acquire(k, fmt.Sprint("late", round), 100*time.Millisecond)
		}
		sim.run(leaseDuration / 20)
	}
	mustAnswer := func(id uint64, object string, c *coordination.Command) {
		for attempt := 0; ; attempt++ {
			x := &call{object: object, command: registry.Command{Coordination: c}}
			sim.callNode(id, x, func() {})
			sim.run(callerTimeout + 100*time.Millisecond)
			if x.outcome == answered && (c == nil || x.result.Latch.Code == coordination.OK) {
				return
			}
			if attempt == 3 {
				sim.t.Errorf("node %d: call on %s was not answered after all faults ended: %+v", id, object, x)
				return
			}
		}
	}
	for _, id := range sim.cluster.IDs() {
		mustAnswer(id, registry.ConfigKey, nil)
		for k := range 6 {
			mustAnswer(id, fmt.Sprintf("g%d.%d", k/3, k%3), nil)
		}
	}
	for k := range 4 {
		mustAnswer(sim.cluster.IDs()[0], fmt.Sprint("l", k), &coordination.Command{Operation: coordination.AcquireLock, Name: fmt.Sprint("l", k), Holder: "last", LeaseMS: 100})
	}
	for k := range 2 {
		mustAnswer(sim.cluster.IDs()[1], fmt.Sprint("n", k), &coordination.Command{Operation: coordination.NextNumber, Name: fmt.Sprint("n", k)})
		group := fmt.Sprintf("g%d.", k)
		for _, id := range sim.cluster.IDs() {
			events, revision, _ := sim.cluster.Nodes[id].StateMachine.(*replica).store.Coordination().EventsSince(group, 0)
			sim.checkWatchedEvents(group, 0, events, revision)
		}
	}
}
