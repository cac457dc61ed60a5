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

// trial is a service's versions as the registry has them, and what this node saw
// of them since its last report.
type trial struct {
	rollout.Rollout
	seen   rollout.Evidence
	strata rollout.StratifiedSplit // of the requests lately
}

// takeRollout takes a service's versions.
func (p *Plane) takeRollout(name string, o registry.Object) {
	r, err := rollout.Decode(o.Value)
	if err != nil {
		p.log.Error("roll-out cannot be read, the versions sent to stay", "key", o.Key, "error", err)
		return
	}
	p.setRollout(p.service(name), r)
}

func (p *Plane) setRollout(s *service, r rollout.Rollout) {
	s.mu.Lock()
	was := s.trial.Rollout
	s.trial.Rollout = r
	if was.OrderNumber != r.OrderNumber || r.State != rollout.InProgress {
		s.trial.seen = nil
	}
	s.pool.SetVersions(loadbalance.Versions{Known: r.Base != "" || r.OrderNumber > 0, Base: r.Base, Target: r.Target, TargetShare: r.TrafficShare()})
	s.wakeFirst()
	s.mu.Unlock()
	if r.State != was.State && r.State != "" {
		p.log.Info("roll-out", "service", s.name, "target", r.Target, "state", string(r.State))
	}
}

// trials reports the roll-outs under way.
func (p *Plane) trials() map[string]transport.RolloutReport {
	if !p.set.HasRollouts() {
		return nil
	}
	var out map[string]transport.RolloutReport
	for name, s := range p.services {
		s.mu.Lock()
		p.board.Counter("endpoints_barred", "service", name).Set(int64(s.pool.ExcludedCount()))
		if s.trial.State == rollout.InProgress {
			for _, a := range s.trial.seen {
				p.board.Counter("rollout_requests_total", "service", name, "version", "base").Add(int64(a.Base.Answers + a.Base.Broken))
				p.board.Counter("rollout_requests_total", "service", name, "version", "target").Add(int64(a.Target.Answers + a.Target.Broken))
			}
			if out == nil {
				out = map[string]transport.RolloutReport{}
			}
			out[name] = transport.RolloutReport{Order: s.trial.OrderNumber, Evidence: s.trial.seen, Proxies: 1, Stage: s.trial.Stage, AtBase: s.pool.BaseInflight()}
			s.trial.seen = nil
			s.trial.strata.Decay()
		}
		s.mu.Unlock()
	}
	return out
}

// arm draws which version a request goes to. A node that has not heard for a while
// of how the roll-out stands sends to the version in use.
func (s *service) arm(p *Plane, route int) loadbalance.VersionGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.pool.Versions().TargetShare
	if share <= 0 {
		return loadbalance.BaseVersion
	}
	s.trial.strata.RecordRequest(route)
	share = s.trial.strata.RouteShare(share, route)
	if share < 1 && rand.Float64() >= share || p.now()-time.Duration(p.heard.Load()) > p.timing.Lease {
		return loadbalance.BaseVersion
	}
	return loadbalance.TargetVersion
}

// elsewhere is where a request goes that an endpoint failed: from the version under
// trial to the one in use. sent tells that the endpoint may have got it; where it
// was not even reached and all should have moved, the version in use has been
// stopped and this node has not heard of it.
func (s *service) elsewhere(arm loadbalance.VersionGroup, sent bool) loadbalance.VersionGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	if arm == loadbalance.BaseVersion && !sent && s.trial.IsFinalStage() {
		return loadbalance.TargetVersion
	}
	return loadbalance.BaseVersion
}

// acquireArm picks an endpoint of the version drawn. Nobody waits for the one under
// trial while the other can be had.
func (s *service) acquireArm(p *Plane, r rank, wait time.Duration, skip func(*loadbalance.Endpoint) bool, arm *loadbalance.VersionGroup) (*loadbalance.Endpoint, *shelf) {
	if *arm == loadbalance.TargetVersion {
		s.mu.Lock()
		final, over := s.trial.IsFinalStage(), s.trial.State != rollout.InProgress
		s.mu.Unlock()
		if !final && !over {
			if e, sh := s.acquire(p, r, 0, skip); e != nil {
				return e, sh
			}
		}
		if !final {
			*arm = loadbalance.BaseVersion
		}
	}
	e, sh := s.acquire(p, r, wait, skip)
	if e != nil && *arm == loadbalance.TargetVersion {
		s.mu.Lock()
		*arm = e.VersionGroup // a roll-out may have ended meanwhile
		s.mu.Unlock()
	}
	return e, sh
}

// takes tells whether an endpoint takes a request that goes to a version. The
// caller has the service's lock.
func (s *service) takes(e *loadbalance.Endpoint, arm loadbalance.VersionGroup) bool {
	if arm == loadbalance.TargetVersion && s.trial.State == rollout.InProgress {
		return e.VersionGroup == loadbalance.TargetVersion && e.InRolloutSubset
	}
	return e.VersionGroup == loadbalance.BaseVersion
}

// watch notes how one attempt ends while a roll-out is under way. Nil notes
// nothing.
type watch struct {
	s     *service
	arm   loadbalance.VersionGroup
	order uint64
	route string
	// endpoint is where the attempt was made.
	endpoint string
	usual    time.Duration // 0: the attempt's time says nothing
	// late is set once the attempt has been noted as slow before its end.
	late  atomic.Bool
	timer *time.Timer
}

// watch begins to watch an attempt. One at the version under trial counts as slow
// when it is, not when it ends.
func (s *service) watch(p *Plane, q *request, e *loadbalance.Endpoint, arm loadbalance.VersionGroup) *watch {
	s.mu.Lock()
	trial, fresh := s.trial.Rollout, e.IsWarmingUp(p.now())
	s.mu.Unlock()
	if trial.State != rollout.InProgress {
		return nil
	}
	w := &watch{s: s, arm: arm, order: trial.OrderNumber, route: q.route.Name, endpoint: e.ID}
	if !fresh {
		w.usual = q.stats.ordinary()
	}
	if w.usual > 0 && arm == loadbalance.TargetVersion {
		w.timer = time.AfterFunc(rollout.SlowFactor*w.usual, func() {
			if w.late.CompareAndSwap(false, true) {
				w.note(rollout.Counts{Timed: 1, Slow: 1})
			}
		})
	}
	return w
}

// end stops watching: the attempt says nothing of the version.
func (w *watch) end() {
	if w != nil && w.timer != nil {
		w.timer.Stop()
	}
}

// broke notes an attempt that ended without an answer, unless it never reached the
// endpoint, or met a connection that had been forgotten there, or ran out of time.
func (w *watch) broke(o outcome, inTime bool) {
	w.end()
	if w != nil && o.at >= sentPart && !o.stale && inTime {
		w.note(rollout.Counts{Broken: 1})
	}
}

// answered notes an answer.
func (w *watch) answered(took time.Duration, ok bool) {
	w.end()
	if w == nil {
		return
	}
	c := rollout.Counts{Answers: 1}
	if !ok {
		c.Failed = 1
	} else if w.usual > 0 && !w.late.Swap(true) {
		c.Timed = 1
		if took > rollout.SlowFactor*w.usual {
			c.Slow = 1
		}
	}
	w.note(c)
}

func (w *watch) note(c rollout.Counts) {
	w.s.mu.Lock()
	defer w.s.mu.Unlock()
	t := &w.s.trial
	if t.OrderNumber != w.order || t.State != rollout.InProgress {
		return
	}
	if t.seen == nil {
		t.seen = rollout.Evidence{}
	}
	a := rollout.NewBaseCounts(c)
	if w.arm == loadbalance.TargetVersion {
		a = rollout.NewTargetCounts(w.endpoint, c)
	}
	t.seen.Add(rollout.Evidence{w.route: a})
}
