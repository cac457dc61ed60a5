// Package rollout decides progressive deliveries: it moves the traffic of a service
// from the version in use to a new one in stages, and promotes or rolls back by
// canary analysis, a sequential test that compares the answers of both versions.
//
// Rollout is the state machine of one service. Analyzer judges the evidence that the
// proxies gather, StratifiedSplit computes for a proxy how much of each route to send
// to the new version. Package internal/controlplane runs the state machine and the
// analysis on the Raft leader and stores each state in the registry; internal/proxy
// counts answers and splits traffic.
//
// The package does no input or output, reads no clock and starts no goroutine: times
// and evidence come in as arguments. Nor does it decide alone which of two next states
// takes effect: the caller must write a state under the condition that the one that it
// was derived from is still the newest.
package rollout

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is the state of a roll-out. The values are stored and returned by the API.
type State string

// The states. The empty one says that no roll-out was ever ordered.
const (
	InProgress State = "in_progress"
	Succeeded  State = "succeeded"
	RolledBack State = "rolled_back"
)

// Rollout is the versions of one service and its newest order. It is stored as JSON;
// the keys are part of that format.
type Rollout struct {
	// Base is the version in ordinary use; empty until the service has an endpoint.
	Base string `json:"base"`
	// OrderNumber counts the orders, so that evidence of an earlier one is recognised.
	OrderNumber uint64 `json:"order,omitempty"`
	// Target is the version that the newest order is to bring into use.
	Target string `json:"target,omitempty"`
	State  State  `json:"state,omitempty"`
	Stage  int    `json:"stage,omitempty"` // index in stages
	// DeadlineSeconds is the time that the order gave, and ElapsedSeconds what of it
	// had passed when this state was written. Each replica counts on from there by its
	// own monotonic clock.
	DeadlineSeconds float64 `json:"deadline_s,omitempty"`
	ElapsedSeconds  float64 `json:"spent_s,omitempty"`
	// Reason says why the roll-out ended, for people to read.
	Reason string `json:"why,omitempty"`
}

// Encode returns the roll-out as the value of a registry object.
func (r Rollout) Encode() []byte {
	value, _ := json.Marshal(r) // a struct of plain fields with finite numbers always encodes
	return value
}

// Decode reads a roll-out from the value of a registry object.
func Decode(value []byte) (Rollout, error) {
	var r Rollout
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("rollout: decode: %w", err)
	}
	return r, nil
}

// stage is one step of a roll-out.
type stage struct {
	trafficShare float64 // of the service's requests, that goes to the target
	notBefore    float64 // fraction of the deadline before which it is not entered
}

// The stages. The first takes most of the time, as a fault may show late and costs
// little while the share is small. All traffic is moved late and fast, as each second
// of it weighs as much as a minute of the canary. The first share is a fifth of the
// greatest exposure to a bad version that is tolerated until the deadline.
var stages = [...]stage{
	{trafficShare: 0.02, notBefore: 0},
	{trafficShare: 0.08, notBefore: 0.55},
	{trafficShare: 0.25, notBefore: 0.62},
	{trafficShare: 1, notBefore: 0.68},
}

const (
	// earliestPromotion is the fraction of the deadline before which a version is not
	// promoted.
	earliestPromotion = 0.8
	// minCapacityRatio is the part of the base's capacity that the target must have
	// before it gets all traffic.
	minCapacityRatio = 0.7
	// The number of the target's answers that a promotion needs: one in
	// answersPerRequired of the answers of both versions, within bounds.
	minRequiredAnswers = 5
	maxRequiredAnswers = 20
	answersPerRequired = 50
)

// IsFinalStage reports whether a roll-out is under way and all requests go to the
// target.
func (r Rollout) IsFinalStage() bool {
	return r.State == InProgress && r.Stage >= len(stages)-1
}

// TrafficShare returns the part of the service's requests, from 0 to 1, that is to go
// to the target while a roll-out is under way, and otherwise 0.
func (r Rollout) TrafficShare() float64 {
	if r.State != InProgress {
		return 0
	}
	return stages[max(0, min(r.Stage, len(stages)-1))].trafficShare
}

// RejectedError says why an order cannot be accepted, for people to read. Its texts are
// returned by the API.
type RejectedError string

// Error implements the error interface.
func (e RejectedError) Error() string { return string(e) }

// Start returns the state after an order to roll out a version within a deadline. The
// error is a RejectedError if the order contradicts what is under way or decided.
//
// Orders are idempotent. The newest one is known by its target and deadline: sent
// again after a lost answer, it returns the state unchanged, however the roll-out
// ended. So does another order for a version that is under way or in use.
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
	next := Rollout{
		Base:            r.Base,
		OrderNumber:     r.OrderNumber + 1,
		Target:          target,
		State:           InProgress,
		DeadlineSeconds: deadline.Seconds(),
	}
	if target == r.Base {
		next.State = Succeeded
		next.Reason = "the version is in use already"
	}
	return next, nil
}

// Observation is what is known of a roll-out when its next state is sought.
type Observation struct {
	Elapsed      time.Duration // since the order
	StageElapsed time.Duration // since the present stage was entered
	// AnalysisDelay is how long it takes from entering a stage until its first answers
	// have been analysed.
	AnalysisDelay time.Duration
	// PropagationDelay is how long it takes until a decision is known everywhere.
	PropagationDelay time.Duration
	Verdict          Verdict
	// StageTargetAnswers and TargetAnswers are the answers of the target that were
	// analysed in the present stage and in all, TotalAnswers those of both versions.
	StageTargetAnswers, TargetAnswers int
	TotalAnswers                      int
	// BaseCapacity and TargetCapacity are the sums of the capacities of the endpoints
	// of either version.
	BaseCapacity, TargetCapacity int
	// TrafficShifted says that every proxy knows the present stage and none has a
	// request in flight at the base.
	TrafficShifted bool
}

// hasEnoughAnswers reports whether the target has answered often enough to be
// promoted. A service with little traffic needs fewer answers, as little of it is
// exposed to a bad version too.
func (o Observation) hasEnoughAnswers() bool {
	required := min(maxRequiredAnswers, o.TotalAnswers/answersPerRequired)
	return o.TargetAnswers >= max(minRequiredAnswers, required)
}

// hasEnoughCapacity reports whether the target's endpoints can carry all traffic.
func (o Observation) hasEnoughCapacity() bool {
	return float64(o.TargetCapacity) >= minCapacityRatio*float64(o.BaseCapacity)
}

// Advance returns the state that follows from an observation; changed is false if
// there is nothing to do yet. The target is rolled back as soon as it is found bad,
// and if the deadline comes with too little evidence: an operator can order again,
// but endpoints of the base that were stopped do not come back.
func (r Rollout) Advance(o Observation) (next Rollout, changed bool) {
	if r.State != InProgress {
		return r, false
	}
	if o.Verdict.Bad {
		return r.finish(RolledBack, o.Verdict.Reason, o.Elapsed), true
	}
	deadline := time.Duration(r.DeadlineSeconds * float64(time.Second))
	// A decision must be known everywhere by the deadline. If there is none one
	// PropagationDelay before it, the target is rolled back; in the one before that, a
	// proven target is promoted without waiting until traffic has shifted.
	isLastChance := o.Elapsed >= deadline-2*o.PropagationDelay
	isOverdue := o.Elapsed >= deadline-o.PropagationDelay
	isComplete := o.TrafficShifted && o.Elapsed >= fractionOf(deadline, earliestPromotion)
	switch {
	case r.isProven(o) && (isLastChance || isComplete):
		return r.finish(Succeeded, "", o.Elapsed), true
	case isOverdue:
		return r.finish(RolledBack, o.rollbackReason(), o.Elapsed), true
	case r.canEnterNextStage(o, deadline):
		r.Stage++
		r.ElapsedSeconds = o.Elapsed.Seconds()
		return r, true
	}
	return r, false
}

// finish returns the state after the decision on a roll-out.
func (r Rollout) finish(state State, reason string, elapsed time.Duration) Rollout {
	r.State = state
	r.Reason = reason
	r.ElapsedSeconds = elapsed.Seconds()
	if state == Succeeded {
		r.Base = r.Target
	}
	return r
}

// isProven reports whether the target may be promoted: it has carried all traffic for
// long enough to be analysed, and nothing speaks against it.
func (r Rollout) isProven(o Observation) bool {
	return r.IsFinalStage() &&
		o.StageElapsed >= o.AnalysisDelay &&
		o.StageTargetAnswers > 0 &&
		o.hasEnoughAnswers() &&
		!o.Verdict.Suspect
}

// canEnterNextStage reports whether there is a next stage and the present one has
// been analysed without a finding.
func (r Rollout) canEnterNextStage(o Observation, deadline time.Duration) bool {
	if r.IsFinalStage() || o.StageElapsed < o.AnalysisDelay || o.Verdict.Suspect {
		return false
	}
	next := stages[r.Stage+1]
	if o.Elapsed < fractionOf(deadline, next.notBefore) || o.StageTargetAnswers == 0 {
		return false
	}
	return next.trafficShare < 1 || o.hasEnoughAnswers() && o.hasEnoughCapacity()
}

// rollbackReason says why a roll-out was not promoted before its deadline. The texts
// are stored and returned by the API.
func (o Observation) rollbackReason() string {
	switch {
	case o.TargetCapacity == 0:
		return "no endpoint of the version came"
	case !o.hasEnoughAnswers():
		return "too few answers to judge by"
	case !o.hasEnoughCapacity():
		return "too few endpoints of the version to carry the traffic"
	case o.Verdict.Suspect:
		return "suspect until the term"
	}
	return "not done by the term"
}

func fractionOf(deadline time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(deadline) * fraction)
}
