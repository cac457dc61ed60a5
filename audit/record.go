// Package audit is the audit log of failed requests, gathered from all proxy nodes:
// what went wrong for each tenant, by request, without missing or duplicate entries,
// and, where entries may be missing, how many.
//
// A proxy keeps a Recorder: it numbers the records of its process, one incarnation of
// the node, and keeps each until it is acknowledged. The replicated state keeps a
// Log, which ingests each record once, however often and through whichever
// control-plane node it is sent. Queries are answered from the Log.
//
// The package does no input or output, reads no clock and starts no goroutine: times
// come in as arguments, batches are sent by internal/proxy, and the Log is part of
// the state of package registry.
package audit

// Kind is how one attempt, or one request as a whole, ended. The values are stored
// and sent.
type Kind string

// The kinds of an attempt. The last three are recorded for every attempt of a commitment,
// that is, of a request on a route that is not idempotent. They are evidence only:
// whether the commitment failed shows when all its attempts, which may have gone through
// several proxies, are seen together.
const (
	MissedLatencyTarget Kind = "late"       // answered well, but after its latency target
	Failed              Kind = "failed"     // not answered well
	Truncated           Kind = "broken_off" // the answer ended early

	Executed      Kind = "ran"     // an endpoint answered the commitment well
	MaybeExecuted Kind = "unsure"  // an endpoint may have got the commitment, but gave no clear answer
	NotExecuted   Kind = "not_run" // the commitment has certainly not run
)

// The kinds of a failed commitment, by what its attempts amount to.
const (
	Duplicated      Kind = "doubled"       // at least two attempts ran
	MaybeDuplicated Kind = "maybe_doubled" // one attempt ran, and another may have
	Indeterminate   Kind = "unclear"       // none is known to have run, at least one may have
	Lost            Kind = "lost"          // no attempt has run
)

// FailureKinds returns the kinds that a failure in the audit log may have.
func FailureKinds() []Kind {
	return []Kind{
		MissedLatencyTarget, Failed, Truncated,
		Duplicated, MaybeDuplicated, Indeterminate, Lost,
	}
}

// Record describes one attempt of one request. Records are stored and sent by gob and
// as JSON, so the names of the fields and of their JSON keys are part of those
// formats.
type Record struct {
	// Seq numbers the records of an incarnation from 1.
	Seq     uint64 `json:"seq"`
	AtMS    int64  `json:"at_ms"` // Unix time in ms by the proxy's clock
	Tenant  string `json:"tenant"`
	Route   string `json:"route"`
	Request string `json:"request"` // id that all attempts of a request share
	Attempt string `json:"attempt"` // id of this attempt alone
	Kind    Kind   `json:"kind"`
	Status  int    `json:"status"`  // HTTP status code
	TookMS  int64  `json:"took_ms"` // duration in ms
}

// isCommitmentEvidence reports whether the record belongs to a commitment.
func (r Record) isCommitmentEvidence() bool {
	return r.Kind == Executed || r.Kind == MaybeExecuted || r.Kind == NotExecuted
}

// Batch is what a proxy sends at a time. Batches are stored in the replicated log as
// JSON and are sent by gob, so the names of the fields and of their JSON keys are part
// of those formats.
type Batch struct {
	Life    string   `json:"life"`  // id of the incarnation
	Node    string   `json:"node"`  // name of the node
	AtMS    int64    `json:"at_ms"` // Unix time in ms by the proxy's clock
	Records []Record `json:"records"`
	// Dropped is how many records the incarnation has dropped so far because its
	// recorder was full.
	Dropped uint64 `json:"dropped"`
	// PerS and Out are the proxy's requests per second and requests in flight. They
	// bound what may be missing if the process ends without another batch.
	PerS float64 `json:"per_s"`
	Out  int     `json:"out"`
	// Closed says that the incarnation ends and that this is its last batch.
	Closed bool `json:"closed"`
	// Most is the greatest number of entries of the Log. The control-plane node that
	// proposes the batch sets it, so that all replicas apply the same bound; 0 is no
	// bound.
	Most int `json:"most"`
}
