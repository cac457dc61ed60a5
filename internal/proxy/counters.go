package proxy

import "lichentray/internal/metrics"

// counters are the node's counters that have no labels.
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
	registryRevision     *metrics.Counter
	configVersion        *metrics.Counter
}

func newCounters(r *metrics.Registry) counters {
	return counters{
		requests:             r.Counter("requests_total"),
		rejections:           r.Counter("refused_total"),
		retries:              r.Counter("retries_total"),
		retryBudgetExhausted: r.Counter("retry_budget_refused_total"),
		ejections:            r.Counter("ejections_total"),
		invalidResponses:     r.Counter("endpoint_bad_answers_total"),
		dialFailures:         r.Counter("endpoint_dial_failures_total"),
		staleConnections:     r.Counter("endpoint_connections_forgotten_total"),
		streamsLost:          r.Counter("stream_lost_total"),
		lists:                r.Counter("stream_lists_total"),
		watches:              r.Counter("stream_watches_total"),
		registryRevision:     r.Counter("registry_revision"),
		configVersion:        r.Counter("config_version"),
	}
}
