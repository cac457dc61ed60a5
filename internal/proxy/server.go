package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/config"
	"lichentray/internal/api"
	"lichentray/internal/settings"
)

// Front serves clients. The limits of the configuration in force when a
// connection arrives hold for its life.
type Front struct {
	p    *Plane
	ln   net.Listener
	mu   sync.Mutex
	srv  *fasthttp.Server
	held config.Limits
	// open holds every client connection; true while a request is on it.
	open map[net.Conn]bool
	done chan struct{}
}

// NewFront makes the server of a listener that hatch.Listen made.
func NewFront(p *Plane, ln net.Listener) *Front {
	return &Front{p: p, ln: ln, open: map[net.Conn]bool{}, done: make(chan struct{})}
}

func orElse(s float64, other time.Duration) time.Duration {
	if s <= 0 {
		return other
	}
	return time.Duration(s * float64(time.Second))
}

// server gives the server that fits the present limits.
func (f *Front) server() *fasthttp.Server {
	var limits config.Limits
	if r := f.p.routing.Load(); r != nil {
		limits = r.table.Limits
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.srv != nil && f.held == limits {
		return f.srv
	}
	s := api.NewServer(f.p.Serve, prefetch)
	s.StreamRequestBody = true
	s.ReadBufferSize = int(max(4<<10, min(limits.MaxHeaderBytes, 256<<10))) + 1<<10
	s.ReadTimeout = orElse(limits.HeaderTimeoutSeconds, f.p.set.Bounds.ContactWindow.Duration())
	s.IdleTimeout = orElse(limits.IdleTimeoutSeconds, 5*f.p.set.Bounds.ContactWindow.Duration())
	s.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{ReadTimeout: 4 * s.ReadTimeout}
	}
	s.ErrorHandler = f.unreadable
	s.ConnState = f.track
	f.srv, f.held = s, limits
	return s
}

func (f *Front) track(c net.Conn, state fasthttp.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, there := f.open[c]; there {
		f.open[c] = state == fasthttp.StateActive
	}
}

// client is a client's connection. One that never sent a byte ends without an
// answer, as no request waits on it.
type client struct {
	net.Conn
	spoke bool
}

func (c *client) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.spoke = true
	} else if err != nil && !c.spoke {
		err = io.EOF
	}
	return n, err
}

func (f *Front) serve(s *fasthttp.Server, c net.Conn) {
	f.mu.Lock()
	f.open[c] = false
	f.mu.Unlock()
	_ = s.ServeConn(c) // a broken client connection is no event
	f.mu.Lock()
	delete(f.open, c)
	f.mu.Unlock()
}

// endIdle ends the connections on which no request is. A deadline in the past
// ends only a read that has nothing: what was read goes on.
func (f *Front) endIdle() (left int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, busy := range f.open {
		if !busy {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // a closed connection needs none
		}
	}
	return len(f.open)
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
func (f *Front) Run() {
	defer close(f.done)
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return // see hatch.Listen
		}
		go f.serve(f.server(), &client{Conn: c})
	}
}

// Stop ends in order: not ready at once, no kept connections, and out once all
// that was read is answered, within grace.
func (f *Front) Stop(grace time.Duration) {
	f.p.leave()
	end := time.Now().Add(grace * 9 / 10)
	// The platform needs two missed calls to hand out no new connections; those
	// whom the directory sent here may hold its answer for three times its time.
	wait := grace * 2 / 5
	if f.p.set.EntryType == settings.EntryTypeDirectory {
		wait = grace * 3 / 5
	}
	time.Sleep(wait)
	f.ln.Close()
	<-f.done
	for f.endIdle() > 0 && time.Now().Before(end) {
		time.Sleep(grace / 300)
	}
	f.p.closeAccount(end.Add(grace / 20))
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
		ctx.SetBody(api.RenderMetrics(p.board))
	default:
		ctx.SetStatusCode(404)
	}
}
