package controlplane

import (
	"time"

	"lichentray/internal/settings"
)

// Timing holds a node's timeouts and intervals. They derive from the settings alone, so that
// every node of a deployment uses the same values.
type Timing struct {
	// TickInterval is the resolution of the event loop's clock.
	TickInterval time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest election timeout (Raft, section 5.2).
	ElectionTimeout time.Duration
	// DeadMemberTimeout is how long no message may arrive from a member before it may be
	// replaced.
	DeadMemberTimeout time.Duration
	// ConnectionTimeout is how long a connection between processes may make no progress before
	// it is closed.
	ConnectionTimeout time.Duration
	// BookmarkInterval is the time between two bookmarks of a watch.
	BookmarkInterval time.Duration
	// RequestTimeout is the longest time that a caller waits for the outcome of a request.
	RequestTimeout time.Duration
	// WatchWindow is the maximum age of the events in the watch cache.
	WatchWindow time.Duration
	// EndpointTimeout is how long an endpoint may send no heartbeat before its health is
	// checked.
	EndpointTimeout time.Duration
	// ProxyLease is how long a proxy's registration stays valid after its last report.
	ProxyLease time.Duration
	// DirectoryTTL is how long a client may cache an answer of the directory.
	DirectoryTTL time.Duration
	// RolloutStagePause is how long a rollout stage runs before its results are first
	// analyzed.
	RolloutStagePause time.Duration
}

// maxRequestTimeout is the upper limit of Timing.RequestTimeout for deployments with a long
// acknowledgement timeout.
const maxRequestTimeout = 900 * time.Millisecond

// DeriveTiming computes a node's timing from its settings.
func DeriveTiming(s *settings.Settings) Timing {
	contact := s.Bounds.ContactWindow.Duration()
	return Timing{
		TickInterval:      contact / 150,
		HeartbeatInterval: contact / 50,
		ElectionTimeout:   contact / 10,
		DeadMemberTimeout: contact / 2,
		ConnectionTimeout: contact / 4,
		BookmarkInterval:  s.PropagationBound() / 10,
		RequestTimeout:    min(s.Bounds.AckTimeout.Duration()/5, maxRequestTimeout),
		WatchWindow:       5 * time.Minute,
		EndpointTimeout:   s.HeartbeatInterval.Duration()*2 + contact/6,
		ProxyLease:        contact / 4,
		DirectoryTTL:      s.Bounds.MaxTTL.Duration() / 4,
		RolloutStagePause: s.PropagationBound() / 2,
	}
}

// upToDateWindow is how long after its last quorum contact a node still counts as up to date:
// two election timeouts.
func (t Timing) upToDateWindow() time.Duration { return 2 * t.ElectionTimeout }

// callRejectionDelay is how long a node must have been without quorum contact before it rejects
// calls that need the leader without waiting for one: twice RequestTimeout.
func (t Timing) callRejectionDelay() time.Duration { return 2 * t.RequestTimeout }
