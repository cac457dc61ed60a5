package proxy

import (
	"time"

	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
	"lichentray/rollout"
)

// rolloutState is a service's rollout as stored in the registry, and this node's evidence on its
// versions since the last report.
type rolloutState struct {
	rollout.Rollout
	evidence rollout.Evidence
	// strata splits requests among the versions by route, based on recent requests.
	strata rollout.StratifiedSplit
}

// applyRollout applies a service's rollout from the registry.
func (p *Proxy) applyRollout(name string, o registry.Object) {
	r, err := rollout.Decode(o.Value)
	if err != nil {
		p.log.Error("cannot decode rollout; keeping the current one", "key", o.Key, "error", err)
		return
	}
	p.setRollout(p.ensureService(name), r)
}

// setRollout sets a service's rollout and logs a change of its state.
func (p *Proxy) setRollout(s *service, r rollout.Rollout) {
	previous := s.setRollout(r)
	if r.State != previous && r.State != "" {
		p.log.Info("rollout state changed", "service", s.name, "target", r.Target, "state", string(r.State))
	}
}

// setRollout sets the service's rollout and returns the state of the previous one.
func (s *service) setRollout(r rollout.Rollout) rollout.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.rollout.Rollout
	s.rollout.Rollout = r
	if previous.OrderNumber != r.OrderNumber || r.State != rollout.InProgress {
		s.rollout.evidence = nil
	}
	s.pool.SetVersions(loadbalance.Versions{
		Known:       r.Base != "" || r.OrderNumber > 0,
		Base:        r.Base,
		Target:      r.Target,
		TargetShare: r.TrafficShare(),
	})
	s.queue.wakeFirst()
	return previous.State
}

// rolloutReports returns this node's reports on the rollouts in progress, by service, since the
// last call. It returns nil if there are none.
func (p *Proxy) rolloutReports() map[string]transport.RolloutReport {
	if !p.settings.HasRollouts() {
		return nil
	}
	var out map[string]transport.RolloutReport
	for name, s := range p.services {
		report, isInProgress := p.takeRolloutReport(s)
		if !isInProgress {
			continue
		}
		if out == nil {
			out = map[string]transport.RolloutReport{}
		}
		out[name] = report
	}
	return out
}

// takeRolloutReport returns a service's report and resets its evidence for the next one.
func (p *Proxy) takeRolloutReport(s *service) (report transport.RolloutReport, isInProgress bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.metrics.Counter("endpoints_excluded", "service", s.name).Set(int64(s.pool.ExcludedCount()))
	if s.rollout.State != rollout.InProgress {
		return transport.RolloutReport{}, false
	}
	for _, counts := range s.rollout.evidence {
		p.countRolloutRequests(s.name, "base", counts.Base)
		p.countRolloutRequests(s.name, "target", counts.Target)
	}
	report = transport.RolloutReport{
		Order:    s.rollout.OrderNumber,
		Evidence: s.rollout.evidence,
		Proxies:  1,
		Stage:    s.rollout.Stage,
		AtBase:   s.pool.BaseInflight(),
	}
	s.rollout.evidence = nil
	s.rollout.strata.Decay()
	return report, true
}

// countRolloutRequests adds the attempts on one version to the metrics.
func (p *Proxy) countRolloutRequests(service, version string, counts rollout.Counts) {
	c := p.metrics.Counter("rollout_requests_total", "service", service, "version", version)
	c.Add(int64(counts.Answers + counts.Broken))
}

// drawVersionGroup randomly selects a request's version group, by the target version's share. A
// node that has received no bookmark for longer than rolloutLease selects the base version, as the
// rollout may have ended.
func (s *service) drawVersionGroup(p *Proxy, route int) loadbalance.VersionGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := s.pool.Versions().TargetShare
	if share <= 0 {
		return loadbalance.BaseVersion
	}
	s.rollout.strata.RecordRequest(route)
	share = s.rollout.strata.RouteShare(share, route)
	if share < 1 && p.random() >= share {
		return loadbalance.BaseVersion
	}
	if p.now()-time.Duration(p.lastBookmarkAt.Load()) > p.timeouts.rolloutLease {
		return loadbalance.BaseVersion
	}
	return loadbalance.TargetVersion
}

// retryVersionGroup returns the version group for a retry after a failed attempt on the given
// group. This is the base version, except if a base endpoint could not be reached in the final
// stage, when all traffic should have moved: then the base version has been stopped, and the
// removal of its endpoints has not reached this node yet. mayHaveArrived is true if the endpoint
// may have received the request.
func (s *service) retryVersionGroup(group loadbalance.VersionGroup, mayHaveArrived bool) loadbalance.VersionGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	if group == loadbalance.BaseVersion && !mayHaveArrived && s.rollout.IsFinalStage() {
		return loadbalance.TargetVersion
	}
	return loadbalance.BaseVersion
}

// acquireForGroup reserves an endpoint of a version group for which skip returns false, as
// acquireEndpoint does. Unless the rollout is in its final stage, no request waits for the target
// version, but falls back to the base version. So the returned attemptTarget may be of the other
// group; it may also have no endpoint.
func (s *service) acquireForGroup(p *Proxy, rank queueRank, wait queueWait, group loadbalance.VersionGroup, skip func(*loadbalance.Endpoint) bool) attemptTarget {
	skipForGroup := func(e *loadbalance.Endpoint) bool { return !s.accepts(e, group) || skip(e) }
	if group == loadbalance.TargetVersion {
		isFinal, isInProgress := s.rolloutStage()
		if !isFinal && isInProgress {
			if e, conns := s.acquireEndpoint(p, rank, queueWait{}, skipForGroup); e != nil {
				return attemptTarget{endpoint: e, conns: conns, group: group}
			}
		}
		if !isFinal {
			group = loadbalance.BaseVersion
		}
	}
	e, conns := s.acquireEndpoint(p, rank, wait, skipForGroup)
	if e != nil && group == loadbalance.TargetVersion {
		group = s.versionGroupOf(e) // the rollout may have ended during the wait
	}
	return attemptTarget{endpoint: e, conns: conns, group: group}
}

// rolloutStage reports whether the rollout is in its final stage, and whether it is in progress.
func (s *service) rolloutStage() (isFinal, isInProgress bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rollout.IsFinalStage(), s.rollout.State == rollout.InProgress
}

// versionGroupOf returns the version group of an endpoint.
func (s *service) versionGroupOf(e *loadbalance.Endpoint) loadbalance.VersionGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return e.VersionGroup
}

// accepts reports whether an endpoint can receive requests of a version group. The caller must hold
// s.mu.
func (s *service) accepts(e *loadbalance.Endpoint, group loadbalance.VersionGroup) bool {
	if group == loadbalance.TargetVersion && s.rollout.State == rollout.InProgress {
		return e.VersionGroup == loadbalance.TargetVersion && e.InRolloutSubset
	}
	return e.VersionGroup == loadbalance.BaseVersion
}
