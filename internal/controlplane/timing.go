package controlplane

import (
	"time"

	"lichentray/internal/settings"
)

// Timing holds a node's time-outs and intervals. All of them derive from the
// bounds in the settings, so that every node of a deployment uses the same.
type Timing struct {
	// TickInterval is the resolution of the event loop's clock.
	TickInterval time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest election time-out (Raft, section 5.2).
	ElectionTimeout time.Duration
	// DeadMemberTimeout is how long a member may go unheard before it may be replaced.
	DeadMemberTimeout time.Duration
	// ConnectionTimeout is how long a connection between processes may go without
	// progress before it is given up.
	ConnectionTimeout time.Duration
	// BookmarkInterval is the time between the bookmarks of a watch.
	BookmarkInterval time.Duration
	// RequestTimeout is the longest time that a caller waits for an outcome.
	RequestTimeout time.Duration
	// WatchWindow is how far back the watch cache reaches.
	WatchWindow time.Duration
	// EndpointTimeout is how long an endpoint may go without a heartbeat before its
	// health is checked.
	EndpointTimeout time.Duration
	// ProxyLease is how long a proxy's registration outlives its last report.
	ProxyLease time.Duration
	// DirectoryTTL is how long a client may keep an answer of the directory.
	DirectoryTTL time.Duration
	// RolloutStagePause is how long a stage of a roll-out lasts before its first
	// answers are analysed.
	RolloutStagePause time.Duration
}

// maxRequestTimeout bounds Timing.RequestTimeout where the bound on acknowledgements is
// long.
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

// upToDateWindow is how long after its last contact a node still vouches for what it
// holds: two election time-outs.
func (t Timing) upToDateWindow() time.Duration { return 2 * t.ElectionTimeout }

// callRejectionDelay is how long a node must have been out of contact to reject calls that
// need the leader without waiting for one: twice RequestTimeout.
func (t Timing) callRejectionDelay() time.Duration { return 2 * t.RequestTimeout }
