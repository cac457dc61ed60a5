package proxy

import (
	"math/rand"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/audit"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

const (
	// maxAuditBatch bounds how many records are sent in one batch.
	maxAuditBatch = 200
	// auditIdleInterval is how often a batch is sent when there are no records.
	auditIdleInterval = 5 * time.Second
	// maxAuditText bounds in bytes what a record holds of a client's header.
	maxAuditText = 128
	// requestRateDecay is what is left of the highest rate of requests after one batch.
	requestRateDecay = 0.9
	// minRateSeconds is the shortest time over which the rate of requests is measured.
	minRateSeconds = 0.1
)

// auditRecorder keeps this node's records for the audit log until the control plane has
// acknowledged them. It is safe for concurrent use. A nil auditRecorder records nothing.
type auditRecorder struct {
	settings *settings.Audit
	// incarnation names this start of the node.
	incarnation string
	// isRegistered: the audit log knows this incarnation. Until then the node takes no
	// requests, so that no incarnation can forward some that the log does not know of.
	isRegistered atomic.Bool

	mu                sync.Mutex
	buffer            *audit.Recorder
	lastSentAt        time.Time
	requestsSinceSent int64
	requestsPerSecond float64
	inFlight          int
	// isClosed: the control plane has acknowledged every record and the end of this
	// incarnation.
	isClosed bool

	recordsTotal, recordsPending, recordsDropped *metrics.Counter
}

// newAuditRecorder returns a recorder; nil if the settings ask for no audit log.
func newAuditRecorder(set *settings.Settings, registry *metrics.Registry) *auditRecorder {
	if set.Audit == nil {
		return nil
	}
	incarnation := set.NodeName +
		"-" + strconv.FormatInt(time.Now().UnixMilli(), 36) +
		"-" + strconv.FormatInt(rand.Int63(), 36)
	return &auditRecorder{
		settings:       set.Audit,
		incarnation:    incarnation,
		buffer:         audit.NewRecorder(incarnation, set.NodeName, set.Audit.MaxPendingRecords),
		recordsTotal:   registry.Counter("audit_records_total"),
		recordsPending: registry.Counter("audit_records_pending"),
		recordsDropped: registry.Counter("audit_records_dropped"),
	}
}

// isReady reports whether requests may be taken as far as the audit log is concerned.
func (a *auditRecorder) isReady() bool { return a == nil || a.isRegistered.Load() }

// requestStarted counts a request.
func (a *auditRecorder) requestStarted() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestsSinceSent++
	a.inFlight++
}

// requestFinished counts a request as handled.
func (a *auditRecorder) requestFinished() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
}

// record keeps one record of a client's attempt. route is empty where none was matched.
func (a *auditRecorder) record(h *fasthttp.RequestHeader, route string, kind audit.Kind, status int, startedAt time.Time) {
	if a == nil {
		return
	}
	attempt := string(h.Peek("X-Attempt-Id"))
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer.Append(audit.Record{
		AtMS:    now.UnixMilli(),
		Tenant:  a.tenantOf(h),
		Route:   route,
		Request: truncate(a.requestOf(h, attempt)),
		Attempt: truncate(attempt),
		Kind:    kind,
		Status:  status,
		TookMS:  now.Sub(startedAt).Milliseconds(),
	})
	a.recordsTotal.Inc()
}

// requestOf is the id of the request that an attempt belongs to: from the header that the
// settings name, else the attempt's own.
func (a *auditRecorder) requestOf(h *fasthttp.RequestHeader, attempt string) string {
	if a.settings.RequestHeader == "" {
		return attempt
	}
	if v := h.Peek(a.settings.RequestHeader); len(v) > 0 {
		return string(v)
	}
	return attempt
}

// tenantOf is whose a request is: by its host, as the settings name it, else by the header
// that they name, else settings.Audit.UnknownTenant.
func (a *auditRecorder) tenantOf(h *fasthttp.RequestHeader) string {
	if t, ok := a.settings.TenantByHost[strings.ToLower(string(h.Host()))]; ok {
		return t
	}
	if a.settings.TenantHeader != "" {
		if v := h.Peek(a.settings.TenantHeader); len(v) > 0 {
			return truncate(string(v))
		}
	}
	return a.settings.UnknownTenant
}

// truncate bounds what a client wrote.
func truncate(s string) string { return s[:min(len(s), maxAuditText)] }

// isBatchDue reports whether a batch is to be sent when span has passed since the last.
// Records wait for a quarter of the interval, their absence for all of it. The caller has
// the lock.
func (a *auditRecorder) isBatchDue(span, interval time.Duration) bool {
	if span >= interval || !a.isRegistered.Load() {
		return true
	}
	return a.buffer.Pending() > 0 && span >= interval/4
}

// nextBatch returns the batch to send now. isClosing is true once no request can come
// any more. The caller has the lock.
func (a *auditRecorder) nextBatch(now time.Time, isClosing bool) *audit.Batch {
	if span := now.Sub(a.lastSentAt); span > time.Millisecond {
		rate := float64(a.requestsSinceSent) / max(minRateSeconds, span.Seconds())
		a.requestsPerSecond = max(a.requestsPerSecond*requestRateDecay, rate)
	}
	a.lastSentAt = now
	a.requestsSinceSent = 0
	b := a.buffer.NextBatch(now.UnixMilli(), maxAuditBatch)
	b.PerS = a.requestsPerSecond
	b.Out = a.inFlight
	b.Closed = isClosing && a.buffer.Pending() == len(b.Records)
	a.recordsPending.Set(int64(a.buffer.Pending()))
	a.recordsDropped.Set(int64(a.buffer.Dropped()))
	return &b
}

// reportBatch returns the batch that goes with a report; nil if none is due.
func (a *auditRecorder) reportBatch() *audit.Batch {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.isBatchDue(now.Sub(a.lastSentAt), auditIdleInterval) {
		return nil
	}
	return a.nextBatch(now, false)
}

// closingBatch returns the batch to send at the end of the node; nil once everything
// was acknowledged.
func (a *auditRecorder) closingBatch() *audit.Batch {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed {
		return nil
	}
	return a.nextBatch(time.Now(), true)
}

// acknowledge drops the records that the audit log has.
func (a *auditRecorder) acknowledge(ack *transport.AuditAck) {
	if a == nil || ack.Life != a.incarnation {
		return
	}
	a.isRegistered.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer.Acknowledge(ack.Life, ack.Seq)
	a.isClosed = a.isClosed || ack.Closed
	a.recordsPending.Set(int64(a.buffer.Pending()))
}

// closeAudit sends the records that are left and the end of this incarnation, again and
// again until both are acknowledged or the time until is reached.
func (p *Proxy) closeAudit(until time.Time) {
	if p.audit == nil {
		return
	}
	for time.Now().Before(until) {
		batch := p.audit.closingBatch()
		if batch == nil {
			return
		}
		if conn := p.controlConn.Load(); conn != nil {
			report := &transport.ProxyReport{Account: batch}
			_ = conn.Send(&transport.Frame{Report: report}) // sent again until acknowledged
		}
		time.Sleep(p.timeouts.dial)
	}
}
