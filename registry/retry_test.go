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

// TestConcurrentRetriedRequests guards against retries that take effect twice or get
// contradictory answers. Eight requests of each kind are sent to eight nodes at once, while
// the leader crashes, freezes, is partitioned or nothing happens. The first answer to each
// request is discarded, and the request is retried at one node after another.
//
//   - Configurations 1 to 8: each is written at most once, in ascending order, and the
//     newest is active in the end. The answer does not tell whether an older version was
//     ever active, because a version that is not newer than the current one is
//     acknowledged too.
//   - Locks with one holder name: all answers have the same fencing token, and no other
//     holder gets the lock meanwhile. Two programs with the same holder name are
//     indistinguishable, as are a new acquisition and a delayed one that arrives after the
//     release: it holds the lock until the lease expires.
//   - Puts: all answers have the same revision. Of eight puts that expect an empty cell,
//     exactly one succeeds. A retry is recognized as long as the history is retained.
func TestConcurrentRetriedRequests(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			runConcurrentRequests(t, seed)
		})
	}
}

func runConcurrentRequests(t *testing.T, seed int64) {
	sim := newSimulation(t, seed, 8)
	ids := sim.cluster.IDs()
	unanswered := 0
	// retry sends a request to one node after another. It ignores the outcome of the first
	// attempt and stops at the first answer to a later one.
	retry := func(k int, send func(id uint64, done func(o outcome))) {
		unanswered++
		attempt := 0
		var next func(o outcome)
		next = func(o outcome) {
			if attempt++; attempt > 2 && o == answered {
				unanswered--
				return
			}
			sim.schedule(sim.randomDuration(200*time.Millisecond), func() { send(ids[(k+3*attempt)%8], next) })
		}
		next(unknown)
	}
	sendCommand := func(c coordination.Command) func(id uint64, done func(o outcome)) {
		return func(id uint64, done func(o outcome)) {
			sim.sendCounts[c.Value]++
			x := &call{object: c.Name, command: registry.Command{Coordination: &c}}
			sim.callNode(id, x, func() { done(x.outcome) })
		}
	}
	for k := range 8 {
		retry(k, func(id uint64, done func(o outcome)) { sim.replaceConfig(id, uint64(k+1), done) })
		retry(k, sendCommand(coordination.Command{Operation: coordination.AcquireLock, Name: "l", Holder: "one", LeaseMS: 10_000}))
		retry(k, sendCommand(coordination.Command{Operation: coordination.PutCell, Name: "g.a", Value: fmt.Sprint("put ", k)}))
		retry(k, sendCommand(coordination.Command{Operation: coordination.PutCell, Name: "e.a", Value: fmt.Sprint("first ", k), HasExpectedRevision: true}))
		sim.schedule(2*time.Second+sim.randomDuration(6*time.Second), func() {
			sendCommand(coordination.Command{Operation: coordination.AcquireLock, Name: "l", Holder: fmt.Sprint("other ", k), LeaseMS: 1000})(ids[k], func(outcome) {})
		})
	}
	sim.run(sim.randomDuration(250 * time.Millisecond))
	leader := sim.cluster.Leader().ID
	switch seed % 4 {
	case 1:
		sim.cluster.Crash(leader)
	case 2:
		sim.cluster.SetFrozen(leader, true)
	case 3:
		for _, o := range ids {
			sim.cluster.SetLinkCut(leader, o, true)
			sim.cluster.SetLinkCut(o, leader, true)
		}
	}
	sim.run(3 * time.Second)
	sim.cluster.Heal()
	sim.cluster.Restart(leader)
	sim.run(6 * time.Second)
	if unanswered != 0 {
		t.Errorf("%d requests were never answered", unanswered)
	}
	sim.checkHistory()
	newest, token := uint64(0), uint64(0)
	for _, x := range sim.calls { // in the order of sending
		if c := x.command.Coordination; c != nil && c.Holder == "one" && x.outcome == answered {
			if token == 0 {
				token = x.result.Latch.Fence
			}
			if x.result.Latch.Code != coordination.OK || x.result.Latch.Fence != token {
				t.Errorf("acquisition by the same holder returned %+v, want fencing token %d", x.result.Latch, token)
			}
		}
	}
	writes := map[uint64]uint64{} // versions, by revision
	for _, x := range sim.calls {
		if e, tookEffect := sim.effects[x.tag]; tookEffect && x.command.Txn != nil && !e.result.Conflict {
			writes[e.result.Revision], _, _ = registry.DecodeConfig(registry.Object{Value: []byte(x.value)})
		}
	}
	for _, revision := range slices.Sorted(maps.Keys(writes)) {
		if v := writes[revision]; v <= newest {
			t.Errorf("version %d was written after version %d", v, newest)
		}
		newest = writes[revision]
	}
	t.Logf("%d calls, %d configurations written", len(sim.calls), len(writes))
	if newest != 8 {
		t.Errorf("active version is %d, want 8", newest)
	}
	table := sim.cluster.Nodes[ids[0]].StateMachine.(*replica).store.Coordination()
	if a, b := table.GroupRevision("g."), table.GroupRevision("e."); a != 8 || b != 1 {
		t.Errorf("%d of 8 unconditional puts and %d of 8 conditional puts succeeded, want 8 and 1", a, b)
	}
}

// replaceConfig simulates how a control-plane node executes a request to replace the
// configuration.
func (sim *simulation) replaceConfig(id, version uint64, done func(o outcome)) {
	sim.submitRequest(id, false, registry.ConfigKey, func(_ *replica, current registry.Object) []byte {
		if v, _, ok := registry.DecodeConfig(current); ok && v >= version {
			return nil
		}
		return registry.EncodeConfig(version, fmt.Append(nil, "version ", version))
	}, done)
}

// request asks a node to change one object.
type request struct {
	nodeID      uint64
	incarnation rafttest.StateMachine
	key         string
	// derive returns the new value for the current object, or nil if there is nothing to
	// write.
	derive       func(r *replica, current registry.Object) []byte
	deadline     time.Duration
	attemptsLeft int
	done         func(o outcome)
}

// submitRequest makes a node execute a request to change one object. The first attempt
// assumes that the replica is up to date unless needsReadIndex is set; attempts after a
// conflict wait for a read index. For derive see request.
func (sim *simulation) submitRequest(id uint64, needsReadIndex bool, key string, derive func(r *replica, current registry.Object) []byte, done func(o outcome)) {
	isDone := false
	finish := func(o outcome) {
		if !isDone {
			isDone = true
			done(o)
		}
	}
	sim.schedule(callerTimeout, func() { finish(unknown) })
	sim.schedule(sim.randomDuration(10*time.Millisecond), func() {
		if !sim.cluster.IsUp(id) {
			finish(rejected)
			return
		}
		incarnation := sim.cluster.Nodes[id].StateMachine
		sim.inIncarnation(id, incarnation, func() {
			sim.attemptTxn(request{
				nodeID:       id,
				incarnation:  incarnation,
				key:          key,
				derive:       derive,
				deadline:     sim.now() + outcomeTimeout,
				attemptsLeft: 6,
				done:         finish,
			}, needsReadIndex)
		})
	})
}

// attemptTxn makes one attempt at a request, after a read index if needsReadIndex is set,
// and retries it while the transaction conflicts.
func (sim *simulation) attemptTxn(req request, needsReadIndex bool) {
	if needsReadIndex {
		sim.awaitReadIndex(req.nodeID, req.incarnation, req.deadline, func(ok bool) {
			if !ok {
				req.done(rejected)
				return
			}
			sim.attemptTxn(req, false)
		})
		return
	}
	r := req.incarnation.(*replica)
	current, _ := r.store.Get(req.key)
	value := req.derive(r, current)
	switch {
	case value == nil:
		req.done(answered)
		return
	case req.attemptsLeft == 0:
		req.done(rejected)
		return
	}
	x := &call{object: req.key, value: string(value), command: registry.Command{Txn: &registry.Txn{
		If:   []registry.Compare{{Key: req.key, ModRevision: current.ModRevision}},
		Then: []registry.Write{{Key: req.key, Value: value}},
	}}}
	sim.startCall(x, func() {
		if x.outcome != answered || !x.result.Conflict {
			req.done(x.outcome)
			return
		}
		req.attemptsLeft--
		sim.inIncarnation(req.nodeID, req.incarnation, func() { sim.attemptTxn(req, true) })
	})
	sim.executeCommand(req.nodeID, req.incarnation, x, req.deadline)
}

// submitEvacuation simulates how a control-plane node executes an evacuation request and
// records the acknowledgement shortly after its answer if it is still alive.
func (sim *simulation) submitEvacuation(id uint64, begin bool) {
	acknowledge := func(_ *replica, current registry.Object) []byte {
		if e := registry.DecodeEvacuation(current); e != e.Acknowledge(begin) {
			return e.Acknowledge(begin).Encode()
		}
		return nil
	}
	sentAt := sim.now()
	sim.submitRequest(id, true, evacuationKey, func(r *replica, current registry.Object) []byte {
		if sim.now()-sentAt > callerTimeout {
			return nil // the caller has closed the connection and tried another node
		}
		e := registry.DecodeEvacuation(current)
		if next := e.ApplyRequest(begin, sim.now()-r.lastRequestAt[begin], repeatWindow); next != e {
			return next.Encode()
		}
		return nil
	}, func(o outcome) {
		if o == answered {
			sim.schedule(20*time.Millisecond, func() { sim.submitRequest(id, false, evacuationKey, acknowledge, func(outcome) {}) })
		}
	})
}

var repeatWindow = registry.RepeatWindow{Acknowledged: 2 * time.Second, Unacknowledged: 10 * time.Second}

// TestRetriedEvacuationAppliesOnce guards against a retried evacuation request that counts
// twice. A begin request is sent to eight nodes at once and to eight nodes again within the
// repeat window: it must count once. The same holds for the finish request.
//
// Requests have no ID. Requests of eight operators within the window are indistinguishable
// from one request sent eight times: they count as one, and the first finish request ends
// the evacuation for all. A request repeated after the window counts as new, also if it was
// delayed in the socket of a frozen node: the zone then stays evacuated until as many
// finish requests have arrived, and a late finish request ends any evacuation begun since.
func TestRetriedEvacuationAppliesOnce(t *testing.T) {
	for seed := int64(1); seed <= 12; seed++ {
		sim := newSimulation(t, seed, 8)
		ids := sim.cluster.IDs()
		submitRepeatedly := func(begin bool) {
			for k := range 8 {
				sim.submitEvacuation(ids[k], begin)
				sim.schedule(callerTimeout+sim.randomDuration(200*time.Millisecond), func() { sim.submitEvacuation(ids[(k+3)%8], begin) })
			}
			sim.run(sim.randomDuration(50 * time.Millisecond))
			leader := sim.cluster.Leader().ID
			switch seed % 3 {
			case 1:
				sim.cluster.Crash(leader)
			case 2:
				sim.cluster.SetFrozen(leader, true)
			}
			sim.run(3 * time.Second)
			sim.cluster.Heal()
			sim.cluster.Restart(leader)
			sim.run(4 * time.Second)
			want := registry.Evacuation{BeginCount: 1, BeginAcknowledged: true}
			if !begin {
				want.FinishCount, want.FinishAcknowledged = 1, true
			}
			for _, id := range ids {
				if got := sim.cluster.Nodes[id].StateMachine.(*replica).evacuation; got != want {
					t.Errorf("seed %d, node %d: evacuation is %+v, want %+v", seed, id, got, want)
				}
			}
		}
		submitRepeatedly(true)
		sim.run(repeatWindow.Unacknowledged)
		submitRepeatedly(false)
		sim.checkHistory()
	}
}

// TestDelayedEvacuationRequest guards against a delayed finish request that ends another
// operator's evacuation. A finish request waits in the socket of a frozen node while it is
// retried and answered elsewhere. It must not end an evacuation that began in the meantime.
func TestDelayedEvacuationRequest(t *testing.T) {
	sim := newSimulation(t, 1, 5)
	leader := sim.cluster.Leader().ID
	frozen, other := leader%5+1, leader
	sim.submitEvacuation(other, true)
	sim.run(repeatWindow.Unacknowledged)
	sim.submitEvacuation(frozen, false)
	sim.run(300 * time.Millisecond)
	sim.cluster.SetFrozen(frozen, true) // its answer is lost, so the request is retried
	sim.submitEvacuation(frozen, false)
	sim.run(500 * time.Millisecond)
	sim.submitEvacuation(other, false)
	sim.run(2 * repeatWindow.Acknowledged)
	sim.submitEvacuation(other, true) // by another operator
	sim.run(300 * time.Millisecond)
	if e := sim.cluster.Nodes[other].StateMachine.(*replica).evacuation; e.State() != registry.Evacuated {
		t.Fatalf("evacuation before the delayed request is %+v, want it evacuated", e)
	}
	sim.cluster.SetFrozen(frozen, false)
	sim.runDueEvents()
	sim.run(time.Second)
	if e := sim.cluster.Nodes[other].StateMachine.(*replica).evacuation; e.State() != registry.Evacuated {
		t.Errorf("evacuation after the delayed request is %+v, state %q, want it evacuated", e, e.State())
	}
}
