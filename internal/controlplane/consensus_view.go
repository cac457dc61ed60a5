package controlplane

import (
	"sync"
	"time"

	"lichentray/raft"
)

// consensusStatus is what other goroutines need to know of the consensus state.
type consensusStatus struct {
	role       raft.Role
	leaderAddr string // internal address, empty if no leader is known
	// lastContact is raft.Node.LastQuorumContact: all that had been acknowledged
	// anywhere by then is applied here.
	lastContact time.Duration
	membership  raft.Membership
}

// consensusView holds the consensus state as the event loop last published it. Its
// methods may be called from any goroutine.
type consensusView struct {
	env    *environment
	mu     sync.RWMutex
	status consensusStatus
}

func (v *consensusView) publish(status consensusStatus) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status = status
}

func (v *consensusView) get() consensusStatus {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.status
}

// isUpToDate reports whether this node holds all that was acknowledged anywhere up
// to two election time-outs ago, so that others may count on it. A node that has
// not been in contact since its start is not up to date, however recent the start.
func (v *consensusView) isUpToDate() bool {
	lastContact := v.get().lastContact
	return lastContact != 0 && v.env.now()-lastContact <= v.env.timing.upToDateWindow()
}

// sinceLastContact is for how long this node has not been in contact with a majority
// or has not applied what the majority holds; at most the time since its start.
func (v *consensusView) sinceLastContact() time.Duration {
	return v.env.now() - v.get().lastContact
}
