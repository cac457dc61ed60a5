package proxy

import (
	"time"

	"lichentray/internal/settings"
)

// timeouts are the durations that this node works with. All are derived from the bounds
// of the settings, here and nowhere else.
type timeouts struct {
	// dial bounds connecting to an endpoint.
	dial time.Duration
	// unacknowledged is how long bytes sent to an endpoint may stay unacknowledged
	// (TCP_USER_TIMEOUT).
	unacknowledged time.Duration
	// defaultKeepAlive is how long a connection is kept idle whose endpoint names no time.
	defaultKeepAlive time.Duration

	// streamSilence is how long a stream of the control plane may be silent before another
	// is sought.
	streamSilence time.Duration
	// openHedgeDelay is how long a control-plane node may take to answer a list before
	// another is asked as well.
	openHedgeDelay time.Duration
	// openStream bounds the wait for that answer.
	openStream time.Duration
	// reportInterval is the time between two reports to the control plane.
	reportInterval time.Duration
	// minRateSpan is the shortest time over which a rate of requests is measured.
	minRateSpan time.Duration
	// feedbackValidity is how long sums and verdicts over all proxies stay valid.
	feedbackValidity time.Duration

	// ejectionBase and ejectionMax bound how long an endpoint is ejected.
	ejectionBase time.Duration
	ejectionMax  time.Duration
	// rolloutLease is how long this node sends to a target version without a bookmark
	// that confirms the roll-out.
	rolloutLease time.Duration
	// slowStartGrant is how long a quota share of a warming-up endpoint is valid, from the
	// report that it answers.
	slowStartGrant time.Duration
}

// deriveTimeouts derives the durations from the bounds.
func deriveTimeouts(s *settings.Settings) timeouts {
	contact := s.Bounds.ContactWindow.Duration()
	propagation := s.PropagationBound()
	silence := propagation * 3 / 10
	return timeouts{
		dial:             contact / 20,
		unacknowledged:   contact / 6,
		defaultKeepAlive: contact,
		streamSilence:    silence,
		openHedgeDelay:   propagation / 4,
		openStream:       contact / 2,
		reportInterval:   2 * silence / 3,
		minRateSpan:      silence / 3,
		feedbackValidity: 8 * silence / 3,
		ejectionBase:     contact / 6,
		ejectionMax:      contact,
		rolloutLease:     s.RolloutLease(),
		slowStartGrant:   s.QuotaGrantLifetime(),
	}
}
