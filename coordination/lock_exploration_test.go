package coordination

import (
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// Flags for longer searches, as in go test ./coordination -run EveryOrder -explore.ticks=1
var (
	extraCalls = flag.Int("explore.calls", 0, "number of additional calls that the first caller sends")
	extraTicks = flag.Int("explore.ticks", 0, "number of additional clock ticks")
)

// TestLockHasOneHolderInEveryOrderOfCalls guards against two callers that hold one lock at
// the same time. It searches, breadth first, all orders in which the calls of two callers
// are sent, abandoned, delayed, duplicated, proposed, applied and answered, combined with
// clock ticks, a leader change or a restart. Each caller always uses the same holder name,
// as applications do. A caller considers itself the holder from a successful answer until
// its lease, counted from the sending of the call, expires or until it sends a release.
func TestLockHasOneHolderInEveryOrderOfCalls(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds explorationBounds
	}{
		{"delayed calls", explorationBounds{calls: [2]int{4, 1}}},
		{"expiring leases", explorationBounds{calls: [2]int{3, 1}, ticks: 2}},
		{"duplicated calls", explorationBounds{calls: [2]int{3, 1}, duplicates: 1}},
		{"leader change", explorationBounds{calls: [2]int{3, 1}, elections: 1}},
		{"restart", explorationBounds{calls: [2]int{3, 1}, ticks: 1, restarts: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			c.bounds.calls[0] += *extraCalls
			c.bounds.ticks += *extraTicks
			states, trace := exploreLock(c.bounds)
			if trace != nil {
				t.Errorf("two holders or an unsafe release after:\n%s", strings.Join(trace, "\n"))
			}
			if t.Logf("%d states", states); states < 5000 && trace == nil {
				t.Errorf("searched %d states, want at least 5000", states)
			}
		})
	}
}

const (
	exploredLock = "l"
	// leaseTicks is the lease duration that callers request, in clock ticks.
	leaseTicks = 2
	tick       = time.Second
	leaseMS    = uint64(leaseTicks * tick / time.Millisecond)
)

// explorationBounds limits the number of events of each kind in a search.
type explorationBounds struct {
	calls      [2]int // by caller
	ticks      int
	duplicates int // duplicate deliveries of calls
	elections  int
	restarts   int
}

// lockCall is a call that a caller has sent.
type lockCall struct {
	caller  int
	command Command
	sentAt  time.Duration
	copies  int // copies in flight
}

// lockCaller is the local state of a caller.
type lockCaller struct {
	awaitedCall int // index of the unanswered call, or -1
	fence       uint64
	holdsUntil  time.Duration // time until which the caller considers itself the holder
}

// logEntry is an entry of the replicated log: the proposed form of a call's command.
type logEntry struct {
	command  Command
	call     int // index of the call
	proposer int
}

// lockReplica is a replica of the locks and its lease timers.
type lockReplica struct {
	applied int // number of applied log entries
	locks   map[string]Lock
	timers  LeaseTimers
}

// explorationState is a state of the search.
type explorationState struct {
	now             time.Duration
	leader          int
	requiredEntries int // number of entries that the leader must apply before it proposes
	log             []logEntry
	replicas        [2]lockReplica
	callers         [2]lockCaller
	calls           []lockCall
	remaining       explorationBounds
	// hasUnsafeRelease is set once LeaseTimers.Update has reported a command as unsafe.
	hasUnsafeRelease bool
}

// transition is an event and the state that results from it.
type transition struct {
	name string
	next *explorationState
}

// exploreLock searches all reachable states and returns their number. If it finds a state
// with two holders or an unsafe release, it stops and returns the steps that lead to it.
func exploreLock(bounds explorationBounds) (states int, trace []string) {
	type origin struct {
		from uint64
		step string
	}
	start := &explorationState{remaining: bounds, callers: [2]lockCaller{{awaitedCall: -1}, {awaitedCall: -1}}}
	for i := range start.replicas {
		start.replicas[i].locks = map[string]Lock{}
		start.replicas[i].timers.Restart(0, nil)
	}
	origins := map[uint64]origin{start.key(): {}}
	for queue := []*explorationState{start}; len(queue) > 0; queue = queue[1:] {
		state := queue[0]
		queue[0] = nil // frees the state, so that only the frontier uses memory
		key := state.key()
		if state.holderCount() > 1 || state.hasUnsafeRelease {
			for o := origins[key]; o.step != ""; o = origins[o.from] {
				trace = append(trace, o.step)
			}
			slices.Reverse(trace)
			return len(origins), trace
		}
		for _, s := range state.transitions() {
			next := s.next.key()
			if _, isKnown := origins[next]; !isKnown {
				origins[next] = origin{key, s.name}
				queue = append(queue, s.next)
			}
		}
	}
	return len(origins), nil
}

// holderCount returns how many callers consider themselves the holder.
func (s *explorationState) holderCount() (n int) {
	for _, c := range s.callers {
		if s.now < c.holdsUntil {
			n++
		}
	}
	return n
}

// key returns a hash of everything that determines the further transitions of a state.
func (s *explorationState) key() uint64 {
	var key explorationKey
	key.add(s.hasUnsafeRelease, s.now, s.leader, s.requiredEntries, len(s.log), s.remaining.calls[0], s.remaining.calls[1], s.remaining.ticks, s.remaining.duplicates, s.remaining.elections, s.remaining.restarts)
	for _, c := range s.callers {
		key.add(c.awaitedCall, c.fence, c.holdsUntil)
	}
	for i := range s.replicas {
		r := &s.replicas[i]
		if i > 0 && !s.mayUseSecondReplica() {
			break
		}
		lock := r.locks[exploredLock]
		timer := r.timers.byLock[exploredLock]
		key.add(r.applied, lock.Holder, lock.Fence, lock.Grant, timer)
		for c := range s.callers {
			key.add(r.timers.pendingAcquisitions[acquirer{exploredLock, callerName(c)}])
		}
		for _, entry := range s.log[r.applied:] {
			key.add(entry.call, entry.proposer, entry.command)
		}
	}
	for i, c := range s.calls {
		if isAwaited := s.callers[c.caller].awaitedCall == i; isAwaited || c.copies > 0 {
			key.add(i, c)
		}
	}
	return key.hash
}

// explorationKey is a hash of comparable values. It is stable within one process.
type explorationKey struct{ hash uint64 }

var explorationSeed = maphash.MakeSeed()

func (k *explorationKey) add(values ...any) {
	for _, v := range values {
		k.hash = k.hash*31 + maphash.Comparable(explorationSeed, v)
		k.hash ^= k.hash >> 29
		k.hash *= 0xbf58476d1ce4e5b9
	}
}

// mayUseSecondReplica reports whether the second replica leads or may still become the leader.
func (s *explorationState) mayUseSecondReplica() bool {
	return s.remaining.elections > 0 || s.leader == 1
}

func (s *explorationState) clone() *explorationState {
	c := *s
	c.log = slices.Clone(s.log)
	c.calls = slices.Clone(s.calls)
	for i := range c.replicas {
		c.replicas[i].locks = maps.Clone(s.replicas[i].locks)
		c.replicas[i].timers = LeaseTimers{
			byLock:              maps.Clone(s.replicas[i].timers.byLock),
			pendingAcquisitions: maps.Clone(s.replicas[i].timers.pendingAcquisitions),
		}
	}
	return &c
}

// transitions returns all transitions from a state.
func (s *explorationState) transitions() (result []transition) {
	add := func(name string, do func(next *explorationState)) {
		next := s.clone()
		do(next)
		result = append(result, transition{name, next})
	}
	if s.remaining.ticks > 0 {
		add("the clock ticks", func(next *explorationState) { next.remaining.ticks--; next.now += tick })
	}
	if s.remaining.elections > 0 {
		add("the other replica becomes leader", func(next *explorationState) {
			next.remaining.elections--
			next.leader = 1 - s.leader
			next.requiredEntries = len(s.log)
		})
	}
	s.addReplicaTransitions(0, add)
	if s.mayUseSecondReplica() {
		s.addReplicaTransitions(1, add)
	}
	for i := range s.callers {
		s.addCallerTransitions(i, add)
	}
	for i := range s.calls {
		s.addCallTransitions(i, add)
	}
	return result
}

func (s *explorationState) addReplicaTransitions(i int, add func(string, func(*explorationState))) {
	r := &s.replicas[i]
	if r.applied < len(s.log) {
		add(fmt.Sprintf("replica %d applies entry %d", i, r.applied), func(next *explorationState) { next.apply(i) })
	}
	if s.remaining.restarts > 0 {
		add(fmt.Sprintf("replica %d restarts", i), func(next *explorationState) {
			next.remaining.restarts--
			next.replicas[i].timers.Restart(s.now, s.replicas[i].locks)
			if i == s.leader { // it may become the leader again, in a new term
				next.requiredEntries = len(s.log)
			}
		})
	}
}

// apply applies the next log entry at replica i.
func (s *explorationState) apply(i int) {
	r := &s.replicas[i]
	entry := s.log[r.applied]
	r.applied++
	table := Table{Locks: r.locks}
	result := table.Apply(uint64(r.applied), entry.command)
	if !r.timers.Update(s.now, uint64(r.applied), &entry.command, result, r.locks) {
		s.hasUnsafeRelease = true
	}
	if entry.proposer == i {
		s.answerCall(entry.call, result)
	}
}

// callerName returns the holder name that a caller uses.
func callerName(caller int) string { return string(rune('a' + caller)) }

// addCallerTransitions adds the possible actions of caller i. A caller may acquire the lock
// even while it considers itself the holder, because it may have been restarted.
func (s *explorationState) addCallerTransitions(i int, add func(string, func(*explorationState))) {
	c := &s.callers[i]
	name := callerName(i)
	if c.awaitedCall >= 0 {
		add(name+" abandons its call", func(next *explorationState) { next.callers[i].awaitedCall = -1 })
		return
	}
	if s.remaining.calls[i] == 0 {
		return
	}
	send := func(command Command) {
		command.Name = exploredLock
		command.Holder = name
		add(fmt.Sprintf("%s sends call %d: %v under %d", name, len(s.calls), command.Operation, command.FencingToken), func(next *explorationState) {
			next.remaining.calls[i]--
			next.callers[i].awaitedCall = len(s.calls)
			next.calls = append(next.calls, lockCall{caller: i, command: command, sentAt: s.now, copies: 1})
			if command.Operation == ReleaseLock {
				next.callers[i].fence = 0
				next.callers[i].holdsUntil = 0
			}
		})
	}
	send(Command{Operation: AcquireLock, LeaseMS: leaseMS})
	if c.fence > 0 {
		send(Command{Operation: RenewLock, FencingToken: c.fence, LeaseMS: leaseMS})
		send(Command{Operation: ReleaseLock, FencingToken: c.fence})
	}
}

// addCallTransitions adds the deliveries of call i to the leader.
func (s *explorationState) addCallTransitions(i int, add func(string, func(*explorationState))) {
	call := &s.calls[i]
	if call.copies > 0 && s.replicas[s.leader].applied >= s.requiredEntries {
		add(fmt.Sprintf("the leader receives call %d", i), func(next *explorationState) {
			next.calls[i].copies--
			next.propose(i)
		})
		if s.remaining.duplicates > 0 {
			add(fmt.Sprintf("the leader receives call %d, a copy stays in flight", i), func(next *explorationState) {
				next.remaining.duplicates--
				next.propose(i)
			})
		}
	}
}

// propose makes the leader handle call i as LeaseTimers.Prepare decides.
func (s *explorationState) propose(i int) {
	r := &s.replicas[s.leader]
	prepared, decision := r.timers.Prepare(s.now, &s.calls[i].command, r.locks)
	switch decision {
	case Propose:
		s.log = append(s.log, logEntry{command: *prepared, call: i, proposer: s.leader})
		r.timers.Proposed(uint64(len(s.log)), prepared)
	case AnswerOK:
		s.answerCall(i, Result{})
	case Defer:
		s.calls[i].copies++
	}
}

// answerCall delivers the answer to call i if its caller still waits for it. A caller that does
// not wait has abandoned the call or received the answer to another copy. Delayed answers are
// not modeled: a delay would only shorten the time in which the caller considers itself the
// holder.
func (s *explorationState) answerCall(i int, result Result) {
	call := &s.calls[i]
	c := &s.callers[call.caller]
	if c.awaitedCall != i {
		return
	}
	c.awaitedCall = -1
	switch {
	case call.command.Operation == ReleaseLock:
	case result.Code != OK:
		c.fence = 0
	default:
		c.fence = result.Fence
		c.holdsUntil = max(c.holdsUntil, call.sentAt+leaseTicks*tick)
	}
}
