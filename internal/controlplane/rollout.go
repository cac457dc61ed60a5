package controlplane

import (
	"errors"
	"strings"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/registry"
	"lichentray/rollout"
)

// rolloutRecord is a service's versions as last applied, and since when they stand so by
// this node's steady clock.
type rolloutRecord struct {
	rollout.Rollout
	revision uint64
	at       time.Duration
}

// spent is how much of the order's time has passed.
func (r *rolloutRecord) spent(now time.Duration) time.Duration {
	return now - r.at + time.Duration(r.ElapsedSeconds*float64(time.Second))
}

// tryOuts is what a node was told of each roll-out since its start, by service.
type tryOuts map[string]transport.RolloutReport

// add takes what one proxy saw since its last report. The caller has the node's
// lock.
func (t tryOuts) add(told map[string]transport.RolloutReport) {
	for service, n := range told {
		x := t[service]
		if n.Order < x.Order {
			continue
		}
		if n.Order > x.Order {
			x = transport.RolloutReport{Order: n.Order, Evidence: rollout.Evidence{}}
		}
		x.Evidence.Add(n.Evidence)
		t[service] = x
	}
}

// gauge sums where proxies stand: the least stage taken and all requests at the
// base. A node that no proxy follows any more has evidence, but nobody stands there.
func gauge(to, from map[string]transport.RolloutReport) {
	for service, n := range from {
		x := to[service]
		switch {
		case n.Proxies == 0 || n.Order < x.Order:
		case x.Proxies == 0 || n.Order > x.Order:
			to[service] = transport.RolloutReport{Order: n.Order, Proxies: n.Proxies, Stage: n.Stage, AtBase: n.AtBase}
		default:
			x.Proxies, x.Stage, x.AtBase = x.Proxies+n.Proxies, min(x.Stage, n.Stage), x.AtBase+n.AtBase
			to[service] = x
		}
	}
}

// guide is what the leader keeps of a roll-out under way.
type guide struct {
	order   uint64
	judge   *rollout.Analyzer
	by      map[uint64]rollout.Evidence // by the life of the node that told it
	stage   int
	answers int // of the target when the stage was entered
	asked   uint64
	askedAt time.Duration
}

// takeTrials takes what a node was told since its start. What a node told that has
// ended since stays.
func (l *Lathe) takeTrials(life uint64, told map[string]transport.RolloutReport) {
	for service, t := range told {
		g := l.guides[service]
		if g == nil || g.order < t.Order {
			g = &guide{order: t.Order, judge: rollout.NewAnalyzer(), by: map[uint64]rollout.Evidence{}, stage: -1}
			l.guides[service] = g
		}
		if g.order == t.Order {
			g.by[life] = t.Evidence
		}
	}
}

// guideRollouts takes each roll-out one step further if the evidence says so. Each
// step is written under the condition that the state read still stands, so that
// of two leaders, or two steps, one holds.
func (l *Lathe) guideRollouts(now time.Duration) {
	if !l.node.HasQuorumContact(l.timing.Election) || now-l.leadSince < l.timing.Silence {
		return
	}
	for key, r := range l.rollouts {
		service := strings.TrimPrefix(key, registry.RolloutPrefix)
		if r.State != rollout.InProgress {
			continue
		}
		g := l.guides[service]
		if g == nil || g.order != r.OrderNumber {
			l.takeTrials(l.life, map[string]transport.RolloutReport{service: {Order: r.OrderNumber}})
			if g = l.guides[service]; g.order != r.OrderNumber {
				continue // proxies know of an order that this node has still to apply
			}
		}
		sum := rollout.Evidence{}
		for _, e := range g.by {
			sum.Add(e)
		}
		answers := sum.TargetAnswers()
		if g.stage != r.Stage {
			g.stage, g.answers = r.Stage, answers
		}
		f := rollout.Observation{
			Elapsed: r.spent(now), StageElapsed: now - r.at, AnalysisDelay: l.timing.Pause, PropagationDelay: l.timing.Answer,
			TotalAnswers: sum.TotalAnswers(), TargetAnswers: answers, StageTargetAnswers: answers - g.answers,
		}
		endpoints := 0
		for _, e := range l.endpoints {
			if e.Service != service || e.Draining {
				continue
			}
			switch e.Version {
			case r.Base:
				f.BaseCapacity += e.Capacity
			case r.Target:
				f.TargetCapacity += e.Capacity
				endpoints++
			}
		}
		f.Verdict = g.judge.Analyze(sum, endpoints)
		t, told := l.trials[service]
		f.TrafficShifted = told && t.Proxies > 0 && t.Order == r.OrderNumber && t.Stage == r.Stage && t.AtBase == 0
		next, changed := r.Advance(f)
		if !changed || g.asked == r.revision && now-g.askedAt < l.timing.Election {
			continue
		}
		g.asked, g.askedAt = r.revision, now
		l.node.Propose(registry.EncodeCommand(registry.Command{Txn: &registry.Txn{
			If:   []registry.Compare{{Key: key, ModRevision: r.revision}},
			Then: []registry.Write{{Key: key, Value: next.Encode()}},
		}}))
	}
	for service := range l.guides {
		if r := l.rollouts[registry.RolloutPrefix+service]; r == nil || r.State != rollout.InProgress {
			delete(l.guides, service)
		}
	}
}

// noteRollout takes a change of a service's versions. The caller has the node's
// lock.
func (l *Lathe) noteRollout(e registry.Event) {
	was := l.rollouts[e.Object.Key]
	if e.Type == registry.Deleted {
		delete(l.rollouts, e.Object.Key)
		return
	}
	r, err := rollout.Decode(e.Object.Value)
	if err != nil {
		l.log.Error("roll-out cannot be read", "key", e.Object.Key, "error", err)
		return
	}
	l.rollouts[e.Object.Key] = &rolloutRecord{Rollout: r, revision: e.Object.ModRevision, at: l.now()}
	if r.State != "" && (was == nil || was.Rollout != r) {
		l.log.Info("roll-out", "service", e.Object.Key[len(registry.RolloutPrefix):], "target", r.Target, "state", string(r.State), "stage", r.Stage, "spent_s", r.ElapsedSeconds, "why", r.Reason)
	}
	if r.State != rollout.InProgress {
		delete(l.tryOuts, e.Object.Key[len(registry.RolloutPrefix):])
	}
}

// nameBase lets the first endpoint of a service tell which version is in use. The
// caller has the node's lock.
func (l *Lathe) nameBase(txn *registry.Txn, e registry.Endpoint) {
	if !l.set.HasRollouts() {
		return
	}
	key := registry.RolloutPrefix + e.Service
	if _, known := l.store.Get(key); known {
		return
	}
	txn.If = append(txn.If, registry.Compare{Key: key})
	// Before the endpoint, so that no proxy holds it without.
	txn.Then = append([]registry.Write{{Key: key, Value: rollout.Rollout{Base: e.Version}.Encode()}}, txn.Then...)
}

var errNoRollouts = apierror.New(apierror.NoRoute, "this deployment does not tell versions apart")

// BeginRollout takes an order to move a service's traffic to a version.
func (l *Lathe) BeginRollout(service, target string, deadline time.Duration) error {
	if !l.set.HasRollouts() {
		return errNoRollouts
	}
	if err := l.ReadPoint(); err != nil {
		return err
	}
	key := registry.RolloutPrefix + service
	wrote, err := l.transact(func() (*registry.Txn, error) {
		o, _ := l.store.Get(key)
		var was rollout.Rollout
		if o.ModRevision > 0 {
			var err error
			if was, err = rollout.Decode(o.Value); err != nil {
				return nil, apierror.New(apierror.Internal, "%v", err)
			}
		} else if _, known := l.cluster(service); !known {
			return nil, apierror.New(apierror.BadRequest, "backend_service: %q is not known", service)
		}
		next, err := was.Start(target, deadline)
		var refused rollout.RejectedError
		if errors.As(err, &refused) {
			return nil, apierror.New(apierror.Conflict, "%s", refused)
		}
		if next == was {
			return nil, nil
		}
		return &registry.Txn{
			If:   []registry.Compare{{Key: key, ModRevision: o.ModRevision}},
			Then: []registry.Write{{Key: key, Value: next.Encode()}},
		}, nil
	})
	if wrote {
		l.log.Info("roll-out order acknowledged", "service", service, "target", target, "deadline", deadline.String())
	}
	return err
}

// Rollout reads how the newest order of a service stands.
func (l *Lathe) Rollout(service string) (rollout.Rollout, error) {
	if !l.set.HasRollouts() {
		return rollout.Rollout{}, errNoRollouts
	}
	if err := l.ReadPoint(); err != nil {
		return rollout.Rollout{}, err
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	r := l.rollouts[registry.RolloutPrefix+service]
	if r == nil || r.State == "" {
		return rollout.Rollout{}, apierror.New(apierror.NotFound, "no roll-out of %q", service)
	}
	return r.Rollout, nil
}
