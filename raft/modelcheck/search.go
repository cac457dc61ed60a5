package modelcheck

import "slices"

// visit records how the search reached a state.
type visit struct {
	parent int32 // index of the previous visit, -1 for the initial state
	event  event
}

// frontierState is a state whose successors have not been visited yet.
type frontierState struct {
	state *clusterState
	visit int32 // index in search.visits
}

// search is the state of a running exploration.
type search struct {
	exploration Exploration
	result      Result
	visits      []visit
	seen        map[uint64]struct{} // hashes of the visited states
	next        []frontierState     // the next level
}

// Run runs the exploration. The search is breadth-first, so a violation is reported with a
// shortest trace. Run returns an error if Start cannot be replayed.
func (x Exploration) Run() (Result, error) {
	first, err := x.replayTrace(x.Start)
	if err != nil {
		return Result{}, err
	}
	s := &search{
		exploration: x,
		result:      Result{States: 1},
		visits:      []visit{{parent: -1}},
		seen:        map[uint64]struct{}{first.hash(): {}},
	}
	if first.violation != "" {
		s.reportViolation(first, 0)
		return s.result, nil
	}
	frontier := []frontierState{{state: first}}
	for s.result.Depth < x.Depth && len(frontier) > 0 {
		if !s.exploreLevel(frontier) {
			return s.result, nil
		}
		frontier, s.next = s.next, nil
		s.result.Depth++
	}
	s.result.IsComplete = true
	return s.result, nil
}

// exploreLevel visits the successors of all states of one level. It returns false if the
// search must stop.
func (s *search) exploreLevel(frontier []frontierState) bool {
	for i, from := range frontier {
		frontier[i].state = nil // frees the memory
		for _, e := range from.state.enabledEvents() {
			if e.kind.isBudgeted() && from.state.budgetLeft[e.kind] == 0 {
				continue
			}
			if !s.visitSuccessor(from, e) {
				return false
			}
		}
	}
	return true
}

// visitSuccessor visits the state that e leads to, unless it was visited before. It returns
// false if the search must stop.
func (s *search) visitSuccessor(from frontierState, e event) bool {
	state := from.state.successor(e)
	if state == nil {
		return true
	}
	s.result.Transitions++
	if state.violation != "" {
		s.reportViolation(state, from.visit, e)
		return false
	}
	if e.kind.isBudgeted() {
		state.budgetLeft[e.kind]--
	}
	hash := state.hash()
	if _, ok := s.seen[hash]; ok {
		return true
	}
	if s.exploration.MaxStates > 0 && s.result.States >= s.exploration.MaxStates {
		return false
	}
	s.seen[hash] = struct{}{}
	s.visits = append(s.visits, visit{parent: from.visit, event: e})
	s.next = append(s.next, frontierState{state: state, visit: int32(len(s.visits) - 1)})
	s.result.States++
	return true
}

// reportViolation sets the violation of a state in the result. The trace consists of the
// path to the visit with index at, followed by the events in last.
func (s *search) reportViolation(state *clusterState, at int32, last ...event) {
	var reversed []string
	for _, e := range last {
		reversed = append(reversed, e.String())
	}
	for ; at > 0; at = s.visits[at].parent {
		reversed = append(reversed, s.visits[at].event.String())
	}
	slices.Reverse(reversed)
	s.result.Violation = state.violation
	s.result.Trace = append(slices.Clone(s.exploration.Start), reversed...)
}
