package registry_test

import (
	"encoding/binary"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lichentray/coordination"
	"lichentray/raft"
	"lichentray/raft/rafttest"
	"lichentray/registry"
)

// TestHistories: a group in trouble for two minutes of simulated time (cuts of
// 20 s both ways, deafness, muteness, frozen leaders, hanging disks, a loss of power
// of all, a lost disk and its successor, snapshots taken while a member is away).
// Callers ask every node all the time, those in trouble above all; a node that does
// not lead passes the call on. What the callers saw of the configuration, the cells,
// the numbers and the locks is linearizable; what was refused never took effect;
// what was left unknown took effect once at most.
func TestClientHistoriesAreLinearizable(t *testing.T) {
	for _, seed := range []int64{1, 2, 3, 12, 19, 23} {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			h := newSimulation(t, seed, 3+2*int(seed%2))
			h.injectFaults()
			h.healAndReadAll()
			count, late := h.checkHistory()
			if count[answered] < 1500 || count[rejected] < 50 || late < 5 || h.watchedEvents < 500 || h.snapshotInstalls < 1 {
				t.Error("too little was served, refused or left unknown")
			}
		})
	}
}

const (
	outcomeTimeout    = 900 * time.Millisecond  // how long a node seeks an outcome
	callerTimeout     = 1200 * time.Millisecond // how long a caller waits
	maxLeaseMS        = 2000                    // a lock is held for so long at most
	partitionDuration = 20 * time.Second

	evacuationKey = registry.EvacuationPrefix + "z"
)

// outcome is how a call ended for its caller.
type outcome uint8

const (
	unknown  outcome = iota // it may take effect at any later time
	rejected                // it is promised that nothing was done
	answered                // the result is the caller's
)

// call is one call of one caller. Its command goes into the log under a tag that
// the store does not see, by which it is known later whether it took effect.
type call struct {
	tag     uint64
	object  string
	command registry.Command // none for a read

	outcome                outcome
	result                 registry.Result
	revision               uint64 // of what was read
	value                  string
	sentAt, returnedAt     time.Duration
	callOrder, returnOrder int64 // places in the order of all that callers did
	done                   func()
}

// replica is a node's store with its lock timers, as a control-plane node has them:
// callOrder when it applied the grant, anew after a snapshot or a start.
type replica struct {
	sim    *simulation
	store  *registry.Store
	timers map[string]lockTimer
	// The evacuation of the one zone that there is, and when its newest orders of
	// each kind came here.
	evacuation  registry.Evacuation
	lastOrderAt map[bool]time.Duration
}

type lockTimer struct {
	grant     uint64
	expiresAt time.Duration
}

func (r *replica) Apply(index uint64, data []byte) any {
	cmd, err := registry.DecodeCommand(data[8:])
	if err != nil {
		r.sim.t.Errorf("index %d: %v", index, err)
		return nil
	}
	res, _ := r.store.Apply(cmd)
	if l := cmd.Coordination; l != nil {
		if (l.Operation == coordination.AcquireLock || l.Operation == coordination.RenewLock) && res.Latch.Code == coordination.OK {
			k := r.store.Coordination().Locks[l.Name]
			r.timers[l.Name] = lockTimer{k.Grant, r.sim.now() + time.Duration(k.HoldMS)*time.Millisecond}
		}
	}
	r.observeEvacuation()
	r.sim.recordEffect(binary.BigEndian.Uint64(data), index, res)
	return res
}

func (r *replica) Snapshot() []byte { b, _ := r.store.Snapshot(); return b }

func (r *replica) Restore(data []byte) {
	if r.store.Revision() > 0 {
		r.sim.snapshotInstalls++ // it was away for too long for the log
	}
	if err := r.store.Restore(data); err != nil {
		r.sim.t.Error(err)
	}
	r.observeEvacuation()
	r.timers = map[string]lockTimer{}
	for name, k := range r.store.Coordination().Locks {
		r.timers[name] = lockTimer{k.Grant, r.sim.now() + time.Duration(k.HoldMS)*time.Millisecond}
	}
}

func (r *replica) observeEvacuation() {
	o, _ := r.store.Get(evacuationKey)
	was := r.evacuation
	if r.evacuation = registry.DecodeEvacuation(o); r.evacuation.BeginCount != was.BeginCount {
		r.lastOrderAt[true] = r.sim.now()
	}
	if r.evacuation.FinishCount != was.FinishCount {
		r.lastOrderAt[false] = r.sim.now()
	}
}

type effect struct {
	index        uint64
	result       registry.Result
	appliedOrder int64 // when a replica first applied it
}

type scheduledEvent struct {
	dueAt time.Duration
	run   func()
	seq   int
}

type simulation struct {
	t                 *testing.T
	cluster           *rafttest.Cluster
	scheduled         []scheduledEvent
	eventSeq          int
	lastOrder         int64
	calls             []*call
	effects           map[uint64]effect // by tag
	results           map[uint64]registry.Result
	sendCounts        map[string]int // of each put's value
	nextNodeID        uint64         // identity
	lostNodeID        uint64         // voter whose disk is gone
	faultyNodeID      uint64         // node in trouble
	isOver            bool
	probePuts         int
	watchedEvents     int
	snapshotInstalls  int
	watchedByRevision map[string]map[uint64]coordination.Event // what watchers were told, by group
	ackedRevisions    map[string]uint64                        // newest revision acknowledged, by group
}

func newSimulation(t *testing.T, seed int64, n int) *simulation {
	h := &simulation{
		t: t, effects: map[uint64]effect{}, results: map[uint64]registry.Result{}, sendCounts: map[string]int{},
		watchedByRevision: map[string]map[uint64]coordination.Event{}, ackedRevisions: map[string]uint64{},
	}
	h.nextNodeID = uint64(n + 1)
	h.cluster = rafttest.NewCluster(seed, n, func() rafttest.StateMachine {
		return &replica{sim: h, store: registry.NewStore(), timers: map[string]lockTimer{}, lastOrderAt: map[bool]time.Duration{}}
	})
	h.run(time.Second)
	return h
}

func (h *simulation) now() time.Duration {
	if h.cluster == nil {
		return 0
	}
	return h.cluster.Now
}

// recordEffect notes the effect of a call, the same at every replica.
func (h *simulation) recordEffect(tag, index uint64, res registry.Result) {
	if was, ok := h.results[index]; ok && !reflect.DeepEqual(was, res) {
		h.t.Errorf("index %d gave %+v at one replica and %+v at another", index, was, res)
	}
	h.results[index] = res
	if was, ok := h.effects[tag]; ok && was.index != index {
		h.t.Errorf("one call was committed at index %d and %d", was.index, index)
	}
	if _, ok := h.effects[tag]; !ok {
		h.lastOrder++
		h.effects[tag] = effect{index, res, h.lastOrder}
	}
}

func (h *simulation) schedule(span time.Duration, do func()) {
	h.eventSeq++
	h.scheduled = append(h.scheduled, scheduledEvent{h.now() + span, do, h.eventSeq})
}

func (h *simulation) randomDuration(most time.Duration) time.Duration {
	return time.Duration(h.cluster.Rand.Int63n(int64(most)))
}

// run lets time pass for the group and for what is said round it.
func (h *simulation) run(span time.Duration) {
	for end := h.cluster.Now + span; h.cluster.Now < end; {
		h.cluster.Run(h.cluster.StepInterval)
		h.runDueEvents()
	}
}

// runDueEvents does what is due.
func (h *simulation) runDueEvents() {
	all := h.scheduled
	h.scheduled = nil
	var due []scheduledEvent
	for _, e := range all {
		if e.dueAt <= h.cluster.Now {
			due = append(due, e)
		} else {
			h.scheduled = append(h.scheduled, e)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		return due[i].dueAt < due[j].dueAt || due[i].dueAt == due[j].dueAt && due[i].seq < due[j].seq
	})
	for _, e := range due {
		e.run()
	}
}

// onNode does something at a node in the life that it has now, once it is not frozen:
// what is meant for it waits in its socket, and ends with its process.
func (h *simulation) onNode(id uint64, do func()) {
	n := h.cluster.Nodes[id]
	if n == nil || !h.cluster.IsUp(id) {
		return
	}
	h.inIncarnation(id, n.StateMachine, do)
}

func (h *simulation) inIncarnation(id uint64, life rafttest.StateMachine, do func()) {
	switch n := h.cluster.Nodes[id]; {
	case n == nil || !h.cluster.IsUp(id) || n.StateMachine != life:
	case h.cluster.IsFrozen(id):
		h.schedule(0, func() { h.inIncarnation(id, life, do) })
	default:
		do()
	}
}

// sendMessage brings something from one node to another, or not.
func (h *simulation) sendMessage(from, to uint64, do func()) {
	if h.cluster.Rand.Intn(50) == 0 {
		return
	}
	h.schedule(h.randomDuration(30*time.Millisecond), func() {
		if !h.cluster.IsLinkCut(from, to) {
			h.onNode(to, do)
		}
	})
}

// startCall notes a call that goes out.
func (h *simulation) startCall(x *call, done func()) {
	h.lastOrder++
	x.tag, x.sentAt, x.callOrder, x.done = uint64(len(h.calls)+1), h.now(), h.lastOrder, done
	h.calls = append(h.calls, x)
	h.schedule(callerTimeout, func() { h.finishCall(x, unknown) })
}

// callNode makes a call to a node.
func (h *simulation) callNode(id uint64, x *call, done func()) {
	h.startCall(x, done)
	h.schedule(h.randomDuration(10*time.Millisecond), func() {
		if !h.cluster.IsUp(id) {
			h.finishCall(x, rejected)
			return
		}
		life := h.cluster.Nodes[id].StateMachine
		h.inIncarnation(id, life, func() {
			end := h.now() + outcomeTimeout
			if x.command.Txn == nil && x.command.Coordination == nil {
				h.executeRead(id, life, x, end)
			} else {
				h.executeCommand(id, life, x, end)
			}
		})
	})
}

// finishCall ends a call for its caller; what comes later is not heard.
func (h *simulation) finishCall(x *call, o outcome) {
	if x.returnedAt != 0 {
		return
	}
	h.lastOrder++
	x.outcome, x.returnedAt, x.returnOrder = o, h.now(), h.lastOrder
	if o == answered && x.command.Coordination != nil && x.command.Coordination.Operation == coordination.PutCell && x.result.Latch.Code == coordination.OK {
		g := coordination.GroupOf(x.command.Coordination.Name)
		h.ackedRevisions[g] = max(h.ackedRevisions[g], x.result.Latch.Revision)
	}
	x.done()
}

func (h *simulation) sendReply(x *call, o outcome, res registry.Result) {
	h.schedule(h.randomDuration(10*time.Millisecond), func() {
		if x.returnedAt == 0 {
			x.result = res
		}
		h.finishCall(x, o)
	})
}

// run puts a call's command through the log, here or at the leader.
func (h *simulation) executeCommand(id uint64, life rafttest.StateMachine, x *call, end time.Duration) {
	retry := func() {
		if end-h.now() < outcomeTimeout/2 {
			h.sendReply(x, rejected, registry.Result{})
			return
		}
		h.schedule(h.cluster.StepInterval, func() { h.inIncarnation(id, life, func() { h.executeCommand(id, life, x, end) }) })
	}
	node := h.cluster.Nodes[id].Raft
	switch leader := node.LeaderID(); {
	case node.Role() == raft.Leader:
		if !h.propose(id, x, func(o outcome, res registry.Result) { h.sendReply(x, o, res) }) {
			retry()
		}
	case leader == 0:
		retry()
	default:
		h.sendMessage(id, leader, func() {
			back := func(o outcome, res registry.Result) {
				h.sendMessage(leader, id, func() {
					h.inIncarnation(id, life, func() {
						if o == rejected {
							retry()
						} else {
							h.sendReply(x, o, res)
						}
					})
				})
			}
			if !h.propose(leader, x, back) {
				back(rejected, registry.Result{})
			}
		})
	}
}

// propose appends a command at a node that leads. It names the grant that has run
// out by this node's steady clock.
func (h *simulation) propose(id uint64, x *call, done func(outcome, registry.Result)) bool {
	cmd := x.command
	r := h.cluster.Nodes[id].StateMachine.(*replica)
	if cmd.Coordination != nil && cmd.Coordination.Operation == coordination.AcquireLock {
		spent := *cmd.Coordination
		if k, held := r.store.Coordination().Locks[spent.Name]; held {
			if t := r.timers[spent.Name]; t.grant == k.Grant && h.now() >= t.expiresAt {
				spent.ExpiredToken, spent.ExpiredGrant = k.Fence, k.Grant
			}
		}
		cmd.Coordination = &spent
	}
	data := append(binary.BigEndian.AppendUint64(nil, x.tag), registry.EncodeCommand(cmd)...)
	h.lastOrder++
	x.callOrder = h.lastOrder // it cannot take effect before
	return h.cluster.Propose(id, data, func(result any, ok bool) {
		switch res, is := result.(registry.Result); {
		case ok && is:
			done(answered, res)
		case !ok && h.cluster.IsUp(id):
			done(rejected, registry.Result{}) // another entry stands in its place
		}
	})
}

// awaitReadIndex asks a node that leads, or the leader that it knows, for a confirmed
// executeRead point, and goes on once the node has reached it.
func (h *simulation) awaitReadIndex(id uint64, life rafttest.StateMachine, end time.Duration, done func(ok bool)) {
	var reached func(index uint64)
	reached = func(index uint64) {
		switch {
		case h.cluster.Nodes[id].Raft.AppliedIndex() >= index:
			done(true)
		case h.now() >= end:
			done(false)
		default:
			h.schedule(h.cluster.StepInterval, func() { h.inIncarnation(id, life, func() { reached(index) }) })
		}
	}
	got := func(index uint64, ok bool) {
		switch {
		case ok:
			reached(index)
		case end-h.now() < outcomeTimeout/2:
			done(false)
		default:
			h.schedule(h.cluster.StepInterval, func() { h.inIncarnation(id, life, func() { h.awaitReadIndex(id, life, end, done) }) })
		}
	}
	node := h.cluster.Nodes[id].Raft
	switch leader := node.LeaderID(); {
	case node.Role() == raft.Leader:
		h.cluster.ReadIndex(id, func(index uint64, ok bool) {
			h.schedule(0, func() { h.inIncarnation(id, life, func() { got(index, ok) }) })
		})
	case leader == 0:
		got(0, false)
	default:
		h.sendMessage(id, leader, func() {
			h.cluster.ReadIndex(leader, func(index uint64, ok bool) {
				h.sendMessage(leader, id, func() { h.inIncarnation(id, life, func() { got(index, ok) }) })
			})
		})
	}
}

func (h *simulation) executeRead(id uint64, life rafttest.StateMachine, x *call, end time.Duration) {
	h.awaitReadIndex(id, life, end, func(ok bool) {
		if !ok {
			h.sendReply(x, rejected, registry.Result{})
			return
		}
		s := life.(*replica).store
		if x.object == registry.ConfigKey {
			o, _ := s.Get(registry.ConfigKey)
			x.revision, x.value = o.ModRevision, string(o.Value)
		} else {
			cell := s.Coordination().Cells[x.object]
			x.revision, x.value = cell.Revision, cell.Value
		}
		h.sendReply(x, answered, registry.Result{})
	})
}

// watchGroup asks a node for the puts of a group above after; it waits a little for
// one, and is not answered by a node that has lost touch.
func (h *simulation) watchGroup(id uint64, group string, after uint64, done func(events []coordination.Event, revision uint64, ok bool)) {
	floor := h.ackedRevisions[group]
	h.onNode(id, func() {
		life := h.cluster.Nodes[id].StateMachine
		h.awaitReadIndex(id, life, h.now()+outcomeTimeout, func(ok bool) {
			if !ok {
				done(nil, 0, false)
				return
			}
			end := h.now() + outcomeTimeout
			var poll func()
			poll = func() {
				events, rev, kept := life.(*replica).store.Coordination().EventsSince(group, after)
				node := h.cluster.Nodes[id].Raft
				switch {
				case !kept || rev < floor || after > rev:
					h.t.Errorf("node %d: watch of %s after %d, with %d acknowledged before: revision %d, kept %v", id, group, after, floor, rev, kept)
					done(nil, 0, false)
				case len(events) > 0 || h.now() >= end:
					done(events, rev, true)
				case node.LeaderID() == 0:
					done(nil, 0, false)
				default:
					h.schedule(h.cluster.StepInterval, func() { h.inIncarnation(id, life, poll) })
				}
			}
			poll()
		})
	})
}

// runWatcher goes from node to node.
func (h *simulation) runWatcher(group string, after uint64) {
	heard := false
	again := func(after uint64) {
		if !heard && !h.isOver {
			heard = true
			h.schedule(h.randomDuration(300*time.Millisecond), func() { h.runWatcher(group, after) })
		}
	}
	h.watchGroup(h.pickNode(), group, after, func(events []coordination.Event, revision uint64, ok bool) {
		if !ok || heard {
			again(after)
			return
		}
		h.checkWatchedEvents(group, after, events, revision)
		again(revision)
	})
	h.schedule(3*callerTimeout, func() { again(after) })
}

// checkWatchedEvents checks what a watch gave: all puts above after and up to revision, each as
// everybody else was told.
func (h *simulation) checkWatchedEvents(group string, after uint64, events []coordination.Event, revision uint64) {
	all := h.watchedByRevision[group]
	if all == nil {
		all = map[uint64]coordination.Event{}
		h.watchedByRevision[group] = all
	}
	for _, e := range events {
		if after++; e.Revision != after {
			h.t.Errorf("watch of %s: %d follows on %d", group, e.Revision, after-1)
			after = e.Revision
		}
		if was, ok := all[after]; ok && was != e {
			h.t.Errorf("revision %d of %s was %+v and is %+v", after, group, was, e)
		}
		all[after] = e
		h.watchedEvents++
	}
	if after != revision {
		h.t.Errorf("watch of %s ends with %d, its revision is %d", group, after, revision)
	}
}

// pickNode is the one in trouble, or any.
func (h *simulation) pickNode() uint64 {
	ids := h.cluster.IDs()
	if h.cluster.Nodes[h.faultyNodeID] != nil && h.cluster.Rand.Intn(3) == 0 {
		return h.faultyNodeID
	}
	return ids[h.cluster.Rand.Intn(len(ids))]
}

// caller makes one call after the other.
type caller struct {
	sim          *simulation
	name         string
	lockCount    int    // how many locks it has asked for
	lock         string // it holds, or may hold
	holder       string
	fencingToken uint64
	version      int
	config       call // as last read
	cells        map[string]uint64
}

func (p *caller) scheduleNextCall() {
	if !p.sim.isOver {
		p.sim.schedule(p.sim.randomDuration(300*time.Millisecond), p.makeNextCall)
	}
}

func (p *caller) callCoordination(c coordination.Command, done func(x *call)) {
	x := &call{object: c.Name, command: registry.Command{Coordination: &c}}
	p.sim.callNode(p.sim.pickNode(), x, func() {
		done(x)
		p.scheduleNextCall()
	})
}

func (p *caller) makeNextCall() {
	h, r := p.sim, p.sim.cluster.Rand
	cell := fmt.Sprintf("g%d.%d", r.Intn(2), r.Intn(3))
	p.version++
	value := fmt.Sprint(p.name, " ", p.version)
	switch k := r.Intn(12); {
	case k < 2:
		x := &call{object: registry.ConfigKey}
		h.callNode(h.pickNode(), x, func() {
			if x.outcome == answered {
				p.config = *x
			}
			p.scheduleNextCall()
		})
	case k < 4:
		p.replaceConfig("configuration of some length that stays as it is, and of " + value)
	case k < 6:
		x := &call{object: cell}
		h.callNode(h.pickNode(), x, func() {
			if x.outcome == answered {
				p.cells[cell] = x.revision
			}
			p.scheduleNextCall()
		})
	case k < 8:
		p.putCell(coordination.Command{Operation: coordination.PutCell, Name: cell, Value: value, HasExpectedRevision: r.Intn(2) == 0, ExpectedRevision: p.cells[cell]})
	case k < 9:
		p.callCoordination(coordination.Command{Operation: coordination.NextNumber, Name: fmt.Sprint("n", r.Intn(2))}, func(*call) {})
	default:
		p.advanceLock()
	}
}

// replaceConfig writes the configuration on the condition that it is the one last read,
// sometimes as the difference.
func (p *caller) replaceConfig(value string) {
	w := registry.Write{Key: registry.ConfigKey, Value: []byte(value)}
	if p.config.revision > 0 && p.config.value != "" && p.sim.cluster.Rand.Intn(2) == 0 {
		w.Value, w.IsDelta = registry.ComputeDelta([]byte(p.config.value), w.Value), true
	}
	x := &call{object: registry.ConfigKey, value: value, command: registry.Command{Txn: &registry.Txn{
		If: []registry.Compare{{Key: registry.ConfigKey, ModRevision: p.config.revision}}, Then: []registry.Write{w},
	}}}
	p.sim.callNode(p.sim.pickNode(), x, func() {
		switch {
		case x.outcome != answered:
		case !x.result.Conflict:
			p.config = call{revision: x.result.Revision, value: value}
		case len(x.result.Current) > 0:
			p.config = call{revision: x.result.Current[0].ModRevision}
		}
		p.scheduleNextCall()
	})
}

// putCell sends a put, and often sends it again where its outcome is unknown.
func (p *caller) putCell(c coordination.Command) {
	p.sim.sendCounts[c.Value]++
	x := &call{object: c.Name, command: registry.Command{Coordination: &c}}
	p.sim.callNode(p.sim.pickNode(), x, func() {
		if x.outcome == unknown && p.sim.cluster.Rand.Intn(2) == 0 {
			p.putCell(c)
			return
		}
		if x.outcome == answered {
			p.cells[c.Name] = x.result.Latch.Revision
		}
		p.scheduleNextCall()
	})
}

// advanceLock goes on with a lock: begins, holds on, gives back, or dies with it.
// Each holder's name stands for one holding.
func (p *caller) advanceLock() {
	r := p.sim.cluster.Rand
	if p.lock == "" {
		p.lockCount++
		p.lock, p.holder, p.fencingToken = fmt.Sprint("l", r.Intn(4)), fmt.Sprint(p.name, ".", p.lockCount), 0
	}
	l := coordination.Command{Name: p.lock, Holder: p.holder, FencingToken: p.fencingToken, LeaseMS: uint64(100 + r.Intn(maxLeaseMS-100))}
	switch k := r.Intn(10); {
	case p.fencingToken == 0 || k < 1:
		l.Operation, l.FencingToken = coordination.AcquireLock, 0
		p.callCoordination(l, func(x *call) {
			if x.outcome == answered && x.result.Latch.Code == coordination.OK {
				p.fencingToken = x.result.Latch.Fence
			} else if r.Intn(2) == 0 {
				p.lock = ""
			}
		})
	case k < 6:
		l.Operation = coordination.RenewLock
		p.callCoordination(l, func(x *call) {
			if x.outcome == answered && x.result.Latch.Code == coordination.LockLost {
				p.lock = ""
			}
		})
	case k < 8:
		p.lock = ""
		l.Operation = coordination.ReleaseLock
		p.callCoordination(l, func(*call) {})
	default:
		p.lock = ""
		p.scheduleNextCall()
	}
}

// injectFaults lets callers and trouble loose.
func (h *simulation) injectFaults() {
	for i := range 12 {
		p := &caller{sim: h, name: fmt.Sprint("c", i), cells: map[string]uint64{}}
		p.scheduleNextCall()
	}
	for i := range 6 {
		h.runWatcher(fmt.Sprintf("g%d.", i%2), 0)
	}
	for _, k := range h.cluster.Rand.Perm(8) {
		ids := h.cluster.IDs()
		id := ids[h.cluster.Rand.Intn(len(ids))]
		if l := h.cluster.Leader(); l != nil && h.cluster.Rand.Intn(2) == 0 {
			id = l.ID
		}
		h.faultyNodeID = id
		span := 3 * time.Second
		if k < 3 {
			h.probeFaultyNode()
		}
		switch k {
		case 0, 1, 2: // both ways, deaf, mute
			for _, o := range ids {
				h.cluster.SetLinkCut(id, o, k != 1)
				h.cluster.SetLinkCut(o, id, k != 2)
			}
			span = partitionDuration
		case 3, 4:
			if l := h.cluster.Leader(); l != nil {
				h.faultyNodeID = l.ID
			}
			for _, o := range ids { // the other of the two thaws out of touch
				h.cluster.SetLinkCut(h.faultyNodeID, o, k == 4)
				h.cluster.SetLinkCut(o, h.faultyNodeID, k == 4)
			}
			h.cluster.SetFrozen(h.faultyNodeID, true)
			h.run(h.randomDuration(4 * time.Second))
			h.probeFaultyNode()
			h.run(time.Second)
			h.cluster.SetFrozen(h.faultyNodeID, false)
			h.runDueEvents() // what waits in its socket may come before its clock
		case 5:
			for range 10 {
				h.cluster.HangDisk(ids[h.cluster.Rand.Intn(len(ids))], h.randomDuration(time.Second))
				h.run(300 * time.Millisecond)
			}
		case 6:
			if l := h.cluster.Leader(); l != nil { // it and half the others sync nothing for a while
				h.cluster.HangDisk(l.ID, time.Second)
				for i, left := 0, len(ids)/2; left > 0; i++ {
					if ids[i] != l.ID {
						h.cluster.HangDisk(ids[i], time.Second)
						left--
					}
				}
			}
			h.probeFaultyNode()
			h.run(200 * time.Millisecond)
			for _, o := range ids {
				h.cluster.Crash(o)
			}
			for _, o := range ids {
				h.schedule(h.randomDuration(time.Second), func() { h.cluster.Restart(o) })
			}
		case 7:
			h.loseDisk(id)
		}
		h.run(span)
		h.cluster.Heal()
		h.run(2 * time.Second)
	}
}

// probeFaultyNode asks the node in trouble to read, closely, and others to put meanwhile.
func (h *simulation) probeFaultyNode() {
	object := fmt.Sprintf("g0.%d", h.cluster.Rand.Intn(3))
	for k := range 120 {
		h.schedule(h.randomDuration(time.Second), func() {
			if k%3 > 0 {
				h.callNode(h.faultyNodeID, &call{object: object}, func() {})
				return
			}
			h.probePuts++
			c := coordination.Command{Operation: coordination.PutCell, Name: object, Value: fmt.Sprint("probe ", h.probePuts)}
			h.callNode(h.pickNode(), &call{object: object, command: registry.Command{Coordination: &c}}, func() {})
		})
	}
}

// loseDisk ends a voter for good; another life takes its place.
func (h *simulation) loseDisk(id uint64) {
	l := h.cluster.Leader()
	if l == nil || !l.Raft.Membership().IsVoter(id) {
		return
	}
	h.lostNodeID = id
	h.cluster.Remove(id)
	h.faultyNodeID = h.nextNodeID
	h.cluster.Add(h.nextNodeID)
	h.nextNodeID++
	h.admitReplacement()
}

// admitReplacement goes step by step towards the new member's vote.
func (h *simulation) admitReplacement() {
	if l := h.cluster.Leader(); l != nil && !l.Raft.HasPendingConfChange() {
		ms, id := l.Raft.Membership(), h.nextNodeID-1
		m := raft.Member{ID: id, Addr: fmt.Sprint("node-", id)}
		switch {
		case !ms.IsMember(id):
			_ = l.Raft.ProposeConfChange(ms.WithLearner(m)) // tried again
		case ms.IsMember(h.lostNodeID):
			_ = l.Raft.ProposeConfChange(ms.Without(h.lostNodeID))
		case !ms.IsVoter(id) && l.Raft.MatchIndex(id)+100 > l.Raft.LastIndex():
			_ = l.Raft.ProposeConfChange(ms.WithVoter(m))
		case ms.IsVoter(id):
			h.lostNodeID = 0
			return
		}
	}
	h.schedule(50*time.Millisecond, h.admitReplacement)
}

// healAndReadAll ends the trouble, lets power fail once more, and asks every node for all
// there is: it must answer, and no lock stays with a holder whose time is over.
func (h *simulation) healAndReadAll() {
	h.isOver = true
	h.run(5 * time.Second)
	if h.lostNodeID != 0 {
		h.t.Error("the new member was never taken in")
	}
	// Four die with their locks, which then stand in every snapshot alone.
	const held = 4 * time.Second
	begin := func(k int, holder string, hold time.Duration) {
		c := coordination.Command{Operation: coordination.AcquireLock, Name: fmt.Sprint("l", k), Holder: holder, LeaseMS: uint64(hold.Milliseconds())}
		h.callNode(h.pickNode(), &call{object: c.Name, command: registry.Command{Coordination: &c}}, func() {})
	}
	for k := range 4 {
		begin(k, "sleeper", held)
	}
	for range 300 {
		c := coordination.Command{Operation: coordination.NextNumber, Name: "n0"}
		h.callNode(h.pickNode(), &call{object: c.Name, command: registry.Command{Coordination: &c}}, func() {})
	}
	h.run(500 * time.Millisecond)
	for _, id := range h.cluster.IDs() {
		h.cluster.Crash(id)
	}
	for _, id := range h.cluster.IDs() {
		h.cluster.Restart(id)
	}
	for round := range 30 {
		for k := range 4 {
			begin(k, fmt.Sprint("late", round), 100*time.Millisecond)
		}
		h.run(held / 20)
	}
	last := func(id uint64, object string, c *coordination.Command) {
		for try := 0; ; try++ {
			x := &call{object: object, command: registry.Command{Coordination: c}}
			h.callNode(id, x, func() {})
			h.run(callerTimeout + 100*time.Millisecond)
			if x.outcome == answered && (c == nil || x.result.Latch.Code == coordination.OK) {
				return
			}
			if try == 3 {
				h.t.Errorf("node %d: %s is not had after all trouble: %+v", id, object, x)
				return
			}
		}
	}
	for _, id := range h.cluster.IDs() {
		last(id, registry.ConfigKey, nil)
		for k := range 6 {
			last(id, fmt.Sprintf("g%d.%d", k/3, k%3), nil)
		}
	}
	for k := range 4 {
		last(h.cluster.IDs()[0], fmt.Sprint("l", k), &coordination.Command{Operation: coordination.AcquireLock, Name: fmt.Sprint("l", k), Holder: "last", LeaseMS: 100})
	}
	for k := range 2 {
		last(h.cluster.IDs()[1], fmt.Sprint("n", k), &coordination.Command{Operation: coordination.NextNumber, Name: fmt.Sprint("n", k)})
		group := fmt.Sprintf("g%d.", k)
		for _, id := range h.cluster.IDs() {
			events, rev, _ := h.cluster.Nodes[id].StateMachine.(*replica).store.Coordination().EventsSince(group, 0)
			h.checkWatchedEvents(group, 0, events, rev)
		}
	}
}

// checkHistory holds all that was seen against what one copy would allow.
func (h *simulation) checkHistory() (count map[outcome]int, late int) {
	if h.cluster.Violation != "" {
		h.t.Error(h.cluster.Violation)
	}
	parts := map[string][]porcupine.Operation{}
	count = map[outcome]int{}
	given := map[string]uint64{}
	for _, x := range h.calls {
		count[x.outcome]++
		e, took := h.effects[x.tag]
		op := porcupine.Operation{Input: x, Call: x.callOrder, Return: x.returnOrder}
		if took && x.outcome == answered {
			op.Return = min(x.returnOrder, e.appliedOrder)
		}
		switch {
		case x.outcome == rejected && took:
			h.t.Errorf("refused, and yet it took effect at index %d: %+v", e.index, x)
		case x.outcome == unknown && took:
			x.result, op.Return = e.result, e.appliedOrder
			late++
		case x.outcome != answered:
			continue
		case x.command != (registry.Command{}) && !reflect.DeepEqual(e.result, x.result):
			h.t.Errorf("answered as %+v, committed as %+v: %+v", x.result, e.result, x)
		}
		if c := x.command.Coordination; c != nil && c.Operation == coordination.PutCell && x.result.Latch.Code == coordination.OK {
			if first, ok := given[c.Value]; ok && first != x.result.Latch.Revision {
				h.t.Errorf("%q was given revision %d and %d", c.Value, first, x.result.Latch.Revision)
			}
			given[c.Value] = x.result.Latch.Revision
		}
		parts[x.object] = append(parts[x.object], op)
	}
	var objects []string
	for o := range parts {
		objects = append(objects, o)
	}
	sort.Strings(objects)
	for _, o := range objects {
		if r := porcupine.CheckOperationsTimeout(h.modelFor(o), parts[o], 20*time.Second); r != porcupine.Ok {
			h.t.Errorf("the history of %s, %d calls: %s", o, len(parts[o]), r)
		}
		if o[0] == 'l' {
			h.checkSingleHolder(o)
		}
	}
	h.t.Logf("%d calls: %d answered, %d refused, %d unknown of which %d took effect; %d events watched, %d snapshots installed", len(h.calls), count[answered], count[rejected], count[unknown], late, h.watchedEvents, h.snapshotInstalls)
	return count, late
}

func (h *simulation) modelFor(object string) porcupine.Model {
	switch {
	case strings.Contains(object, "/"):
		return newModel(registerState{}, stepRegister)
	case strings.Contains(object, "."):
		return newModel(registerState{}, h.stepCell)
	case object[0] == 'n':
		return newModel(uint64(0), func(top uint64, x *call) (bool, uint64) {
			return x.result.Latch.Value > top, x.result.Latch.Value
		})
	}
	return newModel(lockState{}, stepLock)
}

func newModel[S any](first S, step func(s S, x *call) (bool, S)) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
		Step: func(s, x, _ any) (bool, any) { return step(s.(S), x.(*call)) },
	}
}

type registerState struct {
	revision uint64
	value    string
}

func stepRegister(s registerState, x *call) (bool, registerState) {
	if x.command.Txn == nil {
		return s == registerState{x.revision, x.value}, s
	}
	want := x.command.Txn.If[0].ModRevision
	if x.result.Conflict {
		at := uint64(0)
		if len(x.result.Current) > 0 {
			at = x.result.Current[0].ModRevision
		}
		return s.revision != want && s.revision == at, s
	}
	return s.revision == want && x.result.Revision > want, registerState{x.result.Revision, x.value}
}

// stepCell: one that arrives again gets the revision it got first, which its key has
// reached by then.
func (h *simulation) stepCell(s registerState, x *call) (bool, registerState) {
	c, r := x.command.Coordination, x.result.Latch
	switch {
	case c == nil:
		return s == registerState{x.revision, x.value}, s
	case r.Code == coordination.RevisionMismatch:
		return s.revision == r.Revision && c.HasExpectedRevision && c.ExpectedRevision != s.revision, s
	case r.Revision <= s.revision:
		return h.sendCounts[c.Value] > 1 && (r.Revision < s.revision || c.Value == s.value), s
	}
	return !c.HasExpectedRevision || c.ExpectedRevision == s.revision, registerState{r.Revision, c.Value}
}

// lockState is a lock as its callers may see it: until is when the holder stops counting
// itself holder.
type lockState struct {
	holder                     string
	fencingToken, highestToken uint64
	expiresAt                  time.Duration
}

func stepLock(s lockState, x *call) (bool, lockState) {
	c, r := x.command.Coordination, x.result.Latch
	until := time.Duration(0)
	if x.outcome == answered {
		until = x.sentAt + time.Duration(c.LeaseMS)*time.Millisecond
	}
	mine := s.holder == c.Holder && s.fencingToken == c.FencingToken
	switch {
	case c.Operation == coordination.ReleaseLock:
		if mine {
			s.holder, s.expiresAt = "", 0
		}
		return true, s
	case c.Operation == coordination.RenewLock:
		if r.Code != coordination.OK {
			return !mine, s
		}
		if x.outcome == answered {
			s.expiresAt = until
		}
		return mine, s
	case r.Code == coordination.LockHeld:
		return s.holder != "" && s.holder != c.Holder, s
	case s.holder == c.Holder && r.Fence == s.fencingToken:
		if x.outcome == answered {
			s.expiresAt = until
		}
		return true, s
	}
	spent := x.outcome == unknown || x.returnedAt >= s.expiresAt
	return r.Fence > s.highestToken && (s.holder == "" || spent), lockState{c.Holder, r.Fence, r.Fence, until}
}

// oneHolder: no two callers count themselves holder at one moment of true time: from
// a good answer until hold_s after the newest such call went out, or until a finish
// goes out.
func (h *simulation) checkSingleHolder(name string) {
	type span struct {
		holder   string
		from, to time.Duration
	}
	until := map[string]time.Duration{} // the next good answer comes, or a finish goes out
	var spans []span
	for i := len(h.calls) - 1; i >= 0; i-- { // as they were sent, the newest first
		x := h.calls[i]
		c := x.command.Coordination
		if x.object != name || c.Operation != coordination.ReleaseLock && (x.outcome != answered || x.result.Latch.Code != coordination.OK) {
			continue
		}
		s := span{c.Holder, x.returnedAt, x.sentAt + time.Duration(c.LeaseMS)*time.Millisecond}
		if next, ok := until[c.Holder]; ok {
			s.to = min(s.to, next)
		}
		if c.Operation == coordination.ReleaseLock {
			until[c.Holder] = x.sentAt
			continue
		}
		if until[c.Holder] = x.returnedAt; s.from < s.to {
			spans = append(spans, s)
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].from < spans[j].from })
	var last span
	for _, s := range spans {
		if s.holder != last.holder && s.from < last.to {
			h.t.Errorf("%s: %s holds until %v, %s from %v", name, last.holder, last.to, s.holder, s.from)
		}
		if s.to > last.to || s.holder != last.holder {
			last = s
		}
	}
}
