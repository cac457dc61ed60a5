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

// rollout is a service's versions as last applied, and since when they stand so by
// this node's steady clock.
type rolloutRecord struct {
	rollout.Rollout
	revision  uint64
	appliedAt time.Duration
}

// elapsed is how much of the order's time has passed.
func (r *rolloutRecord) elapsed(now time.Duration) time.Duration {
	return now - r.appliedAt + time.Duration(r.ElapsedSeconds*float64(time.Second))
}

// trialEvidence is what a node was told of each roll-out since its start, by service.
type trialEvidence map[string]transport.RolloutReport

// add takes what one proxy saw since its last report. The caller has the node's
// lock.
func (t trialEvidence) add(told map[string]transport.RolloutReport) {
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

// mergeTrialProgress sums where proxies stand: the least stage taken and all requests at the
// base. A node that no proxy follows any more has evidence, but nobody stands there.
func mergeTrialProgress(to, from map[string]transport.RolloutReport) {
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

// rolloutProgress is what the leader keeps of a roll-out under way.
type rolloutProgress struct {
	order               uint64
	judge               *rollout.Analyzer
	evidenceByNode      map[uint64]rollout.Evidence // by the life of the node that told it
	stage               int
	answersAtStageStart int // of the target when the stage was entered
	proposedRevision    uint64
	proposedAt          time.Duration
}

// recordTrials takes what a node was told since its start. What a node told that has
// ended since stays.
func (l *Node) recordTrials(life uint64, told map[string]transport.RolloutReport) {
	for service, t := range told {
		g := l.rolloutsInProgress[service]
		if g == nil || g.order < t.Order {
			g = &rolloutProgress{order: t.Order, judge: rollout.NewAnalyzer(), evidenceByNode: map[uint64]rollout.Evidence{}, stage: -1}
			l.rolloutsInProgress[service] = g
		}
		if g.order == t.Order {
			g.evidenceByNode[life] = t.Evidence
		}
	}
}

// advanceRollouts takes each roll-out one step further if the evidence says so. Each
// step is written under the condition that the state read still stands, so that
// of two leaders, or two steps, one holds.
func (l *Node) advanceRollouts(loop *loopState, now time.Duration) {
	if !loop.raft.HasQuorumContact(l.timing.ElectionTimeout) || now-loop.leaderSince < l.timing.ConnectionTimeout {
		return
	}
	for key, r := range l.rollouts {
		service := strings.TrimPrefix(key, registry.RolloutPrefix)
		if r.State != rollout.InProgress {
			continue
		}
		g := l.rolloutsInProgress[service]
		if g == nil || g.order != r.OrderNumber {
			l.recordTrials(l.incarnation, map[string]transport.RolloutReport{service: {Order: r.OrderNumber}})
			if g = l.rolloutsInProgress[service]; g.order != r.OrderNumber {
				continue // proxies know of an order that this node has still to apply
			}
		}
		sum := rollout.Evidence{}
		for _, e := range g.evidenceByNode {
			sum.Add(e)
		}
		answers := sum.TargetAnswers()
		if g.stage != r.Stage {
			g.stage, g.answersAtStageStart = r.Stage, answers
		}
		f := rollout.Observation{
			Elapsed: r.elapsed(now), StageElapsed: now - r.appliedAt, AnalysisDelay: l.timing.RolloutStagePause, PropagationDelay: l.timing.RequestTimeout,
			TotalAnswers: sum.TotalAnswers(), TargetAnswers: answers, StageTargetAnswers: answers - g.answersAtStageStart,
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
		t, told := l.trialProgress[service]
		f.TrafficShifted = told && t.Proxies > 0 && t.Order == r.OrderNumber && t.Stage == r.Stage && t.AtBase == 0
		next, changed := r.Advance(f)
		if !changed || g.proposedRevision == r.revision && now-g.proposedAt < l.timing.ElectionTimeout {
			continue
		}
		g.proposedRevision, g.proposedAt = r.revision, now
		loop.raft.Propose(registry.EncodeCommand(registry.Command{Txn: &registry.Txn{
			If:   []registry.Compare{{Key: key, ModRevision: r.revision}},
			Then: []registry.Write{{Key: key, Value: next.Encode()}},
		}}))
	}
	for service := range l.rolloutsInProgress {
		if r := l.rollouts[registry.RolloutPrefix+service]; r == nil || r.State != rollout.InProgress {
			delete(l.rolloutsInProgress, service)
		}
	}
}

// applyRolloutEvent takes a change of a service's versions. The caller has the node's
// lock.
func (l *Node) applyRolloutEvent(e registry.Event) {
	was := l.rollouts[e.Object.Key]
	if e.Type == registry.Deleted {
		delete(l.rollouts, e.Object.Key)
		return
	}
	r, err := rollout.Decode(e.Object.Value)
	if err != nil {
		l.logger.Error("roll-out cannot be read", "key", e.Object.Key, "error", err)
		return
	}
	l.rollouts[e.Object.Key] = &rolloutRecord{Rollout: r, revision: e.Object.ModRevision, appliedAt: l.now()}
	if r.State != "" && (was == nil || was.Rollout != r) {
		l.logger.Info("roll-out", "service", e.Object.Key[len(registry.RolloutPrefix):], "target", r.Target, "state", string(r.State), "stage", r.Stage, "spent_s", r.ElapsedSeconds, "why", r.Reason)
	}
	if r.State != rollout.InProgress {
		delete(l.trialEvidence, e.Object.Key[len(registry.RolloutPrefix):])
	}
}

// addBaseVersion lets the first endpoint of a service tell which version is in use. The
// caller has the node's lock.
func (l *Node) addBaseVersion(txn *registry.Txn, e registry.Endpoint) {
	if !l.settings.HasRollouts() {
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

var errRolloutsDisabled = apierror.New(apierror.NoRoute, "this deployment does not tell versions apart")

// BeginRollout takes an order to move a service's traffic to a version.
func (l *Node) BeginRollout(service, target string, deadline time.Duration) error {
	if !l.settings.HasRollouts() {
		return errRolloutsDisabled
	}
	if err := l.ReadIndex(); err != nil {
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
		} else if _, known := l.clusterConfig(service); !known {
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
		l.logger.Info("roll-out order acknowledged", "service", service, "target", target, "deadline", deadline.String())
	}
	return err
}

// Rollout reads how the newest order of a service stands.
func (l *Node) Rollout(service string) (rollout.Rollout, error) {
	if !l.settings.HasRollouts() {
		return rollout.Rollout{}, errRolloutsDisabled
	}
	if err := l.ReadIndex(); err != nil {
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
