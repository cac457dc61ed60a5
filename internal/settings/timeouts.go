package settings

import "time"

// PropagationBound is the time within which a change must have reached every proxy:
//
//	min(drain_s, config_apply_s)
//
// The interval of the bookmarks on a stream to a proxy, and the time without a frame after which
// the stream counts as lost, are fractions of it.
func (s *Settings) PropagationBound() time.Duration {
	return min(s.Bounds.DrainApply.Duration(), s.Bounds.ConfigApply.Duration())
}

// RolloutLease is how long a proxy goes on sending requests to the target version without a bookmark
// from a control-plane node that is up to date:
//
//	max(PropagationBound / 2, rollback_s / 5)
func (s *Settings) RolloutLease() time.Duration {
	return max(s.PropagationBound()/2, s.Bounds.RolloutRollback.Duration()/5)
}

// QuotaGrantLifetime is how long a share of an endpoint in slow start is valid:
//
//	contact_s * 2 / 3
//
// The proxy counts it from the sending of the report that the grant answers, the leader from the
// later moment of granting, so that a share is not granted again while it may be in use.
func (s *Settings) QuotaGrantLifetime() time.Duration {
	return s.Bounds.ContactWindow.Duration() * 2 / 3
}
