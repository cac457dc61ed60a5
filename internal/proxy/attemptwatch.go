package proxy

import (
	"sync/atomic"
	"time"

	"lichentray/loadbalance"
	"lichentray/rollout"
)

// attemptWatch records how one attempt ends while a roll-out is in progress. A nil
// attemptWatch records nothing.
type attemptWatch struct {
	service *service
	group   loadbalance.VersionGroup
	// order is the number of the roll-out's order. Nothing is recorded for a later one.
	order    uint64
	route    string
	endpoint string
	// typicalLatency is of the route; 0 if the attempt's duration is not
	// evidence about the version, as the endpoint is warming up.
	typicalLatency time.Duration
	// slowRecorded is set once the attempt was recorded as slow before its end.
	slowRecorded atomic.Bool
	timer        *time.Timer
}

// watchAttempt begins to watch an attempt. One at the target version counts as slow as
// soon as it is, not when it ends.
func (s *service) watchAttempt(p *Proxy, q *request, e *loadbalance.Endpoint, group loadbalance.VersionGroup) *attemptWatch {
	s.mu.Lock()
	current, isWarmingUp := s.rollout.Rollout, e.IsWarmingUp(p.now())
	s.mu.Unlock()
	if current.State != rollout.InProgress {
		return nil
	}
	w := &attemptWatch{
		service:  s,
		group:    group,
		order:    current.OrderNumber,
		route:    q.route.Name,
		endpoint: e.ID,
	}
	if !isWarmingUp {
		w.typicalLatency = q.stats.typicalLatency()
	}
	if w.typicalLatency > 0 && group == loadbalance.TargetVersion {
		w.timer = time.AfterFunc(rollout.SlowFactor*w.typicalLatency, w.recordSlow)
	}
	return w
}

// stop ends the watch without a record: the attempt is no evidence about the version.
func (w *attemptWatch) stop() {
	if w != nil && w.timer != nil {
		w.timer.Stop()
	}
}

// recordSlow records that the attempt takes long, before it has ended.
func (w *attemptWatch) recordSlow() {
	if w.slowRecorded.CompareAndSwap(false, true) {
		w.record(rollout.Counts{Timed: 1, Slow: 1})
	}
}

// recordBroken records an attempt that ended without a response. It records nothing if the
// attempt never reached the endpoint, met a stale connection, or ran out of time.
func (w *attemptWatch) recordBroken(o *outcome, beforeDeadline bool) {
	w.stop()
	if w != nil && o.phase >= phasePartlySent && !o.isStale && beforeDeadline {
		w.record(rollout.Counts{Broken: 1})
	}
}

// recordResponse records a response and how long the attempt took.
func (w *attemptWatch) recordResponse(took time.Duration, isSuccess bool) {
	w.stop()
	if w == nil {
		return
	}
	counts := rollout.Counts{Answers: 1}
	switch {
	case !isSuccess:
		counts.Failed = 1
	case w.typicalLatency > 0 && !w.slowRecorded.Swap(true):
		counts.Timed = 1
		if took > rollout.SlowFactor*w.typicalLatency {
			counts.Slow = 1
		}
	}
	w.record(counts)
}

// record adds to the evidence of the roll-out, if it is still in progress.
func (w *attemptWatch) record(counts rollout.Counts) {
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	state := &w.service.rollout
	if state.OrderNumber != w.order || state.State != rollout.InProgress {
		return
	}
	if state.evidence == nil {
		state.evidence = rollout.Evidence{}
	}
	ofRoute := rollout.NewBaseCounts(counts)
	if w.group == loadbalance.TargetVersion {
		ofRoute = rollout.NewTargetCounts(w.endpoint, counts)
	}
	state.evidence.Add(rollout.Evidence{w.route: ofRoute})
}
