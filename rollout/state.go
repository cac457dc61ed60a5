// Package rollout implements progressive delivery: it moves the traffic of a service in
// stages from the version in use, the base, to a new one, the target. Canary analysis, a
// sequential test that compares the answers of both versions, decides whether the target is
// promoted or rolled back. An order is an operator's request to roll out a version.
//
// Rollout is the state machine of one service. Analyzer evaluates the evidence that the
// proxies collect, and StratifiedSplit computes for a proxy how much of each route's traffic
// goes to the target. Package internal/controlplane runs the state machine and the analysis
// on the Raft leader and stores each state in the registry; internal/proxy counts answers
// and splits traffic.
//
// The package does no input or output, reads no clock and starts no goroutines: times and
// evidence are passed as arguments. The package does not resolve concurrent transitions: the
// caller must write a new state with a compare-and-set against the state from which it was
// derived.
package rollout

import (
	"encoding/json"
	"fmt"
	"time"
)

// State is the state of a rollout. The values are stored and returned by the API.
type State string

// The states. An empty State means that there has never been an order.
const (
	InProgress State = "in_progress"
	Succeeded  State = "succeeded"
	RolledBack State = "rolled_back"
)

// Rollout holds the versions of one service and the state of its newest order. It is stored
// as JSON, so the keys are part of the stored format.
type Rollout struct {
	// Base is the version in use, or empty until the service has an endpoint.
	Base string `json:"base"`
	// OrderNumber numbers the orders, so that evidence from earlier ones can be recognized.
	OrderNumber uint64 `json:"order,omitempty"`
	// Target is the version that the newest order rolls out.
	Target string `json:"target,omitempty"`
	State  State  `json:"state,omitempty"`
	Stage  int    `json:"stage,omitempty"` // index into stages
	// DeadlineSeconds is the time limit of the order, counted from the order, and
	// ElapsedSeconds the time that had passed when this state was written. Each replica
	// adds the time since then by its own monotonic clock.
	DeadlineSeconds float64 `json:"deadline_s,omitempty"`
	ElapsedSeconds  float64 `json:"spent_s,omitempty"`
	// Reason says in human-readable form why the rollout ended.
	Reason string `json:"why,omitempty"`
}

// Encode returns the rollout as the value of a registry object.
func (r Rollout) Encode() []byte {
	value, _ := json.Marshal(r) // cannot fail: all fields are strings or finite numbers
	return value
}

// Decode parses a rollout from the value of a registry object.
func Decode(value []byte) (Rollout, error) {
	var r Rollout
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("rollout: decode: %w", err)
	}
	return r, nil
}

// stage is one stage of a rollout.
type stage struct {
	trafficShare float64 // fraction of the service's requests that goes to the target
	notBefore    float64 // fraction of the deadline before which the stage is not entered
}

// The stages. The first stage takes most of the time, because a fault may appear late and
// affects few requests while the share is small. All traffic is moved late and quickly,
// because one second of full traffic exposes about as many requests as a minute of the first
// stage. The first share is a fifth of the maximum fraction of requests that a bad version may
// get until the deadline.
var stages = [...]stage{
	{trafficShare: 0.02, notBefore: 0},
	{trafficShare: 0.08, notBefore: 0.55},
	{trafficShare: 0.25, notBefore: 0.62},
	{trafficShare: 1, notBefore: 0.68},
}

const (
	// earliestPromotion is the fraction of the deadline before which a version is normally
	// not promoted; the exception is described in Advance.
	earliestPromotion = 0.8
	// minCapacityRatio is the minimum ratio of the target's capacity to that of the base
	// before the target gets all traffic.
	minCapacityRatio = 0.7
	// A promotion requires one answer of the target per answersPerRequired answers of both
	// versions, but at least minRequiredAnswers and at most maxRequiredAnswers.
	minRequiredAnswers = 5
	maxRequiredAnswers = 20
	answersPerRequired = 50
)

// IsFinalStage reports whether a rollout is in progress and in the stage in which all
// requests go to the target.
func (r Rollout) IsFinalStage() bool {
	return r.State == InProgress && r.Stage >= len(stages)-1
}

// TrafficShare returns the fraction of the service's requests, from 0 to 1, that goes to the
// target, or 0 if no rollout is in progress.
func (r Rollout) TrafficShare() float64 {
	if r.State != InProgress {
		return 0
	}
	return stages[max(0, min(r.Stage, len(stages)-1))].trafficShare
}

// RejectedError is the human-readable reason why an order is rejected. The API returns it.
type RejectedError string

// Error implements the error interface.
func (e RejectedError) Error() string { return string(e) }

// Start returns the state after an order to roll out the target within a deadline. It returns
// a RejectedError if the service has no base version, or if the order conflicts with a rollout
// that is in progress or was rolled back.
//
// Orders are idempotent. The newest order is identified by its target and deadline. If it is
// sent again, for example after a lost response, Start returns the state unchanged, whatever
// the outcome of the rollout. Start also returns the state unchanged for another order of a
// target whose rollout is in progress or has succeeded.
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

// Observation is the input from which Advance derives the next state.
type Observation struct {
	Elapsed      time.Duration // since the order
	StageElapsed time.Duration // since the current stage was entered
	// AnalysisDelay is the time from entering a stage until its first answers have been
	// analyzed.
	AnalysisDelay time.Duration
	// PropagationDelay is the time until all nodes know a decision.
	PropagationDelay time.Duration
	Verdict          Verdict
	// StageTargetAnswers is the number of analyzed answers of the target in the current
	// stage, TargetAnswers that of all stages, and TotalAnswers that of both versions.
	StageTargetAnswers, TargetAnswers int
	TotalAnswers                      int
	// BaseCapacity and TargetCapacity are the total capacities of the endpoints of each
	// version.
	BaseCapacity, TargetCapacity int
	// TrafficShifted is set if all proxies know the current stage and none has a request
	// in flight to the base.
	TrafficShifted bool
}

// hasEnoughAnswers reports whether the target has given enough answers to be promoted. A
// service with little traffic needs fewer answers, because a bad version affects fewer
// requests.
func (o Observation) hasEnoughAnswers() bool {
	required := min(maxRequiredAnswers, o.TotalAnswers/answersPerRequired)
	return o.TargetAnswers >= max(minRequiredAnswers, required)
}

// hasEnoughCapacity reports whether the target has enough capacity for all traffic.
func (o Observation) hasEnoughCapacity() bool {
	return float64(o.TargetCapacity) >= minCapacityRatio*float64(o.BaseCapacity)
}

// Advance returns the state that follows from an observation. changed is false if the state
// stays the same. The target is rolled back as soon as it is found bad, and also if there is
// too little evidence at the deadline: after a rollback an operator can order another rollout,
// whereas endpoints of the base that were stopped after a promotion do not come back.
func (r Rollout) Advance(o Observation) (next Rollout, changed bool) {
	if r.State != InProgress {
		return r, false
	}
	if o.Verdict.Bad {
		return r.finish(RolledBack, o.Verdict.Reason, o.Elapsed), true
	}
	deadline := time.Duration(r.DeadlineSeconds * float64(time.Second))
	// All nodes must know the decision by the deadline. One PropagationDelay before the
	// deadline, an undecided target is rolled back. From two PropagationDelays before the
	// deadline, a target that fulfills canPromote is promoted without waiting for
	// TrafficShifted.
	isNearDeadline := o.Elapsed >= deadline-2*o.PropagationDelay
	isOverdue := o.Elapsed >= deadline-o.PropagationDelay
	isComplete := o.TrafficShifted && o.Elapsed >= fractionOf(deadline, earliestPromotion)
	switch {
	case r.canPromote(o) && (isNearDeadline || isComplete):
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

// finish returns the final state of a rollout.
func (r Rollout) finish(state State, reason string, elapsed time.Duration) Rollout {
	r.State = state
	r.Reason = reason
	r.ElapsedSeconds = elapsed.Seconds()
	if state == Succeeded {
		r.Base = r.Target
	}
	return r
}

// canPromote reports whether the target may be promoted: it has received all traffic for long
// enough to be analyzed, has given enough answers, and is not suspect.
func (r Rollout) canPromote(o Observation) bool {
	return r.IsFinalStage() &&
		o.StageElapsed >= o.AnalysisDelay &&
		o.StageTargetAnswers > 0 &&
		o.hasEnoughAnswers() &&
		!o.Verdict.Suspect
}

// canEnterNextStage reports whether there is a next stage, its earliest time has come, and the
// current stage has been analyzed without a finding. The final stage also requires enough
// answers and capacity.
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

// rollbackReason returns the reason why a target was not promoted before the deadline. The
// texts are stored and returned by the API.
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
