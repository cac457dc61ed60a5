package proxy

import (
	"sync/atomic"
	"time"

	"lichentray/loadbalance"
	"lichentray/rollout"
)

// rolloutRecorder records the result of one attempt as evidence for a rollout in progress.
// The methods of a nil rolloutRecorder do nothing.
type rolloutRecorder struct {
	service *service
	group   loadbalance.VersionGroup
	// orderNumber is the rollout's order number. Nothing is recorded for a later rollout.
	orderNumber uint64
	route       string
	endpointID  string
	// typicalLatency is the route's typical latency. It is 0 while that is not known, and if
	// the endpoint is warming up: the attempt's duration is then no evidence about the version.
	typicalLatency time.Duration
	// isSlowRecorded is set once the attempt's duration is recorded, before or at its end.
	isSlowRecorded atomic.Bool
	timer          *time.Timer
}

// newRolloutRecorder returns the recorder of an attempt, or nil if no rollout is in progress.
// An attempt at the target version is recorded as slow as soon as it exceeds the limit, not
// when it ends.
func (s *service) newRolloutRecorder(p *Proxy, q *request, e *loadbalance.Endpoint, group loadbalance.VersionGroup) *rolloutRecorder {
	s.mu.Lock()
	current, isWarmingUp := s.rollout.Rollout, e.IsWarmingUp(p.now())
	s.mu.Unlock()
	if current.State != rollout.InProgress {
		return nil
	}
	r := &rolloutRecorder{
		service:     s,
		group:       group,
		orderNumber: current.OrderNumber,
		route:       q.route.Name,
		endpointID:  e.ID,
	}
	if !isWarmingUp {
		r.typicalLatency = q.stats.typicalLatency()
	}
	if r.typicalLatency > 0 && group == loadbalance.TargetVersion {
		r.timer = time.AfterFunc(rollout.SlowFactor*r.typicalLatency, r.recordSlow)
	}
	return r
}

// stop stops the timer without recording anything.
func (r *rolloutRecorder) stop() {
	if r != nil && r.timer != nil {
		r.timer.Stop()
	}
}

// recordSlow records an attempt in progress as slow.
func (r *rolloutRecorder) recordSlow() {
	if r.isSlowRecorded.CompareAndSwap(false, true) {
		r.record(rollout.Counts{Timed: 1, Slow: 1})
	}
}

// recordBroken records an attempt that ended without a response. It records nothing if no part
// of the request was sent, the connection was stale, or the deadline has passed.
func (r *rolloutRecorder) recordBroken(o *outcome, beforeDeadline bool) {
	r.stop()
	if r != nil && o.phase >= phasePartlySent && !o.isStale && beforeDeadline {
		r.record(rollout.Counts{Broken: 1})
	}
}

// recordResponse records a response and the attempt's duration.
func (r *rolloutRecorder) recordResponse(took time.Duration, isSuccess bool) {
	r.stop()
	if r == nil {
		return
	}
	counts := rollout.Counts{Answers: 1}
	switch {
	case !isSuccess:
		counts.Failed = 1
	case r.typicalLatency > 0 && !r.isSlowRecorded.Swap(true):
		counts.Timed = 1
		if took > rollout.SlowFactor*r.typicalLatency {
			counts.Slow = 1
		}
	}
	r.record(counts)
}

// record adds counts to the evidence of the rollout, if that is still in progress.
func (r *rolloutRecorder) record(counts rollout.Counts) {
	r.service.mu.Lock()
	defer r.service.mu.Unlock()
	state := &r.service.rollout
	if state.OrderNumber != r.orderNumber || state.State != rollout.InProgress {
		return
	}
	if state.evidence == nil {
		state.evidence = rollout.Evidence{}
	}
	routeCounts := rollout.NewBaseCounts(counts)
	if r.group == loadbalance.TargetVersion {
		routeCounts = rollout.NewTargetCounts(r.endpointID, counts)
	}
	state.evidence.Add(rollout.Evidence{r.route: routeCounts})
}
