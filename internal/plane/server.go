package plane

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/hatch"
	"lichentray/jig"
)

// Front serves clients. The limits of the configuration in force when a
// connection arrives hold for its life.
type Front struct {
	p    *Plane
	ln   net.Listener
	mu   sync.Mutex
	srv  *fasthttp.Server
	all  []*fasthttp.Server
	held jig.Limits
	done chan struct{}
}

// NewFront makes the server of a listener.
func NewFront(p *Plane, ln net.Listener) *Front {
	return &Front{p: p, ln: ln, done: make(chan struct{})}
}

func orElse(s float64, other time.Duration) time.Duration {
	if s <= 0 {
		return other
	}
	return time.Duration(s * float64(time.Second))
}

// server gives the server that fits the present limits.
func (f *Front) server() *fasthttp.Server {
	var limits jig.Limits
	if r := f.p.routing.Load(); r != nil {
		limits = r.table.Limits
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.srv != nil && f.held == limits {
		return f.srv
	}
	s := hatch.Server(f.p.Serve, prefetch)
	s.StreamRequestBody = true
	s.ReadBufferSize = int(max(4<<10, min(limits.MaxHeaderBytes, 256<<10))) + 1<<10
	s.ReadTimeout = orElse(limits.HeaderTimeoutS, f.p.set.Bounds.Contact.D())
	s.IdleTimeout = orElse(limits.IdleTimeoutS, 5*f.p.set.Bounds.Contact.D())
	s.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: 4 * s.ReadTimeout}
	}
	s.ErrorHandler = f.unreadable
	f.srv, f.held = s, limits
	f.all = append(f.all, s)
	return s
}

// unreadable answers a request that could not be read.
func (f *Front) unreadable(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var ne net.Error
	status := 400
	switch {
	case errors.As(err, &small):
		status = 431
	case errors.As(err, &ne) && ne.Timeout():
		status = 408
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = 413
	}
	f.p.board.Counter("unreadable_total", "status", fasthttp.StatusMessage(status)).Inc()
	ctx.SetConnectionClose()
	ctx.SetStatusCode(status)
}

// Run accepts until the listener is closed.
func (f *Front) Run() error {
	defer close(f.done)
	for {
		c, err := f.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			// Out of descriptors, most likely: what is open goes on.
			f.p.board.Counter("accept_failures_total").Inc()
			time.Sleep(f.p.timing.Dial / 10)
			continue
		}
		s := f.server()
		go func() { _ = s.ServeConn(c) }() // a broken client connection is no event
	}
}

// Stop ends in order: not ready at once, no kept connections, and out once all
// that was read is answered, within grace.
func (f *Front) Stop(grace time.Duration) {
	f.p.stopping.Store(true)
	end := time.Now().Add(grace * 9 / 10)
	// The platform needs two missed calls to hand out no new connections.
	time.Sleep(grace * 2 / 5)
	f.ln.Close()
	<-f.done
	closed := make(chan struct{})
	go func() {
		f.mu.Lock()
		all := f.all
		f.mu.Unlock()
		for _, s := range all {
			_ = s.Shutdown() // what is still open ends with the process
		}
		close(closed)
	}()
	for time.Now().Before(end) {
		select {
		case <-closed:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Readiness serves the platform's question and the counters.
func (p *Plane) Readiness(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/api/readiness":
		if !p.Ready() {
			ctx.SetStatusCode(503)
		}
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	case "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBody(hatch.Metrics(p.board))
	default:
		ctx.SetStatusCode(404)
	}
}
