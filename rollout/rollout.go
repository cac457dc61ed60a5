// Package rollout decides roll-outs (progressive delivery with canary analysis):
// the state machine of one service's versions, and the sequential test that
// compares a new version's answers with those of the version in use.
//
// It does no input or output, reads no clock and starts no goroutine: time and
// evidence come in as arguments. The state machine gives the next state; that
// exactly one of two next states comes to hold is left to whoever writes it under
// the condition that the state read is still the newest.
package rollout

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is how a roll-out stands.
type State string

// The states. The empty one says that no order was ever given.
const (
	InProgress State = "in_progress"
	Succeeded  State = "succeeded"
	RolledBack State = "rolled_back"
)

// Rollout is the versions of one service and its newest order.
type Rollout struct {
	// Base is the version in ordinary use.
	Base string `json:"base"`
	// Order counts the orders, so that evidence of an earlier one is told apart.
	Order  uint64 `json:"order,omitempty"`
	Target string `json:"target,omitempty"`
	State  State  `json:"state,omitempty"`
	Stage  int    `json:"stage,omitempty"`
	// DeadlineS is the time that the order gave, SpentS what of it had passed when
	// this state was written. Every replica counts on from there by its own steady
	// clock.
	DeadlineS float64 `json:"deadline_s,omitempty"`
	SpentS    float64 `json:"spent_s,omitempty"`
	Why       string  `json:"why,omitempty"`
}

// Encode writes the roll-out as an object's value.
func (r Rollout) Encode() []byte {
	b, _ := json.Marshal(r) // a struct of plain fields with finite numbers encodes
	return b
}

// Decode reads an object's value.
func Decode(value []byte) (r Rollout, err error) {
	if err = json.Unmarshal(value, &r); err != nil {
		err = fmt.Errorf("rollout: roll-out cannot be read: %w", err)
	}
	return r, err
}

// stage is one step of a roll-out: the share of the service's requests that go to
// the target, and from which part of the time on it may be entered.
type stage struct{ share, from float64 }

// The steps. Most of the time is the canary's, as a fault may come late and little
// is lost while it is small; the whole traffic goes over late, and fast, since each
// second of it weighs as much as a minute of the canary. The first is a fifth of
// what the exposure of a bad version may be over the whole term.
var stages = [...]stage{{0.02, 0}, {0.08, 0.55}, {0.25, 0.62}, {1, 0.68}}

// settled is the part of the time from which on a version may be taken for good.
const settled = 0.8

// Final tells whether all requests go to the target.
func (r Rollout) Final() bool { return r.State == InProgress && r.Stage >= len(stages)-1 }

// Share is the part of the service's requests that the target is to get.
func (r Rollout) Share() float64 {
	if r.State != InProgress {
		return 0
	}
	return stages[max(0, min(r.Stage, len(stages)-1))].share
}

// Refusal says why an order cannot be taken.
type Refusal string

func (r Refusal) Error() string { return string(r) }

// Begin gives the state after an order. An order is known by its target and its
// deadline: the newest one, sent again after a lost answer, gives the same state
// however it ended. So does another one for a version that is under way or in use.
// What stands against what is decided is refused.
func (r Rollout) Begin(target string, deadline time.Duration) (Rollout, error) {
	switch {
	case r.Base == "":
		return r, Refusal("the service has no endpoint yet, so it has no version to move away from")
	case r.State == InProgress && r.Target != target:
		return r, Refusal("a roll-out to another version is under way")
	case r.State == RolledBack && r.Target == target && r.DeadlineS != deadline.Seconds():
		return r, Refusal("this version was rolled back; a mended one needs a new name")
	case r.State != "" && r.Target == target:
		return r, nil
	}
	next := Rollout{Base: r.Base, Order: r.Order + 1, Target: target, State: InProgress, DeadlineS: deadline.Seconds()}
	if target == r.Base {
		next.State, next.Why = Succeeded, "the version is in use already"
	}
	return next, nil
}

// Facts are what is known when the next state is sought.
type Facts struct {
	Spent   time.Duration // since the order
	InStage time.Duration // since the stage was entered
	// Pause is how long it takes until a stage's first answers are judged, Commit
	// how long until a decision is known everywhere.
	Pause, Commit time.Duration
	Verdict       Verdict
	// Answers of the target that were judged in this stage and in all.
	StageAnswers, Answers int
	// All is the answers of both versions.
	All int
	// Slots of the endpoints of both versions.
	BaseSlots, TargetSlots int
	// Moved tells that every proxy knows of the stage and that none has a request
	// at the base.
	Moved bool
}

// enough is how many answers of the target a good version must have shown: a part
// of all, within bounds. A service with little traffic shows little, and what a bad
// version could get of it is little too.
func (f Facts) enough() bool { return f.Answers >= max(5, min(20, f.All/50)) }

// bears is the part of the base's slots that the target must have before it carries
// everything.
const bears = 0.7

// Next gives the state that follows; changed is false when nothing does yet.
// With too little evidence at the term it rolls back: an operator can order
// again, but old endpoints that were stopped don't come back.
func (r Rollout) Next(f Facts) (next Rollout, changed bool) {
	if r.State != InProgress {
		return r, false
	}
	end := func(s State, why string) (Rollout, bool) {
		r.State, r.Why, r.SpentS = s, why, f.Spent.Seconds()
		if s == Succeeded {
			r.Base = r.Target
		}
		return r, true
	}
	if f.Verdict.Bad {
		return end(RolledBack, f.Verdict.Why)
	}
	term := time.Duration(r.DeadlineS * float64(time.Second))
	last := f.Spent >= term-2*f.Commit
	good := r.Final() && f.InStage >= f.Pause && f.StageAnswers > 0 && f.enough() && !f.Verdict.Suspect
	switch {
	case good && (last || f.Moved && f.Spent >= at(term, settled)):
		return end(Succeeded, "")
	case last && f.Spent >= term-f.Commit:
		return end(RolledBack, r.shortfall(f))
	case r.Final() || f.InStage < f.Pause || f.Verdict.Suspect:
		return r, false
	}
	to := stages[r.Stage+1]
	if f.Spent < at(term, to.from) || f.StageAnswers == 0 {
		return r, false
	}
	if to.share == 1 && (!f.enough() || float64(f.TargetSlots) < bears*float64(f.BaseSlots)) {
		return r, false
	}
	r.Stage, r.SpentS = r.Stage+1, f.Spent.Seconds()
	return r, true
}

func (r Rollout) shortfall(f Facts) string {
	switch {
	case f.TargetSlots == 0:
		return "no endpoint of the version came"
	case !f.enough():
		return "too few answers to judge by"
	case float64(f.TargetSlots) < bears*float64(f.BaseSlots):
		return "too few endpoints of the version to carry the traffic"
	case f.Verdict.Suspect:
		return "suspect until the term"
	}
	return "not done by the term"
}

func at(term time.Duration, part float64) time.Duration {
	return time.Duration(float64(term) * part)
}

// Strata tells how a share is spread over routes, so that a fault on a rare one is
// seen as soon as on a common one: each common route gives the target as many
// requests, up to rarest times its share.
type Strata struct {
	counts map[int]float64
	total  float64
}

const (
	rarest = 4
	common = 0.01 // of the requests make a route a common one
	faded  = 0.8
)

// Arrive counts a request on a route.
func (s *Strata) Arrive(route int) {
	if s.counts == nil {
		s.counts = map[int]float64{}
	}
	s.counts[route]++
	s.total++
}

// Fade forgets a part of what was counted.
func (s *Strata) Fade() {
	s.total = 0
	for r, n := range s.counts {
		if n *= faded; n < 0.01 {
			delete(s.counts, r)
			continue
		}
		s.counts[r] = n
		s.total += n
	}
}

// Share is what of a route's requests goes to the target.
func (s *Strata) Share(share float64, route int) float64 {
	if share >= 1 || share <= 0 {
		return share
	}
	n, routes := s.counts[route], 0
	for _, m := range s.counts {
		if m >= common*s.total {
			routes++
		}
	}
	if n < common*s.total || n == 0 || routes == 0 {
		return share
	}
	return min(1, share*min(rarest, s.total/(n*float64(routes))))
}
