package controlplane

import (
	"lichentray/audit"
	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/registry"
)

// auditSink appends the failures recorded by proxies to the audit log, and queries the log.
type auditSink struct {
	*environment
	state    *sharedState
	proposer *proposer
}

// isEnabled reports whether the deployment keeps an audit log.
func (a *auditSink) isEnabled() bool { return a.settings.Audit != nil }

// ingest appends a batch from a proxy to the audit log and acknowledges it. The proxy resends a
// batch that is not committed or whose acknowledgement is lost; records that the log already
// holds are detected by their sequence numbers.
func (a *auditSink) ingest(conn *transport.Conn, batch *audit.Batch) {
	batch.Most = a.settings.Audit.MaxRecords
	result, err := a.proposer.propose(registry.Command{Audit: batch})
	if err != nil {
		a.metrics.auditBatchesDeferred().Inc()
		return
	}
	a.metrics.auditBatches().Inc()
	ack := &transport.AuditAck{Life: batch.Life, Seq: result.Account, Closed: batch.Closed}
	_ = conn.Send(&transport.Frame{Account: ack}) // if this fails, the proxy resends the batch
}

// read queries the audit log, see Node.ReadAudit.
func (a *auditSink) read(filter audit.Filter) (result audit.QueryResult, err error) {
	if !a.isEnabled() {
		return audit.QueryResult{}, apierror.New(apierror.NoRoute, "this deployment keeps no account of failures")
	}
	if err := a.proposer.readIndex(a.timing.RequestTimeout); err != nil {
		return audit.QueryResult{}, err
	}
	a.state.view(func(r *replicatedState) { result = r.store.AuditLog().Query(filter) })
	return result, nil
}
