// Package audit implements the audit log of failed requests of all proxy nodes. The log
// lists the failures of each tenant by request, without duplicates. Where entries may be
// missing, it says how many.
//
// Each proxy process, called an incarnation of its node, has a Recorder, which numbers the
// records of the process and keeps each until it is acknowledged. The replicated state has
// a Log, which ingests each record once, no matter how often and through which
// control-plane nodes it is sent. Queries are answered from the Log.
//
// The package does no input or output, reads no clock and starts no goroutines: times are
// passed as arguments, internal/proxy sends the batches, and the Log is part of the state
// of package registry.
package audit

// Kind is the outcome of an attempt or of a whole request. The values are stored and sent.
type Kind string

// The kinds of an attempt. Executed, MaybeExecuted and NotExecuted are recorded for attempts
// of non-idempotent requests, that is, requests on a route that is not idempotent. They are
// not failures by themselves: whether the request failed follows from the kinds of all its
// attempts, which may have gone through several proxies.
const (
	MissedLatencyTarget Kind = "late"       // successful response that missed the latency target
	Failed              Kind = "failed"     // no successful response
	Truncated           Kind = "broken_off" // response ended early

	Executed      Kind = "ran"     // an endpoint answered the request successfully
	MaybeExecuted Kind = "unsure"  // an endpoint may have received the request, but gave no conclusive answer
	NotExecuted   Kind = "not_run" // the request was certainly not executed
)

// The kinds of a failed non-idempotent request, derived from the kinds of its attempts.
const (
	Duplicated      Kind = "doubled"       // at least two attempts were executed
	MaybeDuplicated Kind = "maybe_doubled" // one attempt was executed, and another may have been
	Indeterminate   Kind = "unclear"       // no attempt is known to be executed, but at least one may have been
	Lost            Kind = "lost"          // no attempt was executed
)

// FailureKinds returns the kinds that a failure in the audit log can have.
func FailureKinds() []Kind {
	return []Kind{
		MissedLatencyTarget, Failed, Truncated,
		Duplicated, MaybeDuplicated, Indeterminate, Lost,
	}
}

// Record describes one attempt of one request. Records are stored and sent with gob and as
// JSON, so the names of the fields and JSON keys are part of these formats.
type Record struct {
	// Seq is the sequence number of the record within its incarnation, starting at 1.
	Seq     uint64 `json:"seq"`
	AtMS    int64  `json:"at_ms"` // Unix time in ms by the proxy's clock
	Tenant  string `json:"tenant"`
	Route   string `json:"route"`
	Request string `json:"request"` // request ID, shared by all attempts of the request
	Attempt string `json:"attempt"` // ID of this attempt
	Kind    Kind   `json:"kind"`
	Status  int    `json:"status"`  // HTTP status code
	TookMS  int64  `json:"took_ms"` // duration in ms
}

// isExecutionEvidence reports whether the record says if an attempt of a non-idempotent
// request was executed. Such records are evaluated together with those of the other attempts.
func (r Record) isExecutionEvidence() bool {
	return r.Kind == Executed || r.Kind == MaybeExecuted || r.Kind == NotExecuted
}

// Batch is a message with records from a proxy. Batches are stored in the replicated log as
// JSON and sent with gob, so the names of the fields and JSON keys are part of these formats.
type Batch struct {
	Life    string   `json:"life"`  // ID of the incarnation
	Node    string   `json:"node"`  // name of the node
	AtMS    int64    `json:"at_ms"` // Unix time in ms by the proxy's clock
	Records []Record `json:"records"`
	// Dropped is the number of records that the incarnation has dropped so far because its
	// recorder was full.
	Dropped uint64 `json:"dropped"`
	// PerS is the proxy's number of requests per second, and Out its number of requests in
	// flight. They are used to estimate how many requests may be missing if the process
	// ends without sending another batch.
	PerS float64 `json:"per_s"`
	Out  int     `json:"out"`
	// Closed marks the last batch of an incarnation that shuts down gracefully.
	Closed bool `json:"closed"`
	// Most is the maximum number of entries in the Log, or 0 for no limit. The
	// control-plane node that proposes the batch sets it, so that all replicas apply the
	// same limit.
	Most int `json:"most"`
}
