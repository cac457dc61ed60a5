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
func TestConcurrentRetriedOrders(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			runConcurrentOrders(t, seed)
		})
	}
}

func runConcurrentOrders(t *testing.T, seed int64) {
	h := newSimulation(t, seed, 8)
	ids := h.cluster.IDs()
	open := 0
	// submitOrder sends one order until an answer but the first comes back.
	order := func(k int, send func(id uint64, done func(o outcome))) {
		open++
		try := 0
		var next func(o outcome)
		next = func(o outcome) {
			if try++; try > 2 && o == answered {
				open--
				return
			}
			h.schedule(h.randomDuration(200*time.Millisecond), func() { send(ids[(k+3*try)%8], next) })
		}
		next(unknown)
	}
	latched := func(c coordination.Command) func(id uint64, done func(o outcome)) {
		return func(id uint64, done func(o outcome)) {
			h.sendCounts[c.Value]++
			x := &call{object: c.Name, command: registry.Command{Coordination: &c}}
			h.callNode(id, x, func() { done(x.outcome) })
		}
	}
	for k := range 8 {
		order(k, func(id uint64, done func(o outcome)) { h.replaceConfig(id, uint64(k+1), done) })
		order(k, latched(coordination.Command{Operation: coordination.AcquireLock, Name: "l", Holder: "one", LeaseMS: 10_000}))
		order(k, latched(coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: fmt.Sprint("put ", k)}))
		order(k, latched(coordination.Command{Operation: coordination.PutCell, Name: "e.a", Value: fmt.Sprint("first ", k), HasExpectedRevision: true}))
		h.schedule(2*time.Second+h.randomDuration(6*time.Second), func() {
			latched(coordination.Command{Operation: coordination.AcquireLock, Name: "l", Holder: fmt.Sprint("other ", k), LeaseMS: 1000})(ids[k], func(outcome) {})
		})
	}
	h.run(h.randomDuration(250 * time.Millisecond))
	leader := h.cluster.Leader().ID
	switch seed % 4 {
	case 1:
		h.cluster.Crash(leader)
	case 2:
		h.cluster.SetFrozen(leader, true)
	case 3:
		for _, o := range ids {
			h.cluster.SetLinkCut(leader, o, true)
			h.cluster.SetLinkCut(o, leader, true)
		}
	}
	h.run(3 * time.Second)
	h.cluster.Heal()
	h.cluster.Restart(leader)
	h.run(6 * time.Second)
	if open != 0 {
		t.Errorf("%d orders were never answered", open)
	}
	h.checkHistory()
	newest, fence := uint64(0), uint64(0)
	for _, x := range h.calls { // as they were sent
		if c := x.command.Coordination; c != nil && c.Holder == "one" && x.outcome == answered {
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
		if e, took := h.effects[x.tag]; took && x.command.Txn != nil && !e.result.Conflict {
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
	tab := h.cluster.Nodes[ids[0]].StateMachine.(*replica).store.Coordination()
	if a, b := tab.GroupRevision("g."), tab.GroupRevision("e."); a != 8 || b != 1 {
		t.Errorf("%d puts of 8 were taken, and %d of those that expected none", a, b)
	}
}

// replaceConfig takes a configuration as a control-plane node does.
func (h *simulation) replaceConfig(id, version uint64, done func(o outcome)) {
	h.submitOrder(id, false, registry.ConfigKey, func(_ *replica, held registry.Object) []byte {
		if v, _, ok := registry.DecodeConfig(held); ok && v >= version {
			return nil
		}
		return registry.EncodeConfig(version, fmt.Append(nil, "version ", version))
	}, done)
}

// submitOrder lets a node carry out an order on one object: on the condition that what the
// node holds still stands, else behind a read point once more. derive gives nil
// where there is nothing to write.
func (h *simulation) submitOrder(id uint64, point bool, key string, derive func(r *replica, held registry.Object) []byte, done func(o outcome)) {
	over := false
	once := func(o outcome) {
		if !over {
			over = true
			done(o)
		}
	}
	h.schedule(callerTimeout, func() { once(unknown) })
	h.schedule(h.randomDuration(10*time.Millisecond), func() {
		if !h.cluster.IsUp(id) {
			once(rejected)
			return
		}
		life := h.cluster.Nodes[id].StateMachine
		h.inIncarnation(id, life, func() { h.transact(id, life, point, key, derive, h.now()+outcomeTimeout, 6, once) })
	})
}

func (h *simulation) transact(id uint64, life rafttest.StateMachine, point bool, key string, derive func(r *replica, held registry.Object) []byte, end time.Duration, tries int, done func(o outcome)) {
	if point {
		h.awaitReadIndex(id, life, end, func(ok bool) {
			if !ok {
				done(rejected)
				return
			}
			h.transact(id, life, false, key, derive, end, tries, done)
		})
		return
	}
	r := life.(*replica)
	o, _ := r.store.Get(key)
	value := derive(r, o)
	switch {
	case value == nil:
		done(answered)
		return
	case tries == 0:
		done(rejected)
		return
	}
	x := &call{object: key, value: string(value), command: registry.Command{Txn: &registry.Txn{
		If:   []registry.Compare{{Key: key, ModRevision: o.ModRevision}},
		Then: []registry.Write{{Key: key, Value: value}},
	}}}
	h.startCall(x, func() {
		if x.outcome != answered || !x.result.Conflict {
			done(x.outcome)
			return
		}
		h.inIncarnation(id, life, func() { h.transact(id, life, true, key, derive, end, tries-1, done) })
	})
	h.executeCommand(id, life, x, end)
}

// submitEvacuation takes an evacuation order as a control-plane node does, and notes a
// little later that the node lived on after its answer.
func (h *simulation) submitEvacuation(id uint64, begin bool) {
	told := func(_ *replica, held registry.Object) []byte {
		if e := registry.DecodeEvacuation(held); e != e.Acknowledge(begin) {
			return e.Acknowledge(begin).Encode()
		}
		return nil
	}
	asked := h.now()
	h.submitOrder(id, true, evacuationKey, func(r *replica, held registry.Object) []byte {
		if h.now()-asked > callerTimeout {
			return nil // its caller has gone on to another node, which shows at its socket
		}
		e := registry.DecodeEvacuation(held)
		if now := e.ApplyOrder(begin, h.now()-r.lastOrderAt[begin], repeatWindow); now != e {
			return now.Encode()
		}
		return nil
	}, func(o outcome) {
		if o == answered {
			h.schedule(20*time.Millisecond, func() { h.submitOrder(id, false, evacuationKey, told, func(outcome) {}) })
		}
	})
}

var repeatWindow = registry.RepeatWindow{Acknowledged: 2 * time.Second, Unacknowledged: 10 * time.Second}

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
func TestRetriedEvacuationAppliesOnce(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		h := newSimulation(t, seed, 8)
		ids := h.cluster.IDs()
		often := func(begin bool) {
			for k := range 8 {
				h.submitEvacuation(ids[k], begin)
				h.schedule(callerTimeout+h.randomDuration(200*time.Millisecond), func() { h.submitEvacuation(ids[(k+3)%8], begin) })
			}
			h.run(h.randomDuration(50 * time.Millisecond))
			leader := h.cluster.Leader().ID
			switch seed % 3 {
			case 1:
				h.cluster.Crash(leader)
			case 2:
				h.cluster.SetFrozen(leader, true)
			}
			h.run(3 * time.Second)
			h.cluster.Heal()
			h.cluster.Restart(leader)
			h.run(4 * time.Second)
			want := registry.Evacuation{BeginCount: 1, BeginAcknowledged: true}
			if !begin {
				want.FinishCount, want.FinishAcknowledged = 1, true
			}
			for _, id := range ids {
				if got := h.cluster.Nodes[id].StateMachine.(*replica).evacuation; got != want {
					t.Errorf("seed %d, node %d: %+v, want %+v", seed, id, got, want)
				}
			}
		}
		often(true)
		h.run(repeatWindow.Unacknowledged)
		often(false)
		h.checkHistory()
	}
}

// TestLateEvacuationOrder: an order to take a zone back that waited in a frozen
// node's socket, while it was sent again and answered elsewhere, does not take back
// what another operator emptied since.
func TestDelayedEvacuationOrder(t *testing.T) {
	h := newSimulation(t, 1, 5)
	leader := h.cluster.Leader().ID
	frozen, other := leader%5+1, leader
	h.submitEvacuation(other, true)
	h.run(repeatWindow.Unacknowledged)
	h.submitEvacuation(frozen, false)
	h.run(300 * time.Millisecond)
	h.cluster.SetFrozen(frozen, true) // its answer is lost, and the order sent again
	h.submitEvacuation(frozen, false)
	h.run(500 * time.Millisecond)
	h.submitEvacuation(other, false)
	h.run(2 * repeatWindow.Acknowledged)
	h.submitEvacuation(other, true) // by another operator
	h.run(300 * time.Millisecond)
	if e := h.cluster.Nodes[other].StateMachine.(*replica).evacuation; e.State() != registry.Evacuated {
		t.Fatalf("before the late order: %+v", e)
	}
	h.cluster.SetFrozen(frozen, false)
	h.runDueEvents()
	h.run(time.Second)
	if e := h.cluster.Nodes[other].StateMachine.(*replica).evacuation; e.State() != registry.Evacuated {
		t.Errorf("after the late order: %+v, %s", e, e.State())
	}
}
