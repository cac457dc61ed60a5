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
	// maxAuditBatchRecords is the maximum number of records in a batch.
	maxAuditBatchRecords = 200
	// auditIdleInterval is the interval between batches while there are no records.
	auditIdleInterval = 5 * time.Second
	// maxAuditTextBytes is the maximum length of a client's header value in a record.
	maxAuditTextBytes = 128
	// requestRateDecayFactor is the factor by which the peak request rate decays with each batch.
	requestRateDecayFactor = 0.9
	// minRatePeriodSeconds is the shortest period over which the request rate is computed.
	minRatePeriodSeconds = 0.1
)

// auditRecorder buffers this node's audit records until the control plane acknowledges them.
// It is safe for concurrent use. A nil auditRecorder records nothing.
type auditRecorder struct {
	settings *settings.Audit
	// incarnation identifies this run of the process.
	incarnation string
	// isRegistered is set once the audit log has acknowledged this incarnation. Until then the
	// node is not ready, so that no requests are forwarded by an incarnation that the log does
	// not know.
	isRegistered atomic.Bool

	mu                sync.Mutex
	buffer            *audit.Recorder
	lastSentAt        time.Time
	requestsSinceSent int64
	// peakRequestsPerSecond is the highest recent request rate; it decays with each batch.
	peakRequestsPerSecond float64
	inflight              int
	// isClosed is set once the control plane has acknowledged every record and the end of this
	// incarnation.
	isClosed bool

	recordsTotal, recordsPending, recordsDropped *metrics.Counter
}

// newAuditRecorder returns a recorder, or nil if the settings configure no audit log.
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

// isReady reports whether the audit log permits this node to accept requests.
func (a *auditRecorder) isReady() bool { return a == nil || a.isRegistered.Load() }

// requestStarted counts a request as in flight.
func (a *auditRecorder) requestStarted() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestsSinceSent++
	a.inflight++
}

// requestFinished counts a request as no longer in flight.
func (a *auditRecorder) requestFinished() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inflight--
}

// record appends a record of one attempt of a client, which is one request that the client sent,
// identified by its X-Attempt-Id. route is empty if no route was matched.
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
		Tenant:  a.tenant(h),
		Route:   route,
		Request: truncate(a.requestID(h, attempt)),
		Attempt: truncate(attempt),
		Kind:    kind,
		Status:  status,
		TookMS:  now.Sub(startedAt).Milliseconds(),
	})
	a.recordsTotal.Inc()
}

// requestID returns the id of the request that an attempt belongs to: the value of the header
// named in the settings, or else the attempt's id.
func (a *auditRecorder) requestID(h *fasthttp.RequestHeader, attempt string) string {
	if a.settings.RequestHeader == "" {
		return attempt
	}
	if v := h.Peek(a.settings.RequestHeader); len(v) > 0 {
		return string(v)
	}
	return attempt
}

// tenant returns the tenant of a request: by its host if the settings list it, else the value of
// the tenant header named in the settings, else settings.Audit.UnknownTenant.
func (a *auditRecorder) tenant(h *fasthttp.RequestHeader) string {
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

// truncate truncates a client's text to maxAuditTextBytes.
func truncate(s string) string { return s[:min(len(s), maxAuditTextBytes)] }

// shouldSendBatch reports whether a batch is due when elapsed has passed since the last one.
// Pending records are sent after a quarter of the interval, an empty batch after all of it. The
// caller must hold a.mu.
func (a *auditRecorder) shouldSendBatch(elapsed, interval time.Duration) bool {
	if elapsed >= interval || !a.isRegistered.Load() {
		return true
	}
	return a.buffer.Pending() > 0 && elapsed >= interval/4
}

// nextBatch returns the batch to send now. isClosing is true once no more requests can arrive.
// The caller must hold a.mu.
func (a *auditRecorder) nextBatch(now time.Time, isClosing bool) *audit.Batch {
	if elapsed := now.Sub(a.lastSentAt); elapsed > time.Millisecond {
		rate := float64(a.requestsSinceSent) / max(minRatePeriodSeconds, elapsed.Seconds())
		a.peakRequestsPerSecond = max(a.peakRequestsPerSecond*requestRateDecayFactor, rate)
	}
	a.lastSentAt = now
	a.requestsSinceSent = 0
	b := a.buffer.NextBatch(now.UnixMilli(), maxAuditBatchRecords)
	b.PerS = a.peakRequestsPerSecond
	b.Out = a.inflight
	b.Closed = isClosing && a.buffer.Pending() == len(b.Records)
	a.recordsPending.Set(int64(a.buffer.Pending()))
	a.recordsDropped.Set(int64(a.buffer.Dropped()))
	return &b
}

// reportBatch returns the batch to include in a report, or nil if none is due.
func (a *auditRecorder) reportBatch() *audit.Batch {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if !a.shouldSendBatch(now.Sub(a.lastSentAt), auditIdleInterval) {
		return nil
	}
	return a.nextBatch(now, false)
}

// finalBatch returns the batch to send at shutdown, or nil once everything is acknowledged.
func (a *auditRecorder) finalBatch() *audit.Batch {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed {
		return nil
	}
	return a.nextBatch(time.Now(), true)
}

// acknowledge drops the acknowledged records from the buffer.
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

// closeAudit sends the remaining records and the end of this incarnation repeatedly, until both
// are acknowledged or the deadline has passed.
func (p *Proxy) closeAudit(deadline time.Time) {
	if p.audit == nil {
		return
	}
	for time.Now().Before(deadline) {
		batch := p.audit.finalBatch()
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
