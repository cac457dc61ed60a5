package controlplane

import (
	"time"

	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/loadbalance"
	"lichentray/raft"
	"lichentray/registry"
)

// taskQueueLength bounds the tasks that wait for the event loop. Whoever posts one
// waits when it is full.
const taskQueueLength = 1024

// loopState is the state that belongs to the event loop: consensus, this node's
// leadership, and what the parts of the node keep there. Only loop tasks receive it,
// and none of them may keep it.
type loopState struct {
	raft *raft.Node
	// role and leaderID are those of the last call of Ready that was carried out.
	role     raft.Role
	leaderID uint64
	// leaderSince is when this node began to lead, if it does.
	leaderSince time.Duration
	// leaderChanged is closed, and made anew, when the role or the leader changes.
	leaderChanged chan struct{}
	// membershipIndex is the log index of the membership that the peer pool follows.
	membershipIndex uint64
	// periodicTasksAt is when the slower periodic tasks last ran.
	periodicTasksAt time.Duration

	// What the parts of the node keep in the loop. The types stand beside the parts.
	requests   pendingRequests
	leases     coordination.LeaseTimers
	snapshots  *snapshotter
	history    revisionHistory
	membership membershipSchedule

	// What is of use to a leader alone.
	liveness    endpointLiveness
	rollouts    rolloutAnalysis
	quotas      *loadbalance.QuotaAllocator
	proxyLeases proxyLeases
	zoneReturns map[string]zoneReturn
	nodeReports map[uint64]nodeReport
}

// newLoopState returns the state of a node that has just been restored.
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

// isLeader reports whether this node leads now.
func (s *loopState) isLeader() bool { return s.raft.Role() == raft.Leader }

// proposeWithoutWaiting appends a command if this node leads, for periodic tasks: they
// do not wait for the outcome and propose again if the command takes no effect.
func (s *loopState) proposeWithoutWaiting(cmd registry.Command) {
	s.raft.Propose(registry.EncodeCommand(cmd))
}

// eventLoop is an actor: one goroutine that runs tasks one at a time, in the order
// in which they were posted.
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

// post queues a task. It returns false, and the task never runs, when the node is
// closing; true does not promise that it runs.
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

// run executes tasks until the node closes. onTick runs at every tick, and flush
// once before the first task and after each batch of them.
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
			l.runWaiting(state)
		case <-tick.C:
			onTick(state)
		}
		flush(state)
	}
}

// runWaiting runs the tasks that are queued already, so that they share one flush
// and one sync of the disk.
func (l *eventLoop) runWaiting(state *loopState) {
	for {
		select {
		case task := <-l.tasks:
			task(state)
		default:
			return
		}
	}
}

// errStopping is the outcome of a call that the event loop no longer takes.
var errStopping = apierror.New(apierror.Unavailable, "node is stopping")

// callLoop runs f on the event loop and returns its result. With errStopping f has
// not run and never will.
func callLoop[T any](l *eventLoop, f func(*loopState) T) (T, error) {
	results := make(chan T, 1)
	var none T
	if !l.post(func(state *loopState) { results <- f(state) }) {
		return none, errStopping
	}
	select {
	case result := <-results:
		return result, nil
	case <-l.ended:
	}
	select {
	case result := <-results: // it was among the last tasks
		return result, nil
	default:
		return none, errStopping
	}
}
