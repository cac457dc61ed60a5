package controlplane

import (
	"errors"
	"strings"
	"sync"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/registry"
	"lichentray/rollout"
)

// rolloutController handles the orders to roll out a version and, on the leader, advances each
// rollout based on the evidence reported by all proxies. Every node sums the evidence from the
// proxies connected to it and reports the sum to the leader.
type rolloutController struct {
	*environment
	state    *sharedState
	proposer *proposer

	mu sync.Mutex
	// evidence is the evidence that proxies have reported to this node since its start.
	evidence rolloutEvidence
}

func newRolloutController(env *environment, state *sharedState, proposer *proposer) *rolloutController {
	return &rolloutController{
		environment: env,
		state:       state,
		proposer:    proposer,
		evidence:    rolloutEvidence{},
	}
}

// rolloutRecord is a service's rollout as last applied.
type rolloutRecord struct {
	rollout.Rollout
	revision uint64
	// appliedAt is when this node applied the revision.
	appliedAt time.Duration
}

// elapsed returns the time since the order: the elapsed time stored with the rollout plus the
// time since it was applied.
func (r *rolloutRecord) elapsed(now time.Duration) time.Duration {
	return now - r.appliedAt + time.Duration(r.ElapsedSeconds*float64(time.Second))
}

func serviceOfRollout(key string) string { return strings.TrimPrefix(key, registry.RolloutPrefix) }

// rolloutAnalysis is the state that the leader keeps for rollouts, keyed by service, see
// loopState.
type rolloutAnalysis struct {
	inProgress map[string]*rolloutProgress
	// reported is the combined progress of all proxies.
	reported map[string]transport.RolloutReport
}

// rolloutProgress is the state that the leader keeps for a rollout in progress.
type rolloutProgress struct {
	order    uint64
	analyzer *rollout.Analyzer
	// evidenceByNode is keyed by the incarnation of the reporting node. The evidence of a node
	// that has ended is kept.
	evidenceByNode map[uint64]rollout.Evidence
	stage          int
	// answersAtStageStart is the number of the target's answers when the stage was entered.
	answersAtStageStart int
	// proposedRevision is the revision that the last proposed step was based on.
	proposedRevision uint64
	proposedAt       time.Duration
}

func newRolloutProgress(order uint64) *rolloutProgress {
	return &rolloutProgress{
		order:          order,
		analyzer:       rollout.NewAnalyzer(),
		evidenceByNode: map[uint64]rollout.Evidence{},
		stage:          -1, // no stage entered yet
	}
}

// totalEvidence returns the sum of the evidence of all nodes.
func (p *rolloutProgress) totalEvidence() rollout.Evidence {
	total := rollout.Evidence{}
	for _, evidence := range p.evidenceByNode {
		total.Add(evidence)
	}
	return total
}

// rolloutEvidence is the evidence that proxies reported for each rollout, keyed by service.
type rolloutEvidence map[string]transport.RolloutReport

// add adds what one proxy observed since its last report. Evidence for an older order is
// discarded.
func (e rolloutEvidence) add(reports map[string]transport.RolloutReport) {
	for service, report := range reports {
		total := e[service]
		if report.Order < total.Order {
			continue
		}
		if report.Order > total.Order {
			total = transport.RolloutReport{Order: report.Order, Evidence: rollout.Evidence{}}
		}
		total.Evidence.Add(report.Evidence)
		e[service] = total
	}
}

// mergeRolloutProgress merges the progress of proxies: the lowest stage that any of them has
// applied, and the sum of their in-flight requests to the base version. A node without connected
// proxies may have evidence, but has no progress.
func mergeRolloutProgress(to, from map[string]transport.RolloutReport) {
	for service, report := range from {
		merged := to[service]
		switch {
		case report.Proxies == 0 || report.Order < merged.Order:
			continue
		case merged.Proxies == 0 || report.Order > merged.Order:
			merged = transport.RolloutReport{
				Order:   report.Order,
				Proxies: report.Proxies,
				Stage:   report.Stage,
				AtBase:  report.AtBase,
			}
		default:
			merged.Proxies += report.Proxies
			merged.Stage = min(merged.Stage, report.Stage)
			merged.AtBase += report.AtBase
		}
		to[service] = merged
	}
}

// becomeLeader discards the state of an earlier term of this node as leader. The nodes report
// again.
func (c *rolloutController) becomeLeader(state *loopState) {
	state.rollouts.inProgress = map[string]*rolloutProgress{}
}

// addEvidence adds what one proxy observed since its last report.
func (c *rolloutController) addEvidence(reports map[string]transport.RolloutReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evidence.add(reports)
}

// discardEnded discards the evidence of the rollouts that the events have ended.
func (c *rolloutController) discardEnded(state *loopState, events []registry.Event) {
	rollouts := c.state.onLoop(state).rollouts
	for _, e := range events {
		if strings.HasPrefix(e.Object.Key, registry.RolloutPrefix) {
			c.discardIfEnded(e.Object.Key, rollouts[e.Object.Key])
		}
	}
}

// discardAllEnded discards the evidence of all ended rollouts after the state was replaced by a
// snapshot.
func (c *rolloutController) discardAllEnded(state *loopState) {
	for key, record := range c.state.onLoop(state).rollouts {
		c.discardIfEnded(key, record)
	}
}

func (c *rolloutController) discardIfEnded(key string, record *rolloutRecord) {
	if record == nil || record.State == rollout.InProgress {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evidence, serviceOfRollout(key))
}

// addTotalEvidence adds the evidence since the node's start to the progress of this node's
// proxies, which completes this node's report.
func (c *rolloutController) addTotalEvidence(state *loopState, progress map[string]transport.RolloutReport) {
	rollouts := c.state.onLoop(state).rollouts
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, total := range c.evidence {
		if record := rollouts[registry.RolloutPrefix+service]; record != nil && record.supersedes(total.Order) {
			delete(c.evidence, service)
			continue
		}
		report := transport.RolloutReport{Order: total.Order, Evidence: total.Evidence.Clone()}
		if p := progress[service]; p.Order == total.Order {
			report.Proxies = p.Proxies
			report.Stage = p.Stage
			report.AtBase = p.AtBase
		}
		progress[service] = report
	}
}

// supersedes reports whether evidence for an order is no longer needed.
func (r *rolloutRecord) supersedes(order uint64) bool {
	return r.OrderNumber > order || (r.OrderNumber == order && r.State != rollout.InProgress)
}

// recordReports records the evidence reported by a node, which is cumulative since its start.
func (c *rolloutController) recordReports(state *loopState, incarnation uint64, reports map[string]transport.RolloutReport) {
	for service, report := range reports {
		progress := state.rollouts.inProgress[service]
		if progress == nil || progress.order < report.Order {
			progress = newRolloutProgress(report.Order)
			state.rollouts.inProgress[service] = progress
		}
		if progress.order == report.Order {
			progress.evidenceByNode[incarnation] = report.Evidence
		}
	}
}

// advance proposes the next step of each rollout for which the evidence requires one. Each step
// is conditional on the revision that was read, so that of two leaders, or of two steps, only one
// takes effect.
func (c *rolloutController) advance(state *loopState, now time.Duration) {
	if !state.raft.HasQuorumContact(c.timing.ElectionTimeout) || now-state.leaderSince < c.timing.ConnectionTimeout {
		return
	}
	replicated := c.state.onLoop(state)
	for key, record := range replicated.rollouts {
		if record.State != rollout.InProgress {
			continue
		}
		service := serviceOfRollout(key)
		progress := c.progressOf(state, service, record.OrderNumber)
		if progress == nil {
			continue
		}
		observation := c.observe(state, service, record, progress, now)
		c.proposeStep(state, key, record, progress, observation, now)
	}
	for service := range state.rollouts.inProgress {
		record := replicated.rollouts[registry.RolloutPrefix+service]
		if record == nil || record.State != rollout.InProgress {
			delete(state.rollouts.inProgress, service)
		}
	}
}

// progressOf returns the leader's state for a service's order, or nil if proxies have reported a
// newer order that this node has not yet applied.
func (c *rolloutController) progressOf(state *loopState, service string, order uint64) *rolloutProgress {
	progress := state.rollouts.inProgress[service]
	if progress == nil || progress.order < order {
		progress = newRolloutProgress(order)
		progress.evidenceByNode[c.incarnation] = nil
		state.rollouts.inProgress[service] = progress
	}
	if progress.order != order {
		return nil
	}
	return progress
}

// observe gathers the data that determines the next step of a rollout.
func (c *rolloutController) observe(state *loopState, service string, record *rolloutRecord, progress *rolloutProgress, now time.Duration) rollout.Observation {
	evidence := progress.totalEvidence()
	answers := evidence.TargetAnswers()
	if progress.stage != record.Stage {
		progress.stage = record.Stage
		progress.answersAtStageStart = answers
	}
	observation := rollout.Observation{
		Elapsed:            record.elapsed(now),
		StageElapsed:       now - record.appliedAt,
		AnalysisDelay:      c.timing.RolloutStagePause,
		PropagationDelay:   c.timing.RequestTimeout,
		TotalAnswers:       evidence.TotalAnswers(),
		TargetAnswers:      answers,
		StageTargetAnswers: answers - progress.answersAtStageStart,
	}
	targetEndpoints := addCapacities(&observation, c.state.onLoop(state), service, record)
	observation.Verdict = progress.analyzer.Analyze(evidence, targetEndpoints)
	report, isReported := state.rollouts.reported[service]
	observation.TrafficShifted = isReported && report.Proxies > 0 &&
		report.Order == record.OrderNumber && report.Stage == record.Stage && report.AtBase == 0
	return observation
}

// addCapacities adds the capacities of a service's endpoints to an observation, by version, and
// returns the number of endpoints of the target version.
func addCapacities(observation *rollout.Observation, replicated *replicatedState, service string, record *rolloutRecord) (targetEndpoints int) {
	for _, e := range replicated.endpoints {
		if e.Service != service || e.Draining {
			continue
		}
		switch e.Version {
		case record.Base:
			observation.BaseCapacity += e.Capacity
		case record.Target:
			observation.TargetCapacity += e.Capacity
			targetEndpoints++
		}
	}
	return targetEndpoints
}

// proposeStep proposes the next state of a rollout if it changes. A proposal whose outcome is
// still open is not repeated within an election timeout.
func (c *rolloutController) proposeStep(state *loopState, key string, record *rolloutRecord, progress *rolloutProgress, observation rollout.Observation, now time.Duration) {
	next, hasChanged := record.Advance(observation)
	if !hasChanged {
		return
	}
	if progress.proposedRevision == record.revision && now-progress.proposedAt < c.timing.ElectionTimeout {
		return
	}
	progress.proposedRevision = record.revision
	progress.proposedAt = now
	state.proposeWithoutWaiting(registry.Command{Txn: putIfUnchanged(key, record.revision, next.Encode())})
}

// addBaseVersion extends the transaction that registers a service's first endpoint, so that it
// records the endpoint's version as the one in use.
func (c *rolloutController) addBaseVersion(r *replicatedState, txn *registry.Txn, endpoint registry.Endpoint) {
	if !c.settings.HasRollouts() {
		return
	}
	key := registry.RolloutPrefix + endpoint.Service
	if _, isKnown := r.store.Get(key); isKnown {
		return
	}
	txn.If = append(txn.If, registry.Compare{Key: key})
	// The version is written before the endpoint, so that no proxy has the endpoint without it.
	write := registry.Write{Key: key, Value: rollout.Rollout{Base: endpoint.Version}.Encode()}
	txn.Then = append([]registry.Write{write}, txn.Then...)
}

var errRolloutsDisabled = apierror.New(apierror.NoRoute, "this deployment does not tell versions apart")

// begin handles an order to move a service's traffic to a version, see Node.BeginRollout.
func (c *rolloutController) begin(service, target string, deadline time.Duration) error {
	if !c.settings.HasRollouts() {
		return errRolloutsDisabled
	}
	if err := c.proposer.readIndex(c.timing.RequestTimeout); err != nil {
		return err
	}
	key := registry.RolloutPrefix + service
	wrote, err := c.proposer.transact(func(r *replicatedState) (*registry.Txn, error) {
		object, _ := r.store.Get(key)
		current, err := storedRollout(r, service, object)
		if err != nil {
			return nil, err
		}
		next, err := current.Start(target, deadline)
		var rejected rollout.RejectedError
		if errors.As(err, &rejected) {
			return nil, apierror.New(apierror.Conflict, "%s", rejected)
		}
		if next == current {
			return nil, nil
		}
		return putIfUnchanged(key, object.ModRevision, next.Encode()), nil
	})
	if wrote {
		c.logger.Info("rollout order acknowledged", "service", service, "target", target, "deadline", deadline.String())
	}
	return err
}

// storedRollout returns a service's stored rollout, or a zero value if there is none yet. It is
// an error if the service is not configured and has no rollout.
func storedRollout(r *replicatedState, service string, object registry.Object) (rollout.Rollout, error) {
	if object.ModRevision == 0 {
		if _, isKnown := r.cluster(service); !isKnown {
			return rollout.Rollout{}, apierror.New(apierror.BadRequest, "backend_service: %q is not known", service)
		}
		return rollout.Rollout{}, nil
	}
	stored, err := rollout.Decode(object.Value)
	if err != nil {
		return rollout.Rollout{}, apierror.New(apierror.Internal, "%v", err)
	}
	return stored, nil
}

// read returns a service's newest rollout, see Node.Rollout.
func (c *rolloutController) read(service string) (rollout.Rollout, error) {
	if !c.settings.HasRollouts() {
		return rollout.Rollout{}, errRolloutsDisabled
	}
	if err := c.proposer.readIndex(c.timing.RequestTimeout); err != nil {
		return rollout.Rollout{}, err
	}
	var record *rolloutRecord
	c.state.view(func(r *replicatedState) { record = r.rollouts[registry.RolloutPrefix+service] })
	if record == nil || record.State == "" {
		return rollout.Rollout{}, apierror.New(apierror.NotFound, "no roll-out of %q", service)
	}
	return record.Rollout, nil
}
