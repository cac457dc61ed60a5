package proxy

import (
	"time"

	"lichentray/internal/settings"
)

// timeouts holds the durations that this node uses. All of them are derived from the settings, by
// deriveTimeouts.
type timeouts struct {
	// dial is the timeout for connecting to an endpoint. It is also the unit of retry intervals and
	// other short waits.
	dial time.Duration
	// tcpUserTimeout is how long data sent to an endpoint may remain unacknowledged
	// (TCP_USER_TIMEOUT).
	tcpUserTimeout time.Duration
	// defaultKeepAlive is the idle timeout of a connection if the endpoint does not set one.
	defaultKeepAlive time.Duration

	// maxStreamSilence is how long a control-plane stream may be silent before another is searched
	// for.
	maxStreamSilence time.Duration
	// openHedgeDelay is how long a control-plane node may take to respond to a list request before
	// another node is tried concurrently. For a watch request, it is half as long.
	openHedgeDelay time.Duration
	// openStream is the timeout for the response that opens a stream, and for connecting to the node
	// if a watch is requested.
	openStream time.Duration
	// reportInterval is the interval between reports to the control plane.
	reportInterval time.Duration
	// minRateSpan is the minimum time over which a request rate is measured.
	minRateSpan time.Duration
	// feedbackValidity is how long the totals and verdicts from the reports of all proxies remain
	// valid.
	feedbackValidity time.Duration

	// ejectionBase and ejectionMax are the base and the maximum duration of an endpoint's ejection.
	ejectionBase time.Duration
	ejectionMax  time.Duration
	// rolloutLease is how long this node sends requests to a target version without receiving a
	// bookmark that confirms the rollout.
	rolloutLease time.Duration
	// quotaGrantLifetime is how long a quota grant for an endpoint that is warming up is valid, from
	// the report that the grant responds to.
	quotaGrantLifetime time.Duration
}

// deriveTimeouts derives the durations from the settings.
func deriveTimeouts(s *settings.Settings) timeouts {
	contact := s.Bounds.ContactWindow.Duration()
	propagation := s.PropagationBound()
	silence := propagation * 3 / 10
	return timeouts{
		dial:               contact / 20,
		tcpUserTimeout:     contact / 6,
		defaultKeepAlive:   contact,
		maxStreamSilence:   silence,
		openHedgeDelay:     propagation / 4,
		openStream:         contact / 2,
		reportInterval:     2 * silence / 3,
		minRateSpan:        silence / 3,
		feedbackValidity:   8 * silence / 3,
		ejectionBase:       contact / 6,
		ejectionMax:        contact,
		rolloutLease:       s.RolloutLease(),
		quotaGrantLifetime: s.QuotaGrantLifetime(),
	}
}
