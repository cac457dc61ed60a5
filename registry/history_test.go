package registry_test

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lichentray/coordination"
	"lichentray/registry"
)

// TestClientHistoriesAreLinearizable guards against lost updates, stale reads and calls that
// take effect twice or after they were rejected. A cluster runs for about two minutes of
// simulated time with bidirectional and one-way partitions of 20 s, frozen leaders, hanging
// disks, a power failure of all nodes, a lost disk whose node is replaced, and snapshots
// taken while a member is unreachable. Callers use all nodes, preferably faulty ones;
// followers forward calls to the leader. The observed history of the configuration, the
// cells, the sequences and the locks must be linearizable. A rejected call must never take
// effect, and a call with an unknown outcome at most once.
func TestClientHistoriesAreLinearizable(t *testing.T) {
	for _, seed := range []int64{1, 2, 3, 12, 19, 23} {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 3+2*int(seed%2))
			sim.injectFaults()
			sim.healAndReadAll()
			counts, lateEffects := sim.checkHistory()
			if counts[answered] < 1500 || counts[rejected] < 50 || lateEffects < 5 || sim.watchedEvents < 500 || sim.snapshotInstalls < 1 {
				t.Error("too few answered or rejected calls, late effects, watched events or snapshot installs")
			}
		})
	}
}

// TestHolderNamesAreReused guards against a delayed release that frees a lock which its
// holder has acquired again. Callers reuse their holder names, and nodes freeze, so that
// calls from an earlier holding arrive late. No two callers may rely on a lock at the same
// time.
func TestHolderNamesAreReused(t *testing.T) {
	for seed := range int64(16) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 3+2*int(seed%2))
			sim.keepsHolderNames = true
			sim.freezeNodes()
			sim.healAndReadAll()
			sim.checkHistory()
			withheld, releases := 0, 0
			for _, x := range sim.calls {
				if c := x.command.Coordination; c != nil && c.Operation == coordination.ReleaseLock {
					releases++
				}
				if x.withheldSeq > 0 {
					withheld++
				}
			}
			if t.Logf("%d of %d releases withheld", withheld, releases); withheld == 0 {
				t.Error("no release was withheld: no release arrived after its lock was acquired again")
			}
		})
	}
}

// checkHistory checks that the history seen by all callers is linearizable. It returns the
// number of calls by outcome, and the number of calls with an unknown outcome that took
// effect.
func (sim *simulation) checkHistory() (counts map[outcome]int, lateEffects int) {
	if sim.cluster.Violation != "" {
		sim.t.Error(sim.cluster.Violation)
	}
	byObject := map[string][]porcupine.Operation{}
	counts = map[outcome]int{}
	revisionByValue := map[string]uint64{}
	for _, x := range sim.calls {
		counts[x.outcome]++
		e, tookEffect := sim.effects[x.tag]
		op := porcupine.Operation{Input: x, Call: x.callSeq, Return: x.returnSeq}
		if tookEffect && x.outcome == answered {
			op.Return = min(x.returnSeq, e.appliedSeq)
		}
		switch {
		case x.outcome == rejected && tookEffect:
			sim.t.Errorf("rejected call took effect at index %d: %+v", e.index, x)
		case x.outcome == unknown && tookEffect:
			x.result, op.Return = e.result, e.appliedSeq
			lateEffects++
		case x.withheldSeq > 0:
			op.Return = x.withheldSeq
		case x.outcome != answered:
			continue
		case x.command != (registry.Command{}) && !reflect.DeepEqual(e.result, x.result):
			sim.t.Errorf("call was answered with %+v, but committed with %+v: %+v", x.result, e.result, x)
		}
		if c := x.command.Coordination; c != nil && c.Operation == coordination.PutCell && x.result.Latch.Code == coordination.OK {
			if first, ok := revisionByValue[c.Value]; ok && first != x.result.Latch.Revision {
				sim.t.Errorf("put of %q returned two revisions: %d and %d", c.Value, first, x.result.Latch.Revision)
			}
			revisionByValue[c.Value] = x.result.Latch.Revision
		}
		byObject[x.object] = append(byObject[x.object], op)
	}
	var objects []string
	for o := range byObject {
		objects = append(objects, o)
	}
	sort.Strings(objects)
	for _, o := range objects {
		if r := porcupine.CheckOperationsTimeout(sim.modelFor(o), byObject[o], 20*time.Second); r != porcupine.Ok {
			sim.t.Errorf("linearizability check of %s with %d calls: %s", o, len(byObject[o]), r)
		}
		if o[0] == 'l' {
			sim.checkSingleHolder(o)
		}
	}
	sim.t.Logf("%d calls: %d answered, %d rejected, %d unknown of which %d took effect; %d events watched, %d snapshots installed", len(sim.calls), counts[answered], counts[rejected], counts[unknown], lateEffects, sim.watchedEvents, sim.snapshotInstalls)
	return counts, lateEffects
}

// modelFor returns the sequential model of an object, chosen by the format of its name.
func (sim *simulation) modelFor(object string) porcupine.Model {
	switch {
	case strings.Contains(object, "/"):
		return newModel(registerState{}, stepRegister)
	case strings.Contains(object, "."):
		return newModel(registerState{}, sim.stepCell)
	case object[0] == 'n':
		return newModel(uint64(0), func(top uint64, x *call) (bool, uint64) {
			return x.result.Latch.Value > top, x.result.Latch.Value
		})
	}
	return newModel(lockState{}, sim.stepLock)
}

// newModel returns a model with an initial state and a step function, which reports whether
// a call is allowed in a state and returns the state after it.
func newModel[S any](initial S, step func(s S, x *call) (bool, S)) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return initial },
		Step: func(s, x, _ any) (bool, any) { return step(s.(S), x.(*call)) },
	}
}

// registerState is the state of the configuration or of a cell.
type registerState struct {
	revision uint64
	value    string
}

// stepRegister is the step function of an object that is replaced by compare-and-set.
func stepRegister(s registerState, x *call) (bool, registerState) {
	if x.command.Txn == nil {
		return s == registerState{x.revision, x.value}, s
	}
	want := x.command.Txn.If[0].ModRevision
	if x.result.Conflict {
		currentRevision := uint64(0)
		if len(x.result.Current) > 0 {
			currentRevision = x.result.Current[0].ModRevision
		}
		return s.revision != want && s.revision == currentRevision, s
	}
	return s.revision == want && x.result.Revision > want, registerState{x.result.Revision, x.value}
}

// stepCell is the step function of a cell. A retried put returns the revision of its first
// execution, which the cell has reached by then.
func (sim *simulation) stepCell(s registerState, x *call) (bool, registerState) {
	c, r := x.command.Coordination, x.result.Latch
	switch {
	case c == nil:
		return s == registerState{x.revision, x.value}, s
	case r.Code == coordination.RevisionMismatch:
		return s.revision == r.Revision && c.HasExpectedRevision && c.ExpectedRevision != s.revision, s
	case r.Revision <= s.revision:
		return sim.sendCounts[c.Value] > 1 && (r.Revision < s.revision || c.Value == s.value), s
	}
	return !c.HasExpectedRevision || c.ExpectedRevision == s.revision, registerState{r.Revision, c.Value}
}

// lockState is the state of a lock as observed by callers. From expiresAt on, the holder no
// longer relies on the lock.
type lockState struct {
	holder                     string
	fencingToken, highestToken uint64
	expiresAt                  time.Duration
	wasReacquired              bool // by its holder, under the same fencing token
	wasReleased                bool // by its holder, but the release was withheld
}

// stepLock is the step function of a lock. A release may be withheld if the holder has
// acquired the lock again, or if this is unknown because a snapshot replaced the log.
func (sim *simulation) stepLock(s lockState, x *call) (bool, lockState) {
	c, r := x.command.Coordination, x.result.Latch
	until := time.Duration(0)
	if x.outcome == answered {
		until = x.sentAt + time.Duration(c.LeaseMS)*time.Millisecond
	}
	isHolder := s.holder == c.Holder && s.fencingToken == c.FencingToken
	switch {
	case x.withheldSeq > 0:
		s.wasReleased = s.wasReleased || isHolder
		return !isHolder || s.wasReacquired || sim.snapshotInstalls > 0, s
	case c.Operation == coordination.ReleaseLock:
		if isHolder {
			s.holder, s.expiresAt = "", 0
		}
		return true, s
	case c.Operation == coordination.RenewLock:
		if r.Code != coordination.OK {
			return !isHolder, s
		}
		if x.outcome == answered {
			s.expiresAt = until
		}
		return isHolder, s
	case r.Code == coordination.LockHeld:
		return s.holder != "" && s.holder != c.Holder, s
	case s.holder == c.Holder && r.Fence == s.fencingToken:
		s.wasReacquired = true
		if x.outcome == answered {
			s.expiresAt = until
		}
		return true, s
	}
	hasExpired := x.outcome == unknown || x.returnedAt >= s.expiresAt
	isFree := s.holder == "" || s.holder == c.Holder && s.wasReleased
	return r.Fence > s.highestToken && (isFree || hasExpired), lockState{holder: c.Holder, fencingToken: r.Fence, highestToken: r.Fence, expiresAt: until}
}

// checkSingleHolder checks that no two callers rely on a lock at the same time. A caller
// relies on a lock from a successful answer until the lease, counted from the sending of
// the call, expires or until the caller sends a release.
func (sim *simulation) checkSingleHolder(name string) {
	type holding struct {
		holder   string
		from, to time.Duration
	}
	until := map[string]time.Duration{} // time of the holder's next answer or of sending its release
	var holdings []holding
	for i := len(sim.calls) - 1; i >= 0; i-- { // in the reverse order of sending
		x := sim.calls[i]
		c := x.command.Coordination
		if x.object != name || c.Operation != coordination.ReleaseLock && (x.outcome != answered || x.result.Latch.Code != coordination.OK) {
			continue
		}
		s := holding{c.Holder, x.returnedAt, x.sentAt + time.Duration(c.LeaseMS)*time.Millisecond}
		if next, ok := until[c.Holder]; ok {
			s.to = min(s.to, next)
		}
		if c.Operation == coordination.ReleaseLock {
			until[c.Holder] = x.sentAt
			continue
		}
		if until[c.Holder] = x.returnedAt; s.from < s.to {
			holdings = append(holdings, s)
		}
	}
	sort.Slice(holdings, func(i, j int) bool { return holdings[i].from < holdings[j].from })
	var last holding
	for _, s := range holdings {
		if s.holder != last.holder && s.from < last.to {
			sim.t.Errorf("lock %s has two holders: %s until %v and %s from %v", name, last.holder, last.to, s.holder, s.from)
		}
		if s.to > last.to || s.holder != last.holder {
			last = s
		}
	}
}
