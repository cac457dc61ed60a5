package controlplane

import (
	"time"

	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/loadbalance"
	"lichentray/raft"
	"lichentray/registry"
)

// taskQueueLength is the maximum number of tasks that wait for the event loop. post blocks when
// the queue is full.
const taskQueueLength = 1024

// loopState is the state owned by the event loop: consensus, the leader state of this node, and
// the state that components keep there. Only loop tasks receive it, and they must not retain it.
type loopState struct {
	raft *raft.Node
	// role and leaderID are the values from the most recently processed Ready.
	role     raft.Role
	leaderID uint64
	// leaderSince is when this node became leader. It is meaningful only on the leader.
	leaderSince time.Duration
	// leaderChanged is closed and replaced when the role or the leader changes.
	leaderChanged chan struct{}
	// membershipIndex is the log index of the membership that the peer pool uses.
	membershipIndex uint64
	// periodicTasksAt is when the periodic tasks that do not run at every tick last ran.
	periodicTasksAt time.Duration

	// State of the components. Each type is declared in the file of its component.
	requests   pendingRequests
	leases     coordination.LeaseTimers
	snapshots  *snapshotter
	history    revisionHistory
	membership membershipSchedule

	// State that is used only on the leader.
	liveness    endpointLiveness
	rollouts    rolloutAnalysis
	quotas      *loadbalance.QuotaAllocator
	proxyLeases proxyLeases
	zoneReturns map[string]zoneReturn
	nodeReports map[uint64]nodeReport
}

// newLoopState returns the state of a node that was just restored from its store.
func newLoopState(node *raft.Node, snapshots *snapshotter, planner *membershipPlanner) *loopState {
	return &loopState{
		raft:            node,
		leaderChanged:   make(chan struct{}),
		membershipIndex: node.MembershipIndex(),
		requests:        newPendingRequests(),
		snapshots:       snapshots,
		membership:      membershipSchedule{planner: planner},
		liveness:        newEndpointLiveness(),
		rollouts:        rolloutAnalysis{inProgress: map[string]*rolloutProgress{}},
		proxyLeases:     proxyLeases{},
		zoneReturns:     map[string]zoneReturn{},
		nodeReports:     map[uint64]nodeReport{},
	}
}

// isLeader reports whether this node is currently the leader.
func (s *loopState) isLeader() bool { return s.raft.Role() == raft.Leader }

// proposeWithoutWaiting appends a command if this node is the leader. It is meant for periodic
// tasks, which do not wait for the outcome and propose again if the command takes no effect.
func (s *loopState) proposeWithoutWaiting(cmd registry.Command) {
	s.raft.Propose(registry.EncodeCommand(cmd))
}

// eventLoop runs tasks in a single goroutine, one at a time and in the order in which they were
// posted.
type eventLoop struct {
	env   *environment
	tasks chan func(*loopState)
	ended chan struct{} // closed after the last task
}

func newEventLoop(env *environment) *eventLoop {
	return &eventLoop{
		env:   env,
		tasks: make(chan func(*loopState), taskQueueLength),
		ended: make(chan struct{}),
	}
}

// post queues a task. It returns false if the node is closing; the task then never runs. A result
// of true does not guarantee that the task runs.
func (l *eventLoop) post(task func(*loopState)) bool {
	if l.env.ctx.Err() != nil {
		return false
	}
	select {
	case l.tasks <- task:
		return true
	case <-l.env.ctx.Done():
		return false
	}
}

// run executes tasks until the node closes. It calls onTick at every tick, and flush once before
// the first task and after each batch of tasks.
func (l *eventLoop) run(state *loopState, onTick, flush func(*loopState)) {
	defer close(l.ended)
	tick := time.NewTicker(l.env.timing.TickInterval)
	defer tick.Stop()
	flush(state)
	for {
		select {
		case <-l.env.ctx.Done():
			return
		case task := <-l.tasks:
			task(state)
			l.runQueued(state)
		case <-tick.C:
			onTick(state)
		}
		flush(state)
	}
}

// runQueued runs the tasks that are already queued, so that they share one flush and one disk
// sync.
func (l *eventLoop) runQueued(state *loopState) {
	for {
		select {
		case task := <-l.tasks:
			task(state)
		default:
			return
		}
	}
}

// errStopping is returned for calls that the event loop no longer accepts.
var errStopping = apierror.New(apierror.Unavailable, "node is stopping")

// callLoop runs f on the event loop and returns its result. If the error is errStopping, f has
// not run and never will.
func callLoop[T any](l *eventLoop, f func(*loopState) T) (T, error) {
	results := make(chan T, 1)
	var zero T
	if !l.post(func(state *loopState) { results <- f(state) }) {
		return zero, errStopping
	}
	select {
	case result := <-results:
		return result, nil
	case <-l.ended:
	}
	select {
	case result := <-results: // f was among the last tasks
		return result, nil
	default:
		return zero, errStopping
	}
}
