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

// auditRecorder is this node's side of the account of failures. Nil notes nothing.
type auditRecorder struct {
	settings *settings.Audit
	// isRegistered tells that this life is in the book. Until then the node takes no
	// requests, so that no life can carry some unseen.
	isRegistered atomic.Bool

	mu                sync.Mutex
	buffer            *audit.Recorder
	incarnation       string
	lastSentAt        time.Time
	requestsSinceSent int64 // requests since sentAt
	requestsPerSecond float64
	inFlight          int
	isClosed          bool // handed over with everything

	recordsNoted, recordsHeld, recordsDropped *metrics.Counter
}

// How much is handed over at a time, and how often when there is nothing to tell.
const (
	maxAuditBatch     = 200
	auditIdleInterval = 5 * time.Second
)

func newAuditRecorder(set *settings.Settings, board *metrics.Registry) *auditRecorder {
	if set.Audit == nil {
		return nil
	}
	life := set.NodeName + "-" + strconv.FormatInt(time.Now().UnixMilli(), 36) + "-" + strconv.FormatInt(rand.Int63(), 36)
	return &auditRecorder{
		settings: set.Audit, buffer: audit.NewRecorder(life, set.NodeName, set.Audit.MaxPendingRecords), incarnation: life,
		recordsNoted: board.Counter("account_noted_total"), recordsHeld: board.Counter("account_held"), recordsDropped: board.Counter("account_dropped"),
	}
}

// requestStarted counts a request.
func (a *auditRecorder) requestStarted() {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.requestsSinceSent++
	a.inFlight++
	a.mu.Unlock()
}

func (a *auditRecorder) requestFinished() {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.inFlight--
	a.mu.Unlock()
}

// record keeps one record of a try.
func (a *auditRecorder) record(h *fasthttp.RequestHeader, route string, kind audit.Kind, status int, began time.Time) {
	if a == nil {
		return
	}
	attempt := string(h.Peek("X-Attempt-Id"))
	request := attempt
	if a.settings.RequestHeader != "" {
		if v := h.Peek(a.settings.RequestHeader); len(v) > 0 {
			request = string(v)
		}
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer.Append(audit.Record{
		AtMS: now.UnixMilli(), Tenant: a.tenantOf(h), Route: route, Request: truncate(request), Attempt: truncate(attempt),
		Kind: kind, Status: status, TookMS: now.Sub(began).Milliseconds(),
	})
	a.recordsNoted.Inc()
}

// tenantOf tells whose a request is: by its host, as the settings name it, else by
// the header that they name, else one that stands for all others.
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
func truncate(s string) string { return s[:min(len(s), 128)] }

// nextBatch gives what is to be handed over now, or nil. The caller has the lock.
func (a *auditRecorder) nextBatch(now time.Time, closing bool, again time.Duration) *audit.Batch {
	span := now.Sub(a.lastSentAt)
	if !closing && span < again && a.isRegistered.Load() && (a.buffer.Pending() == 0 || span < again/4) {
		return nil
	}
	if span > time.Millisecond {
		a.requestsPerSecond = max(a.requestsPerSecond*0.9, float64(a.requestsSinceSent)/max(0.1, span.Seconds()))
	}
	a.lastSentAt, a.requestsSinceSent = now, 0
	b := a.buffer.NextBatch(now.UnixMilli(), maxAuditBatch)
	b.PerS, b.Out = a.requestsPerSecond, a.inFlight
	b.Closed = closing && a.buffer.Pending() == len(b.Records)
	a.recordsHeld.Set(int64(a.buffer.Pending()))
	a.recordsDropped.Set(int64(a.buffer.Dropped()))
	return &b
}

// reportBatch gives the batch that goes with a report.
func (a *auditRecorder) reportBatch() *audit.Batch {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nextBatch(time.Now(), false, auditIdleInterval)
}

// acknowledge takes that records have been taken in.
func (a *auditRecorder) acknowledge(k *transport.AuditAck) {
	if a == nil || k.Life != a.incarnation {
		return
	}
	a.isRegistered.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buffer.Acknowledge(k.Life, k.Seq)
	a.isClosed = a.isClosed || k.Closed
	a.recordsHeld.Set(int64(a.buffer.Pending()))
}

// close hands over what is left, and that this life ends, until that is
// acknowledged or the time is up.
func (p *Proxy) closeAudit(until time.Time) {
	a := p.audit
	if a == nil {
		return
	}
	for time.Now().Before(until) {
		a.mu.Lock()
		if a.isClosed {
			a.mu.Unlock()
			return
		}
		b := a.nextBatch(time.Now(), true, 0)
		a.mu.Unlock()
		if c := p.controlConn.Load(); c != nil {
			_ = c.Send(&transport.Frame{Report: &transport.ProxyReport{Account: b}}) // tried again
		}
		time.Sleep(p.timeouts.dial)
	}
}
