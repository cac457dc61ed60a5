package controlplane

import (
	"lichentray/audit"
	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/registry"
)

// takeAccount takes a proxy's batch into the account and lets it know. What does not
// come through, or whose answer does not, the proxy sends again.
func (l *Lathe) takeAccount(conn *transport.Conn, b *audit.Batch) {
	b.Most = l.set.Audit.MaxRecords
	r, err := l.Do(registry.Command{Audit: b})
	if err != nil {
		l.board.Counter("account_batches_put_off_total").Inc()
		return
	}
	l.board.Counter("account_batches_total").Inc()
	_ = conn.Send(&transport.Frame{Account: &transport.AuditAck{Life: b.Life, Seq: r.Account, Closed: b.Closed}})
}

// Account reads the account of failures.
func (l *Lathe) Account(f audit.Filter) (audit.QueryResult, error) {
	if l.set.Audit == nil {
		return audit.QueryResult{}, apierror.New(apierror.NoRoute, "this deployment keeps no account of failures")
	}
	if err := l.ReadPoint(); err != nil {
		return audit.QueryResult{}, err
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.store.AuditLog().Query(f), nil
}
