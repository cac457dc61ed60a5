package controlplane

import (
	"lichentray/audit"
	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/registry"
)

// appendAudit takes a proxy's batch into the account and lets it know. What does not
// come through, or whose answer does not, the proxy sends again.
func (l *Node) appendAudit(conn *transport.Conn, b *audit.Batch) {
	b.Most = l.settings.Audit.MaxRecords
	r, err := l.Propose(registry.Command{Audit: b})
	if err != nil {
		l.metrics.auditBatchesDeferred().Inc()
		return
	}
	l.metrics.auditBatches().Inc()
	_ = conn.Send(&transport.Frame{Account: &transport.AuditAck{Life: b.Life, Seq: r.Account, Closed: b.Closed}})
}

// ReadAudit reads the account of failures.
func (l *Node) ReadAudit(f audit.Filter) (audit.QueryResult, error) {
	if l.settings.Audit == nil {
		return audit.QueryResult{}, apierror.New(apierror.NoRoute, "this deployment keeps no account of failures")
	}
	if err := l.ReadIndex(); err != nil {
		return audit.QueryResult{}, err
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.store.AuditLog().Query(f), nil
}
