package settings

import "time"

// PropagationBound returns the time within which a change must have reached every proxy:
//
//	min(drain_s, config_apply_s)
//
// The interval of the bookmarks on a stream to a proxy, and the time without a frame after which
// the stream is considered lost, are fractions of it.
func (s *Settings) PropagationBound() time.Duration {
	return min(s.Bounds.DrainPropagation.Duration(), s.Bounds.ConfigPropagation.Duration())
}

// RolloutLease returns how long a proxy continues to send requests to the target version without a
// bookmark from an up-to-date control-plane node:
//
//	max(PropagationBound / 2, rollback_s / 5)
func (s *Settings) RolloutLease() time.Duration {
	return max(s.PropagationBound()/2, s.Bounds.RolloutRollback.Duration()/5)
}

// QuotaGrantLifetime returns how long a grant for an endpoint in slow start is valid:
//
//	contact_s * 2 / 3
//
// The proxy measures the lifetime from the time at which it sent the report that the grant answers,
// and the leader from the later time at which it made the grant, so that the leader does not grant a
// share again while it may still be in use.
func (s *Settings) QuotaGrantLifetime() time.Duration {
	return s.Bounds.ContactWindow.Duration() * 2 / 3
}
