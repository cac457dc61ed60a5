package proxy

import (
	"math/rand"
	"sync/atomic"
	"time"

	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
	"lichentray/rollout"
)

// rolloutState is a service's versions as the registry has them, and what this node saw
// of them since its last report.
type rolloutState struct {
	rollout.Rollout
	evidence rollout.Evidence
	strata   rollout.StratifiedSplit // of the requests lately
}

// applyRollout takes a service's versions.
func (p *Proxy) applyRollout(name string, o registry.Object) {
	r, err := rollout.Decode(o.Value)
	if err != nil {
		p.log.Error("roll-out cannot be read, the versions sent to stay", "key", o.Key, "error", err)
		return
	}
	p.setRollout(p.ensureService(name), r)
}

func (p *Proxy) setRollout(s *service, r rollout.Rollout) {
	s.mu.Lock()
	was := s.rollout.Rollout
	s.rollout.Rollout = r
	if was.OrderNumber != r.OrderNumber || r.State != rollout.InProgress {
		s.rollout.evidence = nil
	}
	s.pool.SetVersions(loadbalance.Versions{Known: r.Base != "" || r.OrderNumber > 0, Base: r.Base, Target: r.Target, TargetShare: r.TrafficShare()})
	s.wakeNext()
	s.mu.Unlock()
	if r.State != was.State && r.State != "" {
		p.log.Info("roll-out", "service", s.name, "target", r.Target, "state", string(r.State))
	}
}

// rolloutReports reports the roll-outs under way.
func (p *Proxy) rolloutReports() map[string]transport.RolloutReport {
	if !p.settings.HasRollouts() {
		return nil
	}
	var out map[string]transport.RolloutReport
	for name, s := range p.services {
		s.mu.Lock()
		p.metrics.Counter("endpoints_barred", "service", name).Set(int64(s.pool.ExcludedCount()))
		if s.rollout.State == rollout.InProgress {
			for _, a := range s.rollout.evidence {
				p.metrics.Counter("rollout_requests_total", "service", name, "version", "base").Add(int64(a.Base.Answers + a.Base.Broken))
				p.metrics.Counter("rollout_requests_total", "service", name, "version", "target").Add(int64(a.Target.Answers + a.Target.Broken))
			}
			if out == nil {
				out = map[string]transport.RolloutReport{}
			}
			out[name] = transport.RolloutReport{Order: s.rollout.OrderNumber, Evidence: s.rollout.evidence, Proxies: 1, Stage: s.rollout.Stage, AtBase: s.pool.BaseInflight()}
			s.rollout.evidence = nil
			s.rollout.strata.Decay()
		}
		s.mu.Unlock()
	}
	return out
}

// drawArm draws which version a request goes to. A node that has not heard for a while
// of how the roll-out stands sends to the version in use.
func (s *service) drawArm(p *Proxy, route int) loadbalance.VersionGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.pool.Versions().TargetShare
	if share <= 0 {
		return loadbalance.BaseVersion
	}
	s.rollout.strata.RecordRequest(route)
	share = s.rollout.strata.RouteShare(share, route)
	if share < 1 && rand.Float64() >= share || p.now()-time.Duration(p.lastBookmarkAt.Load()) > p.timeouts.rolloutLease {
		return loadbalance.BaseVersion
	}
	return loadbalance.TargetVersion
}

// retryArm is where a request goes that an endpoint failed: from the version under
// rolloutState to the one in use. sent tells that the endpoint may have got it; where it
// was not even reached and all should have moved, the version in use has been
// stopped and this node has not heard of it.
func (s *service) retryArm(arm loadbalance.VersionGroup, sent bool) loadbalance.VersionGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	if arm == loadbalance.BaseVersion && !sent && s.rollout.IsFinalStage() {
		return loadbalance.TargetVersion
	}
	return loadbalance.BaseVersion
}

// acquireForArm picks an endpoint of the version drawn. Nobody waits for the one under
// rolloutState while the other can be had.
func (s *service) acquireForArm(p *Proxy, r queueRank, wait time.Duration, skip func(*loadbalance.Endpoint) bool, arm *loadbalance.VersionGroup) (*loadbalance.Endpoint, *connPool) {
	if *arm == loadbalance.TargetVersion {
		s.mu.Lock()
		final, over := s.rollout.IsFinalStage(), s.rollout.State != rollout.InProgress
		s.mu.Unlock()
		if !final && !over {
			if e, sh := s.acquireEndpoint(p, r, 0, skip); e != nil {
				return e, sh
			}
		}
		if !final {
			*arm = loadbalance.BaseVersion
		}
	}
	e, sh := s.acquireEndpoint(p, r, wait, skip)
	if e != nil && *arm == loadbalance.TargetVersion {
		s.mu.Lock()
		*arm = e.VersionGroup // a roll-out may have ended meanwhile
		s.mu.Unlock()
	}
	return e, sh
}

// accepts tells whether an endpoint takes a request that goes to a version. The
// caller has the service's lock.
func (s *service) accepts(e *loadbalance.Endpoint, arm loadbalance.VersionGroup) bool {
	if arm == loadbalance.TargetVersion && s.rollout.State == rollout.InProgress {
		return e.VersionGroup == loadbalance.TargetVersion && e.InRolloutSubset
	}
	return e.VersionGroup == loadbalance.BaseVersion
}

// attemptWatch notes how one attempt ends while a roll-out is under way. Nil notes
// nothing.
type attemptWatch struct {
	service *service
	arm     loadbalance.VersionGroup
	order   uint64
	route   string
	// endpoint is where the attempt was made.
	endpoint       string
	typicalLatency time.Duration // 0: the attempt's time says nothing
	// slowRecorded is set once the attempt has been noted as slow before its end.
	slowRecorded atomic.Bool
	timer        *time.Timer
}

// attemptWatch begins to watch an attempt. One at the version under trial counts as slow
// when it is, not when it ends.
func (s *service) watchAttempt(p *Proxy, q *request, e *loadbalance.Endpoint, arm loadbalance.VersionGroup) *attemptWatch {
	s.mu.Lock()
	trial, fresh := s.rollout.Rollout, e.IsWarmingUp(p.now())
	s.mu.Unlock()
	if trial.State != rollout.InProgress {
		return nil
	}
	w := &attemptWatch{service: s, arm: arm, order: trial.OrderNumber, route: q.route.Name, endpoint: e.ID}
	if !fresh {
		w.typicalLatency = q.stats.typicalLatency()
	}
	if w.typicalLatency > 0 && arm == loadbalance.TargetVersion {
		w.timer = time.AfterFunc(rollout.SlowFactor*w.typicalLatency, func() {
			if w.slowRecorded.CompareAndSwap(false, true) {
				w.record(rollout.Counts{Timed: 1, Slow: 1})
			}
		})
	}
	return w
}

// stop stops watching: the attempt says nothing of the version.
func (w *attemptWatch) stop() {
	if w != nil && w.timer != nil {
		w.timer.Stop()
	}
}

// recordBroken notes an attempt that ended without an answer, unless it never reached the
// endpoint, or met a connection that had been forgotten there, or ran out of time.
func (w *attemptWatch) recordBroken(o outcome, inTime bool) {
	w.stop()
	if w != nil && o.phase >= phasePartlySent && !o.isStale && inTime {
		w.record(rollout.Counts{Broken: 1})
	}
}

// recordResponse notes an answer.
func (w *attemptWatch) recordResponse(took time.Duration, ok bool) {
	w.stop()
	if w == nil {
		return
	}
	c := rollout.Counts{Answers: 1}
	if !ok {
		c.Failed = 1
	} else if w.typicalLatency > 0 && !w.slowRecorded.Swap(true) {
		c.Timed = 1
		if took > rollout.SlowFactor*w.typicalLatency {
			c.Slow = 1
		}
	}
	w.record(c)
}

func (w *attemptWatch) record(c rollout.Counts) {
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	t := &w.service.rollout
	if t.OrderNumber != w.order || t.State != rollout.InProgress {
		return
	}
	if t.evidence == nil {
		t.evidence = rollout.Evidence{}
	}
	a := rollout.NewBaseCounts(c)
	if w.arm == loadbalance.TargetVersion {
		a = rollout.NewTargetCounts(w.endpoint, c)
	}
	t.evidence.Add(rollout.Evidence{w.route: a})
}
