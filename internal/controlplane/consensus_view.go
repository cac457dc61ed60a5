package controlplane

import (
	"sync"
	"time"

	"lichentray/raft"
)

// consensusStatus is the part of the consensus state that other goroutines need.
type consensusStatus struct {
	role       raft.Role
	leaderAddr string // internal address, empty if no leader is known
	// lastContact is raft.Node.LastQuorumContact: everything acknowledged by any node before
	// then is applied on this node.
	lastContact time.Duration
	membership  raft.Membership
}

// consensusView holds the consensus state most recently published by the event loop. Its
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

// isUpToDate reports whether this node holds everything that any node had acknowledged two
// election timeouts ago, so that clients may rely on its state. A node that has had no quorum
// contact since its start is not up to date, however recent the start is.
func (v *consensusView) isUpToDate() bool {
	lastContact := v.get().lastContact
	return lastContact != 0 && v.env.now()-lastContact <= v.env.timing.upToDateWindow()
}

// sinceLastContact returns how long this node has had no quorum contact or has not applied
// everything that the majority holds. It is at most the time since the node's start.
func (v *consensusView) sinceLastContact() time.Duration {
	return v.env.now() - v.get().lastContact
}
