package proxy

import "lichentray/internal/metrics"

// counters holds the node's counters and gauges without labels.
type counters struct {
	requests             *metrics.Counter
	rejections           *metrics.Counter
	retries              *metrics.Counter
	retryBudgetExhausted *metrics.Counter
	ejections            *metrics.Counter
	invalidResponses     *metrics.Counter
	dialFailures         *metrics.Counter
	staleConnections     *metrics.Counter
	streamsLost          *metrics.Counter
	lists                *metrics.Counter
	watches              *metrics.Counter
	searchesFailed       *metrics.Counter
	registryRevision     *metrics.Counter
	configVersion        *metrics.Counter
}

func newCounters(r *metrics.Registry) counters {
	return counters{
		requests:             r.Counter("requests_total"),
		rejections:           r.Counter("requests_rejected_total"),
		retries:              r.Counter("retries_total"),
		retryBudgetExhausted: r.Counter("retry_budget_exhausted_total"),
		ejections:            r.Counter("ejections_total"),
		invalidResponses:     r.Counter("endpoint_invalid_responses_total"),
		dialFailures:         r.Counter("endpoint_dial_failures_total"),
		staleConnections:     r.Counter("endpoint_stale_connections_total"),
		streamsLost:          r.Counter("watch_streams_lost_total"),
		lists:                r.Counter("watch_streams_listed_total"),
		watches:              r.Counter("watch_streams_resumed_total"),
		searchesFailed:       r.Counter("control_plane_searches_failed_total"),
		registryRevision:     r.Counter("registry_revision"),
		configVersion:        r.Counter("config_version"),
	}
}
