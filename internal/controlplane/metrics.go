package controlplane

import "lichentray/internal/metrics"

// nodeMetrics holds the counters of a node. Counters in fields are exported from the start. The
// others are exported once they have counted something, so that deployments without the feature
// do not export them.
type nodeMetrics struct {
	registry *metrics.Registry

	proposals        *metrics.Counter
	proposalsUnknown *metrics.Counter // outcome not known to the caller
	// proposalsDeferred counts the proposals attempted before the group had formed, see
	// formation.
	proposalsDeferred *metrics.Counter
	readsUnconfirmed  *metrics.Counter
	elections         *metrics.Counter // won by this node
	diskSyncs         *metrics.Counter
	diskSyncMicros    *metrics.Counter
	diskFailures      *metrics.Counter
	rejectedPeers     *metrics.Counter
	lists             *metrics.Counter
	listsEncoded      *metrics.Counter
	listsRedirected   *metrics.Counter
	eventsEncoded     *metrics.Counter
	configsDeferred   *metrics.Counter
	configConflicts   *metrics.Counter
	heartbeats        *metrics.Counter
	watchesAbandoned  *metrics.Counter // by their callers
	endpointsRemoved  *metrics.Counter
	appliedIndex      *metrics.Counter // a gauge
	// lockReacquisitions counts acquisitions by a caller that already held the lock, and
	// releasesWithheld the releases that were acknowledged without freeing the lock.
	lockReacquisitions *metrics.Counter
	releasesWithheld   *metrics.Counter
	// reacquiredLocksReleased counts violations of the invariant that a release never frees a
	// lock that its holder has acquired again: the release may have been sent before the later
	// acquisition.
	reacquiredLocksReleased *metrics.Counter
}

func newNodeMetrics(r *metrics.Registry) *nodeMetrics {
	return &nodeMetrics{
		registry:         r,
		proposals:        r.Counter("proposals_total"),
		proposalsUnknown: r.Counter("proposals_unknown_total"),
		readsUnconfirmed: r.Counter("reads_unconfirmed_total"),
		elections:        r.Counter("elections_total"),
		diskSyncs:        r.Counter("disk_syncs_total"),
		diskSyncMicros:   r.Counter("disk_sync_microseconds_total"),
		diskFailures:     r.Counter("disk_failures_total"),
		rejectedPeers:    r.Counter("rejected_peers_total"),
		lists:            r.Counter("watch_lists_total"),
		listsEncoded:     r.Counter("watch_lists_encoded_total"),
		listsRedirected:  r.Counter("watch_lists_redirected_total"),
		eventsEncoded:    r.Counter("watch_events_encoded_total"),
		configsDeferred:  r.Counter("configurations_deferred_total"),
		configConflicts:  r.Counter("configuration_conflicts_total"),
		heartbeats:       r.Counter("heartbeats_total"),
		watchesAbandoned: r.Counter("group_watches_abandoned_total"),
		endpointsRemoved: r.Counter("endpoints_removed_total"),
		appliedIndex:     r.Counter("applied_index"),

		proposalsDeferred:       r.Counter("proposals_deferred_total"),
		lockReacquisitions:      r.Counter("lock_reacquisitions_total"),
		releasesWithheld:        r.Counter("lock_releases_withheld_total"),
		reacquiredLocksReleased: r.Counter("invariant_violations_total", "invariant", "reacquired_lock_is_not_released"),
	}
}

func (m *nodeMetrics) healthChecks() *metrics.Counter {
	return m.registry.Counter("health_checks_total")
}

func (m *nodeMetrics) proxiesRemoved() *metrics.Counter {
	return m.registry.Counter("proxies_removed_total")
}

func (m *nodeMetrics) auditBatches() *metrics.Counter {
	return m.registry.Counter("audit_batches_total")
}

func (m *nodeMetrics) auditBatchesDeferred() *metrics.Counter {
	return m.registry.Counter("audit_batches_deferred_total")
}
