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

// account is this node's side of the account of failures. Nil notes nothing.
type account struct {
	set *settings.Audit
	// known tells that this life is in the book. Until then the node takes no
	// requests, so that no life can carry some unseen.
	known atomic.Bool

	mu     sync.Mutex
	stub   *audit.Recorder
	life   string
	sentAt time.Time
	asked  int64 // requests since sentAt
	perS   float64
	out    int
	closed bool // handed over with everything

	noted, held, dropped *metrics.Counter
}

// How much is handed over at a time, and how often when there is nothing to tell.
const (
	accountBatch = 200
	accountIdle  = 5 * time.Second
)

func newAccount(set *settings.Settings, board *metrics.Registry) *account {
	if set.Audit == nil {
		return nil
	}
	life := set.NodeName + "-" + strconv.FormatInt(time.Now().UnixMilli(), 36) + "-" + strconv.FormatInt(rand.Int63(), 36)
	return &account{
		set: set.Audit, stub: audit.NewRecorder(life, set.NodeName, set.Audit.MaxPendingRecords), life: life,
		noted: board.Counter("account_noted_total"), held: board.Counter("account_held"), dropped: board.Counter("account_dropped"),
	}
}

// begin counts a request.
func (a *account) begin() {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.asked++
	a.out++
	a.mu.Unlock()
}

func (a *account) end() {
	if a == nil {
		return
	}
	a.mu.Lock()
	a.out--
	a.mu.Unlock()
}

// note keeps one record of a try.
func (a *account) note(h *fasthttp.RequestHeader, route string, kind audit.Kind, status int, began time.Time) {
	if a == nil {
		return
	}
	attempt := string(h.Peek("X-Attempt-Id"))
	request := attempt
	if a.set.RequestHeader != "" {
		if v := h.Peek(a.set.RequestHeader); len(v) > 0 {
			request = string(v)
		}
	}
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stub.Append(audit.Record{
		AtMS: now.UnixMilli(), Tenant: a.tenant(h), Route: route, Request: cut(request), Attempt: cut(attempt),
		Kind: kind, Status: status, TookMS: now.Sub(began).Milliseconds(),
	})
	a.noted.Inc()
}

// tenant tells whose a request is: by its host, as the settings name it, else by
// the header that they name, else one that stands for all others.
func (a *account) tenant(h *fasthttp.RequestHeader) string {
	if t, ok := a.set.TenantByHost[strings.ToLower(string(h.Host()))]; ok {
		return t
	}
	if a.set.TenantHeader != "" {
		if v := h.Peek(a.set.TenantHeader); len(v) > 0 {
			return cut(string(v))
		}
	}
	return a.set.UnknownTenant
}

// cut bounds what a client wrote.
func cut(s string) string { return s[:min(len(s), 128)] }

// batch gives what is to be handed over now, or nil. The caller has the lock.
func (a *account) batch(now time.Time, closing bool, again time.Duration) *audit.Batch {
	span := now.Sub(a.sentAt)
	if !closing && span < again && a.known.Load() && (a.stub.Pending() == 0 || span < again/4) {
		return nil
	}
	if span > time.Millisecond {
		a.perS = max(a.perS*0.9, float64(a.asked)/max(0.1, span.Seconds()))
	}
	a.sentAt, a.asked = now, 0
	b := a.stub.NextBatch(now.UnixMilli(), accountBatch)
	b.PerS, b.Out = a.perS, a.out
	b.Closed = closing && a.stub.Pending() == len(b.Records)
	a.held.Set(int64(a.stub.Pending()))
	a.dropped.Set(int64(a.stub.Dropped()))
	return &b
}

// report gives the batch that goes with a report.
func (a *account) report() *audit.Batch {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.batch(time.Now(), false, accountIdle)
}

// acked takes that records have been taken in.
func (a *account) acked(k *transport.AuditAck) {
	if a == nil || k.Life != a.life {
		return
	}
	a.known.Store(true)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stub.Acknowledge(k.Life, k.Seq)
	a.closed = a.closed || k.Closed
	a.held.Set(int64(a.stub.Pending()))
}

// close hands over what is left, and that this life ends, until that is
// acknowledged or the time is up.
func (p *Plane) closeAccount(until time.Time) {
	a := p.account
	if a == nil {
		return
	}
	for time.Now().Before(until) {
		a.mu.Lock()
		if a.closed {
			a.mu.Unlock()
			return
		}
		b := a.batch(time.Now(), true, 0)
		a.mu.Unlock()
		if c := p.stream.Load(); c != nil {
			_ = c.Send(&transport.Frame{Report: &transport.ProxyReport{Account: b}}) // tried again
		}
		time.Sleep(p.timing.Dial)
	}
}
