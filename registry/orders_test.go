package registry_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"lichentray/coordination"
	"lichentray/raft/rafttest"
	"lichentray/registry"
)

// TestEightOrdersAtOnce: eight orders of each kind under way at once, to eight nodes,
// while the leader crashes, freezes, is cut off or nothing happens; each answer is
// lost and each order sent again, to one node after the other, until it is answered.
//
//   - Configurations 1 to 8: each is written once at most, in rising order, and the
//     newest stands in the end. Whether an older one ever stood cannot be told from
//     its answer: "not above the one held" is acknowledged too.
//   - Locks by one holder's name: one fence, and nobody else gets the lock meanwhile.
//     Two programs under one name cannot be told apart, nor a begin that comes late,
//     after the finish, from a new one: it holds until its time is over.
//   - Puts: one revision each, in both answers; of eight that expect an empty key one
//     is taken, and it alone. A repeat is known for as long as the history is kept.
func TestEightOrdersAtOnce(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			eightOrders(t, seed)
		})
	}
}

func eightOrders(t *testing.T, seed int64) {
	h := newChronicle(t, seed, 8)
	ids := h.c.IDs()
	open := 0
	// order sends one order until an answer but the first comes back.
	order := func(k int, send func(id uint64, done func(o outcome))) {
		open++
		try := 0
		var next func(o outcome)
		next = func(o outcome) {
			if try++; try > 2 && o == answered {
				open--
				return
			}
			h.after(h.draw(200*time.Millisecond), func() { send(ids[(k+3*try)%8], next) })
		}
		next(unknown)
	}
	latched := func(c coordination.Command) func(id uint64, done func(o outcome)) {
		return func(id uint64, done func(o outcome)) {
			h.sends[c.Value]++
			x := &call{object: c.Name, cmd: registry.Command{Latch: &c}}
			h.ask(id, x, func() { done(x.outcome) })
		}
	}
	for k := range 8 {
		order(k, func(id uint64, done func(o outcome)) { h.replace(id, uint64(k+1), done) })
		order(k, latched(coordination.Command{Op: coordination.Begin, Name: "l", Holder: "one", HoldMS: 10_000}))
		order(k, latched(coordination.Command{Op: coordination.Put, Name: "g.a", Value: fmt.Sprint("put ", k)}))
		order(k, latched(coordination.Command{Op: coordination.Put, Name: "e.a", Value: fmt.Sprint("first ", k), HasExpect: true}))
		h.after(2*time.Second+h.draw(6*time.Second), func() {
			latched(coordination.Command{Op: coordination.Begin, Name: "l", Holder: fmt.Sprint("other ", k), HoldMS: 1000})(ids[k], func(outcome) {})
		})
	}
	h.run(h.draw(250 * time.Millisecond))
	leader := h.c.Leader().ID
	switch seed % 4 {
	case 1:
		h.c.Crash(leader)
	case 2:
		h.c.SetFrozen(leader, true)
	case 3:
		for _, o := range ids {
			h.c.SetLinkCut(leader, o, true)
			h.c.SetLinkCut(o, leader, true)
		}
	}
	h.run(3 * time.Second)
	h.c.Heal()
	h.c.Restart(leader)
	h.run(6 * time.Second)
	if open != 0 {
		t.Errorf("%d orders were never answered", open)
	}
	h.check()
	newest, fence := uint64(0), uint64(0)
	for _, x := range h.calls { // as they were sent
		if c := x.cmd.Latch; c != nil && c.Holder == "one" && x.outcome == answered {
			if fence == 0 {
				fence = x.result.Latch.Fence
			}
			if x.result.Latch.Code != coordination.OK || x.result.Latch.Fence != fence {
				t.Errorf("one holder got %+v and fence %d", x.result.Latch, fence)
			}
		}
	}
	writes := map[uint64]uint64{} // versions, by revision
	for _, x := range h.calls {
		if e, took := h.effects[x.tag]; took && x.cmd.Txn != nil && !e.result.Conflict {
			writes[e.result.Revision], _, _ = registry.DecodeConfig(registry.Object{Value: []byte(x.value)})
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(writes)) {
		if v := writes[revision]; v <= newest {
			t.Errorf("version %d was written after %d", v, newest)
		}
		newest = writes[revision]
	}
	t.Logf("%d calls, %d configurations written", len(h.calls), len(writes))
	if newest != 8 {
		t.Errorf("version %d stands in the end", newest)
	}
	tab := h.c.Nodes[ids[0]].StateMachine.(*replica).s.Latches()
	if a, b := tab.Revision("g."), tab.Revision("e."); a != 8 || b != 1 {
		t.Errorf("%d puts of 8 were taken, and %d of those that expected none", a, b)
	}
}

// replace takes a configuration as a control-plane node does.
func (h *chronicle) replace(id, version uint64, done func(o outcome)) {
	h.order(id, false, registry.ConfigKey, func(_ *replica, held registry.Object) []byte {
		if v, _, ok := registry.DecodeConfig(held); ok && v >= version {
			return nil
		}
		return registry.EncodeConfig(version, fmt.Append(nil, "version ", version))
	}, done)
}

// order lets a node carry out an order on one object: on the condition that what the
// node holds still stands, else behind a read point once more. derive gives nil
// where there is nothing to write.
func (h *chronicle) order(id uint64, point bool, key string, derive func(r *replica, held registry.Object) []byte, done func(o outcome)) {
	over := false
	once := func(o outcome) {
		if !over {
			over = true
			done(o)
		}
	}
	h.after(patience, func() { once(unknown) })
	h.after(h.draw(10*time.Millisecond), func() {
		if !h.c.IsUp(id) {
			once(refused)
			return
		}
		life := h.c.Nodes[id].StateMachine
		h.in(id, life, func() { h.transact(id, life, point, key, derive, h.now()+answerIn, 6, once) })
	})
}

func (h *chronicle) transact(id uint64, life rafttest.StateMachine, point bool, key string, derive func(r *replica, held registry.Object) []byte, end time.Duration, tries int, done func(o outcome)) {
	if point {
		h.readPoint(id, life, end, func(ok bool) {
			if !ok {
				done(refused)
				return
			}
			h.transact(id, life, false, key, derive, end, tries, done)
		})
		return
	}
	r := life.(*replica)
	o, _ := r.s.Get(key)
	value := derive(r, o)
	switch {
	case value == nil:
		done(answered)
		return
	case tries == 0:
		done(refused)
		return
	}
	x := &call{object: key, value: string(value), cmd: registry.Command{Txn: &registry.Txn{
		If:   []registry.Condition{{Key: key, ModRevision: o.ModRevision}},
		Then: []registry.Write{{Key: key, Value: value}},
	}}}
	h.begin(x, func() {
		if x.outcome != answered || !x.result.Conflict {
			done(x.outcome)
			return
		}
		h.in(id, life, func() { h.transact(id, life, true, key, derive, end, tries-1, done) })
	})
	h.do(id, life, x, end)
}

// evacuate takes an evacuation order as a control-plane node does, and notes a
// little later that the node lived on after its answer.
func (h *chronicle) evacuate(id uint64, begin bool) {
	told := func(_ *replica, held registry.Object) []byte {
		if e := registry.DecodeEvacuation(held); e != e.Answered(begin) {
			return e.Answered(begin).Encode()
		}
		return nil
	}
	asked := h.now()
	h.order(id, true, evacuation, func(r *replica, held registry.Object) []byte {
		if h.now()-asked > patience {
			return nil // its caller has gone on to another node, which shows at its socket
		}
		e := registry.DecodeEvacuation(held)
		if now := e.Order(begin, h.now()-r.ordered[begin], repeats); now != e {
			return now.Encode()
		}
		return nil
	}, func(o outcome) {
		if o == answered {
			h.after(20*time.Millisecond, func() { h.order(id, false, evacuation, told, func(outcome) {}) })
		}
	})
}

var repeats = registry.Repeats{Told: 2 * time.Second, Untold: 10 * time.Second}

// TestOneEvacuationSentOften: one order to empty a zone, sent to eight nodes at once
// and to eight others again within the time in which a repeat is known, empties it
// once, and the order that takes it back, sent so too, takes it back once.
//
// Orders carry no identity. Eight operators' orders within that time cannot be told
// from one order sent eight times: they count as one, and the first to take it back
// takes it back for all. One that comes again later, after its node lived on, counts
// as new, also one that waited in a frozen node's socket: the zone then stays empty
// until it is taken back as often, and such a late one to take it back does so to
// whoever emptied it since.
func TestOneEvacuationSentOften(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		h := newChronicle(t, seed, 8)
		ids := h.c.IDs()
		often := func(begin bool) {
			for k := range 8 {
				h.evacuate(ids[k], begin)
				h.after(patience+h.draw(200*time.Millisecond), func() { h.evacuate(ids[(k+3)%8], begin) })
			}
			h.run(h.draw(50 * time.Millisecond))
			leader := h.c.Leader().ID
			switch seed % 3 {
			case 1:
				h.c.Crash(leader)
			case 2:
				h.c.SetFrozen(leader, true)
			}
			h.run(3 * time.Second)
			h.c.Heal()
			h.c.Restart(leader)
			h.run(4 * time.Second)
			want := registry.Evacuation{Begins: 1, BeginTold: true}
			if !begin {
				want.Finishes, want.FinishTold = 1, true
			}
			for _, id := range ids {
				if got := h.c.Nodes[id].StateMachine.(*replica).evac; got != want {
					t.Errorf("seed %d, node %d: %+v, want %+v", seed, id, got, want)
				}
			}
		}
		often(true)
		h.run(repeats.Untold)
		often(false)
		h.check()
	}
}

// TestLateEvacuationOrder: an order to take a zone back that waited in a frozen
// node's socket, while it was sent again and answered elsewhere, does not take back
// what another operator emptied since.
func TestLateEvacuationOrder(t *testing.T) {
	h := newChronicle(t, 1, 5)
	leader := h.c.Leader().ID
	frozen, other := leader%5+1, leader
	h.evacuate(other, true)
	h.run(repeats.Untold)
	h.evacuate(frozen, false)
	h.run(300 * time.Millisecond)
	h.c.SetFrozen(frozen, true) // its answer is lost, and the order sent again
	h.evacuate(frozen, false)
	h.run(500 * time.Millisecond)
	h.evacuate(other, false)
	h.run(2 * repeats.Told)
	h.evacuate(other, true) // by another operator
	h.run(300 * time.Millisecond)
	if e := h.c.Nodes[other].StateMachine.(*replica).evac; e.State() != registry.Evacuated {
		t.Fatalf("before the late order: %+v", e)
	}
	h.c.SetFrozen(frozen, false)
	h.turn()
	h.run(time.Second)
	if e := h.c.Nodes[other].StateMachine.(*replica).evac; e.State() != registry.Evacuated {
		t.Errorf("after the late order: %+v, %s", e, e.State())
	}
}
