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
func TestHistories(t *testing.T) {
	for _, seed := range []int64{1, 2, 3, 12, 19, 23} {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			h := newChronicle(t, seed, 3+2*int(seed%2))
			h.play()
			h.settle()
			count, late := h.check()
			if count[answered] < 1500 || count[refused] < 50 || late < 5 || h.watches < 500 || h.installs < 1 {
				t.Error("too little was served, refused or left unknown")
			}
		})
	}
}

const (
	answerIn  = 900 * time.Millisecond  // how long a node seeks an outcome
	patience  = 1200 * time.Millisecond // how long a caller waits
	longestMS = 2000                    // a lock is held for so long at most
	cutFor    = 20 * time.Second

	evacuation = registry.EvacPrefix + "z"
)

// outcome is how a call ended for its caller.
type outcome uint8

const (
	unknown  outcome = iota // it may take effect at any later time
	refused                 // it is promised that nothing was done
	answered                // the result is the caller's
)

// call is one call of one caller. Its command goes into the log under a tag that
// the store does not see, by which it is known later whether it took effect.
type call struct {
	tag    uint64
	object string
	cmd    registry.Command // none for a read

	outcome    outcome
	result     registry.Result
	revision   uint64 // of what was read
	value      string
	sent, back time.Duration
	from, to   int64 // places in the order of all that callers did
	done       func()
}

// replica is a node's store with its lock timers, as a control-plane node has them:
// from when it applied the grant, anew after a snapshot or a start.
type replica struct {
	h      *chronicle
	s      *registry.Store
	timers map[string]lockTimer
	// The evacuation of the one zone that there is, and when its newest orders of
	// each kind came here.
	evac    registry.Evacuation
	ordered map[bool]time.Duration
}

type lockTimer struct {
	grant uint64
	until time.Duration
}

func (r *replica) Apply(index uint64, data []byte) any {
	cmd, err := registry.DecodeCommand(data[8:])
	if err != nil {
		r.h.t.Errorf("index %d: %v", index, err)
		return nil
	}
	res, _ := r.s.Apply(cmd)
	if l := cmd.Latch; l != nil {
		if (l.Op == coordination.Begin || l.Op == coordination.Renew) && res.Latch.Code == coordination.OK {
			k := r.s.Latches().Locks[l.Name]
			r.timers[l.Name] = lockTimer{k.Grant, r.h.now() + time.Duration(k.HoldMS)*time.Millisecond}
		}
	}
	r.note()
	r.h.took(binary.BigEndian.Uint64(data), index, res)
	return res
}

func (r *replica) Snapshot() []byte { b, _ := r.s.Snapshot(); return b }

func (r *replica) Restore(data []byte) {
	if r.s.Revision() > 0 {
		r.h.installs++ // it was away for too long for the log
	}
	if err := r.s.Restore(data); err != nil {
		r.h.t.Error(err)
	}
	r.note()
	r.timers = map[string]lockTimer{}
	for name, k := range r.s.Latches().Locks {
		r.timers[name] = lockTimer{k.Grant, r.h.now() + time.Duration(k.HoldMS)*time.Millisecond}
	}
}

func (r *replica) note() {
	o, _ := r.s.Get(evacuation)
	was := r.evac
	if r.evac = registry.DecodeEvacuation(o); r.evac.Begins != was.Begins {
		r.ordered[true] = r.h.now()
	}
	if r.evac.Finishes != was.Finishes {
		r.ordered[false] = r.h.now()
	}
}

type effect struct {
	index  uint64
	result registry.Result
	stamp  int64 // when a replica first applied it
}

type event struct {
	at  time.Duration
	do  func()
	seq int
}

type chronicle struct {
	t        *testing.T
	c        *rafttest.Cluster
	events   []event
	seq      int
	stamp    int64
	calls    []*call
	effects  map[uint64]effect // by tag
	results  map[uint64]registry.Result
	sends    map[string]int // of each put's value
	next     uint64         // identity
	lost     uint64         // voter whose disk is gone
	focus    uint64         // node in trouble
	over     bool
	puts     int
	watches  int
	installs int
	replays  map[string]map[uint64]coordination.Event // what watchers were told, by group
	acked    map[string]uint64                        // newest revision acknowledged, by group
}

func newChronicle(t *testing.T, seed int64, n int) *chronicle {
	h := &chronicle{
		t: t, effects: map[uint64]effect{}, results: map[uint64]registry.Result{}, sends: map[string]int{},
		replays: map[string]map[uint64]coordination.Event{}, acked: map[string]uint64{},
	}
	h.next = uint64(n + 1)
	h.c = rafttest.NewCluster(seed, n, func() rafttest.StateMachine {
		return &replica{h: h, s: registry.New(), timers: map[string]lockTimer{}, ordered: map[bool]time.Duration{}}
	})
	h.run(time.Second)
	return h
}

func (h *chronicle) now() time.Duration {
	if h.c == nil {
		return 0
	}
	return h.c.Now
}

// took notes the effect of a call, the same at every replica.
func (h *chronicle) took(tag, index uint64, res registry.Result) {
	if was, ok := h.results[index]; ok && !reflect.DeepEqual(was, res) {
		h.t.Errorf("index %d gave %+v at one replica and %+v at another", index, was, res)
	}
	h.results[index] = res
	if was, ok := h.effects[tag]; ok && was.index != index {
		h.t.Errorf("one call was committed at index %d and %d", was.index, index)
	}
	if _, ok := h.effects[tag]; !ok {
		h.stamp++
		h.effects[tag] = effect{index, res, h.stamp}
	}
}

func (h *chronicle) after(span time.Duration, do func()) {
	h.seq++
	h.events = append(h.events, event{h.now() + span, do, h.seq})
}

func (h *chronicle) draw(most time.Duration) time.Duration {
	return time.Duration(h.c.Rand.Int63n(int64(most)))
}

// run lets time pass for the group and for what is said round it.
func (h *chronicle) run(span time.Duration) {
	for end := h.c.Now + span; h.c.Now < end; {
		h.c.Run(h.c.StepInterval)
		h.turn()
	}
}

// turn does what is due.
func (h *chronicle) turn() {
	all := h.events
	h.events = nil
	var due []event
	for _, e := range all {
		if e.at <= h.c.Now {
			due = append(due, e)
		} else {
			h.events = append(h.events, e)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		return due[i].at < due[j].at || due[i].at == due[j].at && due[i].seq < due[j].seq
	})
	for _, e := range due {
		e.do()
	}
}

// at does something at a node in the life that it has now, once it is not frozen:
// what is meant for it waits in its socket, and ends with its process.
func (h *chronicle) at(id uint64, do func()) {
	n := h.c.Nodes[id]
	if n == nil || !h.c.IsUp(id) {
		return
	}
	h.in(id, n.StateMachine, do)
}

func (h *chronicle) in(id uint64, life rafttest.StateMachine, do func()) {
	switch n := h.c.Nodes[id]; {
	case n == nil || !h.c.IsUp(id) || n.StateMachine != life:
	case h.c.IsFrozen(id):
		h.after(0, func() { h.in(id, life, do) })
	default:
		do()
	}
}

// send brings something from one node to another, or not.
func (h *chronicle) send(from, to uint64, do func()) {
	if h.c.Rand.Intn(50) == 0 {
		return
	}
	h.after(h.draw(30*time.Millisecond), func() {
		if !h.c.IsLinkCut(from, to) {
			h.at(to, do)
		}
	})
}

// begin notes a call that goes out.
func (h *chronicle) begin(x *call, done func()) {
	h.stamp++
	x.tag, x.sent, x.from, x.done = uint64(len(h.calls)+1), h.now(), h.stamp, done
	h.calls = append(h.calls, x)
	h.after(patience, func() { h.answer(x, unknown) })
}

// ask makes a call to a node.
func (h *chronicle) ask(id uint64, x *call, done func()) {
	h.begin(x, done)
	h.after(h.draw(10*time.Millisecond), func() {
		if !h.c.IsUp(id) {
			h.answer(x, refused)
			return
		}
		life := h.c.Nodes[id].StateMachine
		h.in(id, life, func() {
			end := h.now() + answerIn
			if x.cmd.Txn == nil && x.cmd.Latch == nil {
				h.read(id, life, x, end)
			} else {
				h.do(id, life, x, end)
			}
		})
	})
}

// answer ends a call for its caller; what comes later is not heard.
func (h *chronicle) answer(x *call, o outcome) {
	if x.back != 0 {
		return
	}
	h.stamp++
	x.outcome, x.back, x.to = o, h.now(), h.stamp
	if o == answered && x.cmd.Latch != nil && x.cmd.Latch.Op == coordination.Put && x.result.Latch.Code == coordination.OK {
		g := coordination.GroupOf(x.cmd.Latch.Name)
		h.acked[g] = max(h.acked[g], x.result.Latch.Revision)
	}
	x.done()
}

func (h *chronicle) reply(x *call, o outcome, res registry.Result) {
	h.after(h.draw(10*time.Millisecond), func() {
		if x.back == 0 {
			x.result = res
		}
		h.answer(x, o)
	})
}

// do puts a call's command through the log, here or at the leader.
func (h *chronicle) do(id uint64, life rafttest.StateMachine, x *call, end time.Duration) {
	retry := func() {
		if end-h.now() < answerIn/2 {
			h.reply(x, refused, registry.Result{})
			return
		}
		h.after(h.c.StepInterval, func() { h.in(id, life, func() { h.do(id, life, x, end) }) })
	}
	node := h.c.Nodes[id].Raft
	switch leader := node.LeaderID(); {
	case node.Role() == raft.Leader:
		if !h.propose(id, x, func(o outcome, res registry.Result) { h.reply(x, o, res) }) {
			retry()
		}
	case leader == 0:
		retry()
	default:
		h.send(id, leader, func() {
			back := func(o outcome, res registry.Result) {
				h.send(leader, id, func() {
					h.in(id, life, func() {
						if o == refused {
							retry()
						} else {
							h.reply(x, o, res)
						}
					})
				})
			}
			if !h.propose(leader, x, back) {
				back(refused, registry.Result{})
			}
		})
	}
}

// propose appends a command at a node that leads. It names the grant that has run
// out by this node's steady clock.
func (h *chronicle) propose(id uint64, x *call, done func(outcome, registry.Result)) bool {
	cmd := x.cmd
	r := h.c.Nodes[id].StateMachine.(*replica)
	if cmd.Latch != nil && cmd.Latch.Op == coordination.Begin {
		spent := *cmd.Latch
		if k, held := r.s.Latches().Locks[spent.Name]; held {
			if t := r.timers[spent.Name]; t.grant == k.Grant && h.now() >= t.until {
				spent.SpentFence, spent.SpentGrant = k.Fence, k.Grant
			}
		}
		cmd.Latch = &spent
	}
	data := append(binary.BigEndian.AppendUint64(nil, x.tag), registry.EncodeCommand(cmd)...)
	h.stamp++
	x.from = h.stamp // it cannot take effect before
	return h.c.Propose(id, data, func(result any, ok bool) {
		switch res, is := result.(registry.Result); {
		case ok && is:
			done(answered, res)
		case !ok && h.c.IsUp(id):
			done(refused, registry.Result{}) // another entry stands in its place
		}
	})
}

// readPoint asks a node that leads, or the leader that it knows, for a confirmed
// read point, and goes on once the node has reached it.
func (h *chronicle) readPoint(id uint64, life rafttest.StateMachine, end time.Duration, done func(ok bool)) {
	var reached func(index uint64)
	reached = func(index uint64) {
		switch {
		case h.c.Nodes[id].Raft.AppliedIndex() >= index:
			done(true)
		case h.now() >= end:
			done(false)
		default:
			h.after(h.c.StepInterval, func() { h.in(id, life, func() { reached(index) }) })
		}
	}
	got := func(index uint64, ok bool) {
		switch {
		case ok:
			reached(index)
		case end-h.now() < answerIn/2:
			done(false)
		default:
			h.after(h.c.StepInterval, func() { h.in(id, life, func() { h.readPoint(id, life, end, done) }) })
		}
	}
	node := h.c.Nodes[id].Raft
	switch leader := node.LeaderID(); {
	case node.Role() == raft.Leader:
		h.c.ReadIndex(id, func(index uint64, ok bool) {
			h.after(0, func() { h.in(id, life, func() { got(index, ok) }) })
		})
	case leader == 0:
		got(0, false)
	default:
		h.send(id, leader, func() {
			h.c.ReadIndex(leader, func(index uint64, ok bool) {
				h.send(leader, id, func() { h.in(id, life, func() { got(index, ok) }) })
			})
		})
	}
}

func (h *chronicle) read(id uint64, life rafttest.StateMachine, x *call, end time.Duration) {
	h.readPoint(id, life, end, func(ok bool) {
		if !ok {
			h.reply(x, refused, registry.Result{})
			return
		}
		s := life.(*replica).s
		if x.object == registry.ConfigKey {
			o, _ := s.Get(registry.ConfigKey)
			x.revision, x.value = o.ModRevision, string(o.Value)
		} else {
			cell := s.Latches().Cells[x.object]
			x.revision, x.value = cell.Revision, cell.Value
		}
		h.reply(x, answered, registry.Result{})
	})
}

// watch asks a node for the puts of a group above after; it waits a little for
// one, and is not answered by a node that has lost touch.
func (h *chronicle) watch(id uint64, group string, after uint64, done func(events []coordination.Event, revision uint64, ok bool)) {
	floor := h.acked[group]
	h.at(id, func() {
		life := h.c.Nodes[id].StateMachine
		h.readPoint(id, life, h.now()+answerIn, func(ok bool) {
			if !ok {
				done(nil, 0, false)
				return
			}
			end := h.now() + answerIn
			var poll func()
			poll = func() {
				events, rev, kept := life.(*replica).s.Latches().Since(group, after)
				node := h.c.Nodes[id].Raft
				switch {
				case !kept || rev < floor || after > rev:
					h.t.Errorf("node %d: watch of %s after %d, with %d acknowledged before: revision %d, kept %v", id, group, after, floor, rev, kept)
					done(nil, 0, false)
				case len(events) > 0 || h.now() >= end:
					done(events, rev, true)
				case node.LeaderID() == 0:
					done(nil, 0, false)
				default:
					h.after(h.c.StepInterval, func() { h.in(id, life, poll) })
				}
			}
			poll()
		})
	})
}

// watcher goes from node to node.
func (h *chronicle) watcher(group string, after uint64) {
	heard := false
	again := func(after uint64) {
		if !heard && !h.over {
			heard = true
			h.after(h.draw(300*time.Millisecond), func() { h.watcher(group, after) })
		}
	}
	h.watch(h.someNode(), group, after, func(events []coordination.Event, revision uint64, ok bool) {
		if !ok || heard {
			again(after)
			return
		}
		h.told(group, after, events, revision)
		again(revision)
	})
	h.after(3*patience, func() { again(after) })
}

// told checks what a watch gave: all puts above after and up to revision, each as
// everybody else was told.
func (h *chronicle) told(group string, after uint64, events []coordination.Event, revision uint64) {
	all := h.replays[group]
	if all == nil {
		all = map[uint64]coordination.Event{}
		h.replays[group] = all
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
		h.watches++
	}
	if after != revision {
		h.t.Errorf("watch of %s ends with %d, its revision is %d", group, after, revision)
	}
}

// someNode is the one in trouble, or any.
func (h *chronicle) someNode() uint64 {
	ids := h.c.IDs()
	if h.c.Nodes[h.focus] != nil && h.c.Rand.Intn(3) == 0 {
		return h.focus
	}
	return ids[h.c.Rand.Intn(len(ids))]
}

// caller makes one call after the other.
type caller struct {
	h       *chronicle
	name    string
	holds   int    // how many locks it has asked for
	lock    string // it holds, or may hold
	holder  string
	fence   uint64
	version int
	config  call // as last read
	cells   map[string]uint64
}

func (p *caller) think() {
	if !p.h.over {
		p.h.after(p.h.draw(300*time.Millisecond), p.act)
	}
}

func (p *caller) latch(c coordination.Command, done func(x *call)) {
	x := &call{object: c.Name, cmd: registry.Command{Latch: &c}}
	p.h.ask(p.h.someNode(), x, func() {
		done(x)
		p.think()
	})
}

func (p *caller) act() {
	h, r := p.h, p.h.c.Rand
	cell := fmt.Sprintf("g%d.%d", r.Intn(2), r.Intn(3))
	p.version++
	value := fmt.Sprint(p.name, " ", p.version)
	switch k := r.Intn(12); {
	case k < 2:
		x := &call{object: registry.ConfigKey}
		h.ask(h.someNode(), x, func() {
			if x.outcome == answered {
				p.config = *x
			}
			p.think()
		})
	case k < 4:
		p.replace("configuration of some length that stays as it is, and of " + value)
	case k < 6:
		x := &call{object: cell}
		h.ask(h.someNode(), x, func() {
			if x.outcome == answered {
				p.cells[cell] = x.revision
			}
			p.think()
		})
	case k < 8:
		p.put(coordination.Command{Op: coordination.Put, Name: cell, Value: value, HasExpect: r.Intn(2) == 0, Expect: p.cells[cell]})
	case k < 9:
		p.latch(coordination.Command{Op: coordination.Next, Name: fmt.Sprint("n", r.Intn(2))}, func(*call) {})
	default:
		p.lockStep()
	}
}

// replace writes the configuration on the condition that it is the one last read,
// sometimes as the difference.
func (p *caller) replace(value string) {
	w := registry.Write{Key: registry.ConfigKey, Value: []byte(value)}
	if p.config.revision > 0 && p.config.value != "" && p.h.c.Rand.Intn(2) == 0 {
		w.Value, w.Patch = registry.Delta([]byte(p.config.value), w.Value), true
	}
	x := &call{object: registry.ConfigKey, value: value, cmd: registry.Command{Txn: &registry.Txn{
		If: []registry.Condition{{Key: registry.ConfigKey, ModRevision: p.config.revision}}, Then: []registry.Write{w},
	}}}
	p.h.ask(p.h.someNode(), x, func() {
		switch {
		case x.outcome != answered:
		case !x.result.Conflict:
			p.config = call{revision: x.result.Revision, value: value}
		case len(x.result.Current) > 0:
			p.config = call{revision: x.result.Current[0].ModRevision}
		}
		p.think()
	})
}

// put sends a put, and often sends it again where its outcome is unknown.
func (p *caller) put(c coordination.Command) {
	p.h.sends[c.Value]++
	x := &call{object: c.Name, cmd: registry.Command{Latch: &c}}
	p.h.ask(p.h.someNode(), x, func() {
		if x.outcome == unknown && p.h.c.Rand.Intn(2) == 0 {
			p.put(c)
			return
		}
		if x.outcome == answered {
			p.cells[c.Name] = x.result.Latch.Revision
		}
		p.think()
	})
}

// lockStep goes on with a lock: begins, holds on, gives back, or dies with it.
// Each holder's name stands for one holding.
func (p *caller) lockStep() {
	r := p.h.c.Rand
	if p.lock == "" {
		p.holds++
		p.lock, p.holder, p.fence = fmt.Sprint("l", r.Intn(4)), fmt.Sprint(p.name, ".", p.holds), 0
	}
	l := coordination.Command{Name: p.lock, Holder: p.holder, Fence: p.fence, HoldMS: uint64(100 + r.Intn(longestMS-100))}
	switch k := r.Intn(10); {
	case p.fence == 0 || k < 1:
		l.Op, l.Fence = coordination.Begin, 0
		p.latch(l, func(x *call) {
			if x.outcome == answered && x.result.Latch.Code == coordination.OK {
				p.fence = x.result.Latch.Fence
			} else if r.Intn(2) == 0 {
				p.lock = ""
			}
		})
	case k < 6:
		l.Op = coordination.Renew
		p.latch(l, func(x *call) {
			if x.outcome == answered && x.result.Latch.Code == coordination.Lost {
				p.lock = ""
			}
		})
	case k < 8:
		p.lock = ""
		l.Op = coordination.Finish
		p.latch(l, func(*call) {})
	default:
		p.lock = ""
		p.think()
	}
}

// play lets callers and trouble loose.
func (h *chronicle) play() {
	for i := range 12 {
		p := &caller{h: h, name: fmt.Sprint("c", i), cells: map[string]uint64{}}
		p.think()
	}
	for i := range 6 {
		h.watcher(fmt.Sprintf("g%d.", i%2), 0)
	}
	for _, k := range h.c.Rand.Perm(8) {
		ids := h.c.IDs()
		id := ids[h.c.Rand.Intn(len(ids))]
		if l := h.c.Leader(); l != nil && h.c.Rand.Intn(2) == 0 {
			id = l.ID
		}
		h.focus = id
		span := 3 * time.Second
		if k < 3 {
			h.probe()
		}
		switch k {
		case 0, 1, 2: // both ways, deaf, mute
			for _, o := range ids {
				h.c.SetLinkCut(id, o, k != 1)
				h.c.SetLinkCut(o, id, k != 2)
			}
			span = cutFor
		case 3, 4:
			if l := h.c.Leader(); l != nil {
				h.focus = l.ID
			}
			for _, o := range ids { // the other of the two thaws out of touch
				h.c.SetLinkCut(h.focus, o, k == 4)
				h.c.SetLinkCut(o, h.focus, k == 4)
			}
			h.c.SetFrozen(h.focus, true)
			h.run(h.draw(4 * time.Second))
			h.probe()
			h.run(time.Second)
			h.c.SetFrozen(h.focus, false)
			h.turn() // what waits in its socket may come before its clock
		case 5:
			for range 10 {
				h.c.HangDisk(ids[h.c.Rand.Intn(len(ids))], h.draw(time.Second))
				h.run(300 * time.Millisecond)
			}
		case 6:
			if l := h.c.Leader(); l != nil { // it and half the others sync nothing for a while
				h.c.HangDisk(l.ID, time.Second)
				for i, left := 0, len(ids)/2; left > 0; i++ {
					if ids[i] != l.ID {
						h.c.HangDisk(ids[i], time.Second)
						left--
					}
				}
			}
			h.probe()
			h.run(200 * time.Millisecond)
			for _, o := range ids {
				h.c.Crash(o)
			}
			for _, o := range ids {
				h.after(h.draw(time.Second), func() { h.c.Restart(o) })
			}
		case 7:
			h.loseDisk(id)
		}
		h.run(span)
		h.c.Heal()
		h.run(2 * time.Second)
	}
}

// probe asks the node in trouble to read, closely, and others to put meanwhile.
func (h *chronicle) probe() {
	object := fmt.Sprintf("g0.%d", h.c.Rand.Intn(3))
	for k := range 120 {
		h.after(h.draw(time.Second), func() {
			if k%3 > 0 {
				h.ask(h.focus, &call{object: object}, func() {})
				return
			}
			h.puts++
			c := coordination.Command{Op: coordination.Put, Name: object, Value: fmt.Sprint("probe ", h.puts)}
			h.ask(h.someNode(), &call{object: object, cmd: registry.Command{Latch: &c}}, func() {})
		})
	}
}

// loseDisk ends a voter for good; another life takes its place.
func (h *chronicle) loseDisk(id uint64) {
	l := h.c.Leader()
	if l == nil || !l.Raft.Membership().IsVoter(id) {
		return
	}
	h.lost = id
	h.c.Remove(id)
	h.focus = h.next
	h.c.Add(h.next)
	h.next++
	h.takeIn()
}

// takeIn goes step by step towards the new member's vote.
func (h *chronicle) takeIn() {
	if l := h.c.Leader(); l != nil && !l.Raft.HasPendingConfChange() {
		ms, id := l.Raft.Membership(), h.next-1
		m := raft.Member{ID: id, Addr: fmt.Sprint("node-", id)}
		switch {
		case !ms.IsMember(id):
			_ = l.Raft.ProposeConfChange(ms.WithLearner(m)) // tried again
		case ms.IsMember(h.lost):
			_ = l.Raft.ProposeConfChange(ms.Without(h.lost))
		case !ms.IsVoter(id) && l.Raft.MatchIndex(id)+100 > l.Raft.LastIndex():
			_ = l.Raft.ProposeConfChange(ms.WithVoter(m))
		case ms.IsVoter(id):
			h.lost = 0
			return
		}
	}
	h.after(50*time.Millisecond, h.takeIn)
}

// settle ends the trouble, lets power fail once more, and asks every node for all
// there is: it must answer, and no lock stays with a holder whose time is over.
func (h *chronicle) settle() {
	h.over = true
	h.run(5 * time.Second)
	if h.lost != 0 {
		h.t.Error("the new member was never taken in")
	}
	// Four die with their locks, which then stand in every snapshot alone.
	const held = 4 * time.Second
	begin := func(k int, holder string, hold time.Duration) {
		c := coordination.Command{Op: coordination.Begin, Name: fmt.Sprint("l", k), Holder: holder, HoldMS: uint64(hold.Milliseconds())}
		h.ask(h.someNode(), &call{object: c.Name, cmd: registry.Command{Latch: &c}}, func() {})
	}
	for k := range 4 {
		begin(k, "sleeper", held)
	}
	for range 300 {
		c := coordination.Command{Op: coordination.Next, Name: "n0"}
		h.ask(h.someNode(), &call{object: c.Name, cmd: registry.Command{Latch: &c}}, func() {})
	}
	h.run(500 * time.Millisecond)
	for _, id := range h.c.IDs() {
		h.c.Crash(id)
	}
	for _, id := range h.c.IDs() {
		h.c.Restart(id)
	}
	for round := range 30 {
		for k := range 4 {
			begin(k, fmt.Sprint("late", round), 100*time.Millisecond)
		}
		h.run(held / 20)
	}
	last := func(id uint64, object string, c *coordination.Command) {
		for try := 0; ; try++ {
			x := &call{object: object, cmd: registry.Command{Latch: c}}
			h.ask(id, x, func() {})
			h.run(patience + 100*time.Millisecond)
			if x.outcome == answered && (c == nil || x.result.Latch.Code == coordination.OK) {
				return
			}
			if try == 3 {
				h.t.Errorf("node %d: %s is not had after all trouble: %+v", id, object, x)
				return
			}
		}
	}
	for _, id := range h.c.IDs() {
		last(id, registry.ConfigKey, nil)
		for k := range 6 {
			last(id, fmt.Sprintf("g%d.%d", k/3, k%3), nil)
		}
	}
	for k := range 4 {
		last(h.c.IDs()[0], fmt.Sprint("l", k), &coordination.Command{Op: coordination.Begin, Name: fmt.Sprint("l", k), Holder: "last", HoldMS: 100})
	}
	for k := range 2 {
		last(h.c.IDs()[1], fmt.Sprint("n", k), &coordination.Command{Op: coordination.Next, Name: fmt.Sprint("n", k)})
		group := fmt.Sprintf("g%d.", k)
		for _, id := range h.c.IDs() {
			events, rev, _ := h.c.Nodes[id].StateMachine.(*replica).s.Latches().Since(group, 0)
			h.told(group, 0, events, rev)
		}
	}
}

// check holds all that was seen against what one copy would allow.
func (h *chronicle) check() (count map[outcome]int, late int) {
	if h.c.Violation != "" {
		h.t.Error(h.c.Violation)
	}
	parts := map[string][]porcupine.Operation{}
	count = map[outcome]int{}
	given := map[string]uint64{}
	for _, x := range h.calls {
		count[x.outcome]++
		e, took := h.effects[x.tag]
		op := porcupine.Operation{Input: x, Call: x.from, Return: x.to}
		if took && x.outcome == answered {
			op.Return = min(x.to, e.stamp)
		}
		switch {
		case x.outcome == refused && took:
			h.t.Errorf("refused, and yet it took effect at index %d: %+v", e.index, x)
		case x.outcome == unknown && took:
			x.result, op.Return = e.result, e.stamp
			late++
		case x.outcome != answered:
			continue
		case x.cmd != (registry.Command{}) && !reflect.DeepEqual(e.result, x.result):
			h.t.Errorf("answered as %+v, committed as %+v: %+v", x.result, e.result, x)
		}
		if c := x.cmd.Latch; c != nil && c.Op == coordination.Put && x.result.Latch.Code == coordination.OK {
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
		if r := porcupine.CheckOperationsTimeout(h.model(o), parts[o], 20*time.Second); r != porcupine.Ok {
			h.t.Errorf("the history of %s, %d calls: %s", o, len(parts[o]), r)
		}
		if o[0] == 'l' {
			h.oneHolder(o)
		}
	}
	h.t.Logf("%d calls: %d answered, %d refused, %d unknown of which %d took effect; %d events watched, %d snapshots installed", len(h.calls), count[answered], count[refused], count[unknown], late, h.watches, h.installs)
	return count, late
}

func (h *chronicle) model(object string) porcupine.Model {
	switch {
	case strings.Contains(object, "/"):
		return modelOf(register{}, stepObject)
	case strings.Contains(object, "."):
		return modelOf(register{}, h.stepCell)
	case object[0] == 'n':
		return modelOf(uint64(0), func(top uint64, x *call) (bool, uint64) {
			return x.result.Latch.Value > top, x.result.Latch.Value
		})
	}
	return modelOf(lock{}, stepLock)
}

func modelOf[S any](first S, step func(s S, x *call) (bool, S)) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
		Step: func(s, x, _ any) (bool, any) { return step(s.(S), x.(*call)) },
	}
}

type register struct {
	revision uint64
	value    string
}

func stepObject(s register, x *call) (bool, register) {
	if x.cmd.Txn == nil {
		return s == register{x.revision, x.value}, s
	}
	want := x.cmd.Txn.If[0].ModRevision
	if x.result.Conflict {
		at := uint64(0)
		if len(x.result.Current) > 0 {
			at = x.result.Current[0].ModRevision
		}
		return s.revision != want && s.revision == at, s
	}
	return s.revision == want && x.result.Revision > want, register{x.result.Revision, x.value}
}

// stepCell: one that arrives again gets the revision it got first, which its key has
// reached by then.
func (h *chronicle) stepCell(s register, x *call) (bool, register) {
	c, r := x.cmd.Latch, x.result.Latch
	switch {
	case c == nil:
		return s == register{x.revision, x.value}, s
	case r.Code == coordination.Mismatch:
		return s.revision == r.Revision && c.HasExpect && c.Expect != s.revision, s
	case r.Revision <= s.revision:
		return h.sends[c.Value] > 1 && (r.Revision < s.revision || c.Value == s.value), s
	}
	return !c.HasExpect || c.Expect == s.revision, register{r.Revision, c.Value}
}

// lock is a lock as its callers may see it: until is when the holder stops counting
// itself holder.
type lock struct {
	holder     string
	fence, top uint64
	until      time.Duration
}

func stepLock(s lock, x *call) (bool, lock) {
	c, r := x.cmd.Latch, x.result.Latch
	until := time.Duration(0)
	if x.outcome == answered {
		until = x.sent + time.Duration(c.HoldMS)*time.Millisecond
	}
	mine := s.holder == c.Holder && s.fence == c.Fence
	switch {
	case c.Op == coordination.Finish:
		if mine {
			s.holder, s.until = "", 0
		}
		return true, s
	case c.Op == coordination.Renew:
		if r.Code != coordination.OK {
			return !mine, s
		}
		if x.outcome == answered {
			s.until = until
		}
		return mine, s
	case r.Code == coordination.Held:
		return s.holder != "" && s.holder != c.Holder, s
	case s.holder == c.Holder && r.Fence == s.fence:
		if x.outcome == answered {
			s.until = until
		}
		return true, s
	}
	spent := x.outcome == unknown || x.back >= s.until
	return r.Fence > s.top && (s.holder == "" || spent), lock{c.Holder, r.Fence, r.Fence, until}
}

// oneHolder: no two callers count themselves holder at one moment of true time: from
// a good answer until hold_s after the newest such call went out, or until a finish
// goes out.
func (h *chronicle) oneHolder(name string) {
	type span struct {
		holder   string
		from, to time.Duration
	}
	until := map[string]time.Duration{} // the next good answer comes, or a finish goes out
	var spans []span
	for i := len(h.calls) - 1; i >= 0; i-- { // as they were sent, the newest first
		x := h.calls[i]
		c := x.cmd.Latch
		if x.object != name || c.Op != coordination.Finish && (x.outcome != answered || x.result.Latch.Code != coordination.OK) {
			continue
		}
		s := span{c.Holder, x.back, x.sent + time.Duration(c.HoldMS)*time.Millisecond}
		if next, ok := until[c.Holder]; ok {
			s.to = min(s.to, next)
		}
		if c.Op == coordination.Finish {
			until[c.Holder] = x.sent
			continue
		}
		if until[c.Holder] = x.back; s.from < s.to {
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
