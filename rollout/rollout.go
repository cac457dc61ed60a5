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
	// OrderNumber counts the orders, so that evidence of an earlier one is told apart.
	OrderNumber uint64 `json:"order,omitempty"`
	Target      string `json:"target,omitempty"`
	State       State  `json:"state,omitempty"`
	Stage       int    `json:"stage,omitempty"`
	// DeadlineSeconds is the time that the order gave, SpentS what of it had passed when
	// this state was written. Every replica counts on from there by its own steady
	// clock.
	DeadlineSeconds float64 `json:"deadline_s,omitempty"`
	ElapsedSeconds  float64 `json:"spent_s,omitempty"`
	Reason          string  `json:"why,omitempty"`
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
type stage struct{ trafficShare, notBefore float64 }

// The steps. Most of the time is the canary's, as a fault may come late and little
// is lost while it is small; the whole traffic goes over late, and fast, since each
// second of it weighs as much as a minute of the canary. The first is a fifth of
// what the exposure of a bad version may be over the whole term.
var stages = [...]stage{{0.02, 0}, {0.08, 0.55}, {0.25, 0.62}, {1, 0.68}}

// earliestPromotion is the part of the time from which on a version may be taken for good.
const earliestPromotion = 0.8

// IsFinalStage tells whether all requests go to the target.
func (r Rollout) IsFinalStage() bool { return r.State == InProgress && r.Stage >= len(stages)-1 }

// RouteShare is the part of the service's requests that the target is to get.
func (r Rollout) TrafficShare() float64 {
	if r.State != InProgress {
		return 0
	}
	return stages[max(0, min(r.Stage, len(stages)-1))].trafficShare
}

// RejectedError says why an order cannot be taken.
type RejectedError string

func (r RejectedError) Error() string { return string(r) }

// Start gives the state after an order. An order is known by its target and its
// deadline: the newest one, sent again after a lost answer, gives the same state
// however it ended. So does another one for a version that is under way or in use.
// What stands against what is decided is refused.
func (r Rollout) Start(target string, deadline time.Duration) (Rollout, error) {
	switch {
	case r.Base == "":
		return r, RejectedError("the service has no endpoint yet, so it has no version to move away from")
	case r.State == InProgress && r.Target != target:
		return r, RejectedError("a roll-out to another version is under way")
	case r.State == RolledBack && r.Target == target && r.DeadlineSeconds != deadline.Seconds():
		return r, RejectedError("this version was rolled back; a mended one needs a new name")
	case r.State != "" && r.Target == target:
		return r, nil
	}
	next := Rollout{Base: r.Base, OrderNumber: r.OrderNumber + 1, Target: target, State: InProgress, DeadlineSeconds: deadline.Seconds()}
	if target == r.Base {
		next.State, next.Reason = Succeeded, "the version is in use already"
	}
	return next, nil
}

// Observation are what is known when the next state is sought.
type Observation struct {
	Elapsed      time.Duration // since the order
	StageElapsed time.Duration // since the stage was entered
	// AnalysisDelay is how long it takes until a stage's first answers are judged, Commit
	// how long until a decision is known everywhere.
	AnalysisDelay, PropagationDelay time.Duration
	Verdict                         Verdict
	// TargetAnswers of the target that were judged in this stage and in all.
	StageTargetAnswers, TargetAnswers int
	// TotalAnswers is the answers of both versions.
	TotalAnswers int
	// Slots of the endpoints of both versions.
	BaseCapacity, TargetCapacity int
	// TrafficShifted tells that every proxy knows of the stage and that none has a request
	// fractionOf the base.
	TrafficShifted bool
}

// hasEnoughAnswers is how many answers of the target a good version must have shown: a part
// of all, within bounds. A service with little traffic shows little, and what a bad
// version could get of it is little too.
func (f Observation) hasEnoughAnswers() bool {
	return f.TargetAnswers >= max(5, min(20, f.TotalAnswers/50))
}

// minCapacityRatio is the part of the base's slots that the target must have before it carries
// everything.
const minCapacityRatio = 0.7

// Advance gives the state that follows; changed is false when nothing does yet.
// With too little evidence at the term it rolls back: an operator can order
// again, but old endpoints that were stopped don't come back.
func (r Rollout) Advance(f Observation) (next Rollout, changed bool) {
	if r.State != InProgress {
		return r, false
	}
	end := func(s State, why string) (Rollout, bool) {
		r.State, r.Reason, r.ElapsedSeconds = s, why, f.Elapsed.Seconds()
		if s == Succeeded {
			r.Base = r.Target
		}
		return r, true
	}
	if f.Verdict.Bad {
		return end(RolledBack, f.Verdict.Reason)
	}
	term := time.Duration(r.DeadlineSeconds * float64(time.Second))
	last := f.Elapsed >= term-2*f.PropagationDelay
	good := r.IsFinalStage() && f.StageElapsed >= f.AnalysisDelay && f.StageTargetAnswers > 0 && f.hasEnoughAnswers() && !f.Verdict.Suspect
	switch {
	case good && (last || f.TrafficShifted && f.Elapsed >= fractionOf(term, earliestPromotion)):
		return end(Succeeded, "")
	case last && f.Elapsed >= term-f.PropagationDelay:
		return end(RolledBack, r.rollbackReason(f))
	case r.IsFinalStage() || f.StageElapsed < f.AnalysisDelay || f.Verdict.Suspect:
		return r, false
	}
	to := stages[r.Stage+1]
	if f.Elapsed < fractionOf(term, to.notBefore) || f.StageTargetAnswers == 0 {
		return r, false
	}
	if to.trafficShare == 1 && (!f.hasEnoughAnswers() || float64(f.TargetCapacity) < minCapacityRatio*float64(f.BaseCapacity)) {
		return r, false
	}
	r.Stage, r.ElapsedSeconds = r.Stage+1, f.Elapsed.Seconds()
	return r, true
}

func (r Rollout) rollbackReason(f Observation) string {
	switch {
	case f.TargetCapacity == 0:
		return "no endpoint of the version came"
	case !f.hasEnoughAnswers():
		return "too few answers to judge by"
	case float64(f.TargetCapacity) < minCapacityRatio*float64(f.BaseCapacity):
		return "too few endpoints of the version to carry the traffic"
	case f.Verdict.Suspect:
		return "suspect until the term"
	}
	return "not done by the term"
}

func fractionOf(term time.Duration, part float64) time.Duration {
	return time.Duration(float64(term) * part)
}

// StratifiedSplit tells how a share is spread over routes, so that a fault on a rare one is
// seen as soon as on a common one: each common route gives the target as many
// requests, up to rarest times its share.
type StratifiedSplit struct {
	requestsByRoute map[int]float64
	totalRequests   float64
}

const (
	maxShareFactor      = 4
	commonRouteFraction = 0.01 // of the requests make a route a common one
	decayFactor         = 0.8
)

// RecordRequest counts a request on a route.
func (s *StratifiedSplit) RecordRequest(route int) {
	if s.requestsByRoute == nil {
		s.requestsByRoute = map[int]float64{}
	}
	s.requestsByRoute[route]++
	s.totalRequests++
}

// Decay forgets a part of what was counted.
func (s *StratifiedSplit) Decay() {
	s.totalRequests = 0
	for r, n := range s.requestsByRoute {
		if n *= decayFactor; n < 0.01 {
			delete(s.requestsByRoute, r)
			continue
		}
		s.requestsByRoute[r] = n
		s.totalRequests += n
	}
}

// RouteShare is what of a route's requests goes to the target.
func (s *StratifiedSplit) RouteShare(share float64, route int) float64 {
	if share >= 1 || share <= 0 {
		return share
	}
	n, routes := s.requestsByRoute[route], 0
	for _, m := range s.requestsByRoute {
		if m >= commonRouteFraction*s.totalRequests {
			routes++
		}
	}
	if n < commonRouteFraction*s.totalRequests || n == 0 || routes == 0 {
		return share
	}
	return min(1, share*min(maxShareFactor, s.totalRequests/(n*float64(routes))))
}
