package registry_test

import (
	"encoding/binary"
	"reflect"
	"sort"
	"testing"
	"time"

	"lichentray/coordination"
	"lichentray/raft"
	"lichentray/raft/rafttest"
	"lichentray/registry"
)

const (
	outcomeTimeout    = 900 * time.Millisecond  // a node's timeout for an outcome
	callerTimeout     = 1200 * time.Millisecond // a caller's timeout for an answer
	maxLeaseMS        = 2000                    // if each acquisition has its own holder name
	longLeaseMS       = 4000                    // if holder names are reused
	partitionDuration = 20 * time.Second

	evacuationKey = registry.EvacuationPrefix + "z"
)

// outcome is the result of a call as seen by its caller.
type outcome uint8

const (
	unknown  outcome = iota // timed out: the call may take effect at any later time
	rejected                // the call has no effect and never will
	answered                // the caller got the result
)

// call is a call made by a caller. Its log entry starts with a tag that the store does not
// see and by which the simulation determines whether the call took effect.
type call struct {
	tag     uint64
	object  string
	command registry.Command // zero for a read

	outcome            outcome
	result             registry.Result
	revision           uint64 // of the object read
	value              string
	sentAt, returnedAt time.Duration
	callSeq, returnSeq int64 // positions in the order of all calls and returns
	done               func()
	// withheldSeq is the position at which a release was answered without freeing its lock,
	// or 0.
	withheldSeq int64
}

// replica is the store of a node with its lease timers.
type replica struct {
	sim    *simulation
	store  *registry.Store
	leases coordination.LeaseTimers
	// evacuation is that of the only zone. lastRequestAt holds the times at which this
	// replica applied the newest begin request (true) and finish request (false).
	evacuation    registry.Evacuation
	lastRequestAt map[bool]time.Duration
}

func (r *replica) Apply(index uint64, data []byte) any {
	cmd, err := registry.DecodeCommand(data[8:])
	if err != nil {
		r.sim.t.Errorf("index %d: %v", index, err)
		return nil
	}
	res, _ := r.store.Apply(cmd)
	if l := cmd.Coordination; l != nil {
		if !r.leases.Update(r.sim.now(), index, l, res.Latch, r.store.Coordination().Locks) {
			r.sim.t.Errorf("index %d: release of a lock that its holder has acquired again: %+v", index, *l)
		}
	}
	r.observeEvacuation()
	r.sim.recordEffect(binary.BigEndian.Uint64(data), index, res)
	return res
}

func (r *replica) Snapshot() []byte { b, _ := r.store.Snapshot(); return b }

func (r *replica) Restore(data []byte) {
	if r.store.Revision() > 0 {
		r.sim.snapshotInstalls++ // the leader had compacted the entries that this node lacked
	}
	if err := r.store.Restore(data); err != nil {
		r.sim.t.Error(err)
	}
	r.observeEvacuation()
	r.leases.Restart(r.sim.now(), r.store.Coordination().Locks)
}

func (r *replica) observeEvacuation() {
	o, _ := r.store.Get(evacuationKey)
	previous := r.evacuation
	if r.evacuation = registry.DecodeEvacuation(o); r.evacuation.BeginCount != previous.BeginCount {
		r.lastRequestAt[true] = r.sim.now()
	}
	if r.evacuation.FinishCount != previous.FinishCount {
		r.lastRequestAt[false] = r.sim.now()
	}
}

// effect is the outcome of a committed command.
type effect struct {
	index      uint64
	result     registry.Result
	appliedSeq int64 // position at which a replica first applied it
}

// scheduledEvent is a function that runs at a point in simulated time.
type scheduledEvent struct {
	dueAt time.Duration
	run   func()
	seq   int
}

// simulation is a cluster of replicas, its callers, and the history of everything that the
// callers observed.
type simulation struct {
	t                 *testing.T
	cluster           *rafttest.Cluster
	scheduled         []scheduledEvent
	eventSeq          int
	lastSeq           int64
	calls             []*call
	effects           map[uint64]effect // by tag
	results           map[uint64]registry.Result
	sendCounts        map[string]int // number of puts sent by value
	nextNodeID        uint64         // ID of the next member to be added
	lostNodeID        uint64         // voter that lost its disk and is not replaced yet, or 0
	faultyNodeID      uint64         // node affected by the current fault
	isStopping        bool
	keepsHolderNames  bool // each caller acquires all locks with one holder name
	probePuts         int
	watchedEvents     int
	snapshotInstalls  int
	watchedByRevision map[string]map[uint64]coordination.Event // events received by watchers, by group
	ackedRevisions    map[string]uint64                        // newest acknowledged revision by group
}

func newSimulation(t *testing.T, seed int64, nodeCount int) *simulation {
	sim := &simulation{
		t: t, effects: map[uint64]effect{}, results: map[uint64]registry.Result{}, sendCounts: map[string]int{},
		watchedByRevision: map[string]map[uint64]coordination.Event{}, ackedRevisions: map[string]uint64{},
	}
	sim.nextNodeID = uint64(nodeCount + 1)
	sim.cluster = rafttest.NewCluster(seed, nodeCount, func() rafttest.StateMachine {
		r := &replica{sim: sim, store: registry.NewStore(), lastRequestAt: map[bool]time.Duration{}}
		r.leases.Restart(sim.now(), nil)
		return r
	})
	sim.run(time.Second)
	return sim
}

func (sim *simulation) now() time.Duration {
	if sim.cluster == nil {
		return 0
	}
	return sim.cluster.Now
}

// recordEffect records the effect of a call, which must be the same on every replica.
func (sim *simulation) recordEffect(tag, index uint64, res registry.Result) {
	if previous, ok := sim.results[index]; ok && !reflect.DeepEqual(previous, res) {
		sim.t.Errorf("index %d returned %+v on one replica and %+v on another", index, previous, res)
	}
	sim.results[index] = res
	if previous, ok := sim.effects[tag]; ok && previous.index != index {
		sim.t.Errorf("a call was committed twice, at index %d and %d", previous.index, index)
	}
	if _, ok := sim.effects[tag]; !ok {
		sim.lastSeq++
		sim.effects[tag] = effect{index, res, sim.lastSeq}
	}
}

// schedule runs a function after a delay in simulated time.
func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.eventSeq++
	sim.scheduled = append(sim.scheduled, scheduledEvent{sim.now() + delay, run, sim.eventSeq})
}

// randomDuration returns a random duration below limit.
func (sim *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(sim.cluster.Rand.Int63n(int64(limit)))
}

// run advances simulated time for the cluster and the scheduled events.
func (sim *simulation) run(duration time.Duration) {
	for end := sim.cluster.Now + duration; sim.cluster.Now < end; {
		sim.cluster.Run(sim.cluster.StepInterval)
		sim.runDueEvents()
	}
}

// runDueEvents runs the events that are due in the order of their times.
func (sim *simulation) runDueEvents() {
	pending := sim.scheduled
	sim.scheduled = nil
	var due []scheduledEvent
	for _, e := range pending {
		if e.dueAt <= sim.cluster.Now {
			due = append(due, e)
		} else {
			sim.scheduled = append(sim.scheduled, e)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		return due[i].dueAt < due[j].dueAt || due[i].dueAt == due[j].dueAt && due[i].seq < due[j].seq
	})
	for _, e := range due {
		e.run()
	}
}

// onNode runs a function on the current incarnation of a node once the node is not frozen. A
// message to a frozen process waits in its socket and is lost if the process ends.
func (sim *simulation) onNode(id uint64, run func()) {
	n := sim.cluster.Nodes[id]
	if n == nil || !sim.cluster.IsUp(id) {
		return
	}
	sim.inIncarnation(id, n.StateMachine, run)
}

// inIncarnation is like onNode for a given incarnation, which is identified by its state
// machine.
func (sim *simulation) inIncarnation(id uint64, incarnation rafttest.StateMachine, run func()) {
	switch n := sim.cluster.Nodes[id]; {
	case n == nil || !sim.cluster.IsUp(id) || n.StateMachine != incarnation:
	case sim.cluster.IsFrozen(id):
		sim.schedule(0, func() { sim.inIncarnation(id, incarnation, run) })
	default:
		run()
	}
}

// sendMessage runs deliver on a node after a delay unless the message is lost.
func (sim *simulation) sendMessage(from, to uint64, deliver func()) {
	if sim.cluster.Rand.Intn(50) == 0 {
		return
	}
	sim.schedule(sim.randomDuration(30*time.Millisecond), func() {
		if !sim.cluster.IsLinkCut(from, to) {
			sim.onNode(to, deliver)
		}
	})
}

// startCall records a call as sent. done runs when the outcome is set.
func (sim *simulation) startCall(x *call, done func()) {
	sim.lastSeq++
	x.tag, x.sentAt, x.callSeq, x.done = uint64(len(sim.calls)+1), sim.now(), sim.lastSeq, done
	sim.calls = append(sim.calls, x)
	sim.schedule(callerTimeout, func() { sim.finishCall(x, unknown) })
}

// callNode sends a call to a node.
func (sim *simulation) callNode(id uint64, x *call, done func()) {
	sim.startCall(x, done)
	sim.schedule(sim.randomDuration(10*time.Millisecond), func() {
		if !sim.cluster.IsUp(id) {
			sim.finishCall(x, rejected)
			return
		}
		incarnation := sim.cluster.Nodes[id].StateMachine
		sim.inIncarnation(id, incarnation, func() {
			deadline := sim.now() + outcomeTimeout
			if x.command.Txn == nil && x.command.Coordination == nil {
				sim.executeRead(id, incarnation, x, deadline)
			} else {
				sim.executeCommand(id, incarnation, x, deadline)
			}
		})
	})
}

// finishCall sets the outcome of a call. Later outcomes are ignored.
func (sim *simulation) finishCall(x *call, o outcome) {
	if x.returnedAt != 0 {
		return
	}
	sim.lastSeq++
	x.outcome, x.returnedAt, x.returnSeq = o, sim.now(), sim.lastSeq
	if o == answered && x.command.Coordination != nil && x.command.Coordination.Operation == coordination.PutCell && x.result.Latch.Code == coordination.OK {
		g := coordination.GroupOf(x.command.Coordination.Name)
		sim.ackedRevisions[g] = max(sim.ackedRevisions[g], x.result.Latch.Revision)
	}
	x.done()
}

// sendReply answers a call after a delay.
func (sim *simulation) sendReply(x *call, o outcome, res registry.Result) {
	sim.schedule(sim.randomDuration(10*time.Millisecond), func() {
		if x.returnedAt == 0 {
			x.result = res
		}
		sim.finishCall(x, o)
	})
}

// executeCommand proposes a call's command on this node if it leads, and otherwise forwards
// it to the leader.
func (sim *simulation) executeCommand(id uint64, incarnation rafttest.StateMachine, x *call, deadline time.Duration) {
	retry := func() {
		if deadline-sim.now() < outcomeTimeout/2 {
			sim.sendReply(x, rejected, registry.Result{})
			return
		}
		sim.schedule(sim.cluster.StepInterval, func() {
			sim.inIncarnation(id, incarnation, func() { sim.executeCommand(id, incarnation, x, deadline) })
		})
	}
	node := sim.cluster.Nodes[id].Raft
	switch leader := node.LeaderID(); {
	case node.Role() == raft.Leader:
		if !sim.propose(id, x, func(o outcome, res registry.Result) { sim.sendReply(x, o, res) }) {
			retry()
		}
	case leader == 0:
		retry()
	default:
		sim.sendMessage(id, leader, func() {
			forwardReply := func(o outcome, res registry.Result) {
				sim.sendMessage(leader, id, func() {
					sim.inIncarnation(id, incarnation, func() {
						if o == rejected {
							retry()
						} else {
							sim.sendReply(x, o, res)
						}
					})
				})
			}
			if !sim.propose(leader, x, forwardReply) {
				forwardReply(rejected, registry.Result{})
			}
		})
	}
}

// propose appends a command to the log of a node that leads, or answers it without a log
// entry, and reports whether the node did either.
func (sim *simulation) propose(id uint64, x *call, done func(outcome, registry.Result)) bool {
	cmd := x.command
	r := sim.cluster.Nodes[id].StateMachine.(*replica)
	if cmd.Coordination != nil {
		r.leases.StartTerm(sim.cluster.Nodes[id].Raft.Term())
		var decision coordination.Decision
		cmd.Coordination, decision = r.leases.Prepare(sim.now(), cmd.Coordination, r.store.Coordination().Locks)
		isRelease := cmd.Coordination.Operation == coordination.ReleaseLock
		switch {
		case decision == coordination.Defer, isRelease && !sim.cluster.Nodes[id].Raft.HasAppliedInTerm():
			return false
		case decision == coordination.AnswerOK:
			sim.lastSeq += 2
			x.callSeq, x.withheldSeq = sim.lastSeq-1, sim.lastSeq
			done(answered, registry.Result{})
			return true
		}
	}
	data := append(binary.BigEndian.AppendUint64(nil, x.tag), registry.EncodeCommand(cmd)...)
	sim.lastSeq++
	x.callSeq = sim.lastSeq // the call cannot take effect earlier
	isProposed := sim.cluster.Propose(id, data, func(result any, ok bool) {
		switch res, isResult := result.(registry.Result); {
		case ok && isResult:
			done(answered, res)
		case !ok && sim.cluster.IsUp(id):
			done(rejected, registry.Result{}) // a different entry was committed at its index
		}
	})
	if isProposed && cmd.Coordination != nil {
		r.leases.Proposed(sim.cluster.Nodes[id].Raft.LastIndex(), cmd.Coordination)
	}
	return isProposed
}

// awaitReadIndex requests a read index from the leader (Raft thesis, section 6.4) and calls
// done with true once the node has applied the log up to it, or with false if that fails by
// the deadline.
func (sim *simulation) awaitReadIndex(id uint64, incarnation rafttest.StateMachine, deadline time.Duration, done func(ok bool)) {
	var awaitApplied func(index uint64)
	awaitApplied = func(index uint64) {
		switch {
		case sim.cluster.Nodes[id].Raft.AppliedIndex() >= index:
			done(true)
		case sim.now() >= deadline:
			done(false)
		default:
			sim.schedule(sim.cluster.StepInterval, func() { sim.inIncarnation(id, incarnation, func() { awaitApplied(index) }) })
		}
	}
	onReadIndex := func(index uint64, ok bool) {
		switch {
		case ok:
			awaitApplied(index)
		case deadline-sim.now() < outcomeTimeout/2:
			done(false)
		default:
			sim.schedule(sim.cluster.StepInterval, func() {
				sim.inIncarnation(id, incarnation, func() { sim.awaitReadIndex(id, incarnation, deadline, done) })
			})
		}
	}
	node := sim.cluster.Nodes[id].Raft
	switch leader := node.LeaderID(); {
	case node.Role() == raft.Leader:
		sim.cluster.ReadIndex(id, func(index uint64, ok bool) {
			sim.schedule(0, func() { sim.inIncarnation(id, incarnation, func() { onReadIndex(index, ok) }) })
		})
	case leader == 0:
		onReadIndex(0, false)
	default:
		sim.sendMessage(id, leader, func() {
			sim.cluster.ReadIndex(leader, func(index uint64, ok bool) {
				sim.sendMessage(leader, id, func() { sim.inIncarnation(id, incarnation, func() { onReadIndex(index, ok) }) })
			})
		})
	}
}

// executeRead answers a read once the node has reached a read index.
func (sim *simulation) executeRead(id uint64, incarnation rafttest.StateMachine, x *call, deadline time.Duration) {
	sim.awaitReadIndex(id, incarnation, deadline, func(ok bool) {
		if !ok {
			sim.sendReply(x, rejected, registry.Result{})
			return
		}
		s := incarnation.(*replica).store
		if x.object == registry.ConfigKey {
			o, _ := s.Get(registry.ConfigKey)
			x.revision, x.value = o.ModRevision, string(o.Value)
		} else {
			cell := s.Coordination().Cells[x.object]
			x.revision, x.value = cell.Revision, cell.Value
		}
		sim.sendReply(x, answered, registry.Result{})
	})
}

// watchGroup requests the puts to a group after a revision from a node. It waits up to
// outcomeTimeout for the first put and fails on a node that knows no leader.
func (sim *simulation) watchGroup(id uint64, group string, after uint64, done func(events []coordination.Event, revision uint64, ok bool)) {
	floor := sim.ackedRevisions[group]
	sim.onNode(id, func() {
		incarnation := sim.cluster.Nodes[id].StateMachine
		sim.awaitReadIndex(id, incarnation, sim.now()+outcomeTimeout, func(ok bool) {
			if !ok {
				done(nil, 0, false)
				return
			}
			deadline := sim.now() + outcomeTimeout
			var poll func()
			poll = func() {
				events, revision, kept := incarnation.(*replica).store.Coordination().EventsSince(group, after)
				node := sim.cluster.Nodes[id].Raft
				switch {
				case !kept || revision < floor || after > revision:
					sim.t.Errorf("node %d: watch of %s after revision %d, with revision %d acknowledged before it, got revision %d and kept %v", id, group, after, floor, revision, kept)
					done(nil, 0, false)
				case len(events) > 0 || sim.now() >= deadline:
					done(events, revision, true)
				case node.LeaderID() == 0:
					done(nil, 0, false)
				default:
					sim.schedule(sim.cluster.StepInterval, func() { sim.inIncarnation(id, incarnation, poll) })
				}
			}
			poll()
		})
	})
}

// runWatcher watches a group from one node after another.
func (sim *simulation) runWatcher(group string, after uint64) {
	isAnswered := false
	watchAgain := func(after uint64) {
		if !isAnswered && !sim.isStopping {
			isAnswered = true
			sim.schedule(sim.randomDuration(300*time.Millisecond), func() { sim.runWatcher(group, after) })
		}
	}
	sim.watchGroup(sim.pickNode(), group, after, func(events []coordination.Event, revision uint64, ok bool) {
		if !ok || isAnswered {
			watchAgain(after)
			return
		}
		sim.checkWatchedEvents(group, after, events, revision)
		watchAgain(revision)
	})
	sim.schedule(3*callerTimeout, func() { watchAgain(after) })
}

// checkWatchedEvents checks that the answer to a watch has every put after one revision and
// up to another, each equal to what the other watchers received.
func (sim *simulation) checkWatchedEvents(group string, after uint64, events []coordination.Event, revision uint64) {
	watched := sim.watchedByRevision[group]
	if watched == nil {
		watched = map[uint64]coordination.Event{}
		sim.watchedByRevision[group] = watched
	}
	for _, e := range events {
		if after++; e.Revision != after {
			sim.t.Errorf("watch of %s: revision %d follows revision %d", group, e.Revision, after-1)
			after = e.Revision
		}
		if previous, ok := watched[after]; ok && previous != e {
			sim.t.Errorf("revision %d of %s has two events: %+v and %+v", after, group, previous, e)
		}
		watched[after] = e
		sim.watchedEvents++
	}
	if after != revision {
		sim.t.Errorf("watch of %s ended at revision %d, want %d", group, after, revision)
	}
}

// pickNode returns a random node, preferably the one affected by the current fault.
func (sim *simulation) pickNode() uint64 {
	ids := sim.cluster.IDs()
	if sim.cluster.Nodes[sim.faultyNodeID] != nil && sim.cluster.Rand.Intn(3) == 0 {
		return sim.faultyNodeID
	}
	return ids[sim.cluster.Rand.Intn(len(ids))]
}
