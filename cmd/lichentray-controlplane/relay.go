package main

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/api"
	"lichentray/internal/apierror"
	"lichentray/internal/daemon"
	"lichentray/internal/discovery"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

// relay is a control-plane node on a machine without a disk beside a core that
// has disks: it holds nothing and passes calls on to a core node that is in
// touch, the nearest if it can.
type relay struct {
	discovery *discovery.Locator
	target    atomic.Pointer[fasthttp.HostClient] // nil: no core node is in touch
	// callTimeout bounds an ordinary call, poll a watch.
	callTimeout, watchTimeout time.Duration
	coreDiskless              chan struct{}
	// redirected counts callers that were told to go to the core with a large body, or for
	// one.
	forwarded, redirected, unavailable, outcomeUnknown *metrics.Counter
}

func runRelay(set *settings.Settings, log *slog.Logger, sig *daemon.Signals) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(50)
	board := metrics.NewRegistry()
	b := set.Bounds
	r := &relay{
		discovery: discovery.NewLocator(set), coreDiskless: make(chan struct{}), callTimeout: b.ContactWindow.Duration(), watchTimeout: b.HistoryRetention.Duration() + b.ContactWindow.Duration(),
		forwarded: board.Counter("relayed_total"), redirected: board.Counter("relayed_by_redirect_total"), unavailable: board.Counter("relayed_without_target_total"), outcomeUnknown: board.Counter("relayed_unclear_total"),
	}
	ln, err := api.Listen(set.Listen.Control, board)
	if err != nil {
		return err
	}
	defer ln.Close()
	// A proxy on this machine looks here whether it shares the link with a relay, and
	// whoever has only relays for seeds is told where the core is.
	own, err := net.Listen("tcp4", set.InternalAddr(set.IPAddress))
	if err != nil {
		return err
	}
	defer own.Close()
	go func() {
		for {
			c, err := own.Accept()
			if err != nil {
				return
			}
			go r.announceCore(c, set.PropagationBound()*3/10)
		}
	}()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.followNearest(ctx, set, log)
	srv := api.NewServer(r.handler(board), 16<<20)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	for {
		select {
		case err := <-failed:
			return err
		case <-r.coreDiskless:
			return errCoreDiskless
		case s := <-sig.SettingsChanged:
			r.discovery.SetSeeds(s.SeedNodes)
		case <-sig.Stop:
			shutdownServer(srv, set.Bounds.GracePeriod.Duration()/6)
			return nil
		}
	}
}

// followNearest holds one core node and takes its bookmarks as proof that it is in
// touch.
func (r *relay) followNearest(ctx context.Context, set *settings.Settings, log *slog.Logger) {
	silence := set.PropagationBound() * 3 / 10
	avoid := ""
	for ctx.Err() == nil {
		for _, addr := range r.discovery.Candidates(avoid) {
			held := r.followNode(ctx, addr, silence, set, log)
			r.target.Store(nil)
			if held {
				avoid = addr
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(silence / 8):
		}
	}
}

// announceCore tells a process that takes this relay for a core node where the core is.
func (r *relay) announceCore(raw net.Conn, silence time.Duration) {
	defer raw.Close()
	conn, _, err := transport.Accept(raw, silence)
	if err != nil {
		return
	}
	known := r.discovery.Nodes()
	if len(known) == 0 || conn.Send(&transport.Frame{Bookmark: &transport.Bookmark{Control: known}}) != nil {
		return
	}
	for err == nil { // to close with unread bytes would take back what was said
		_, err = conn.Receive(silence)
	}
}

func (r *relay) followNode(ctx context.Context, addr string, silence time.Duration, set *settings.Settings, log *slog.Logger) (held bool) {
	conn, err := transport.Dial(ctx, addr, silence/2, transport.Hello{Role: transport.RoleRelay, Node: set.NodeName})
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	began := time.Now()
	for ctx.Err() == nil {
		f, err := conn.Receive(silence)
		if err != nil {
			return held
		}
		if f.Bookmark == nil {
			continue
		}
		if f.Bookmark.Diskless {
			close(r.coreDiskless)
			<-ctx.Done()
			return false
		}
		r.discovery.UpdateNodes(f.Bookmark.Control)
		api := r.discovery.APIAddress(addr)
		if api == "" {
			return held // it is no member, or not yet
		}
		if !held {
			held = true
			log.Info("passing calls on", "to", api)
			c := &fasthttp.HostClient{
				Addr: api, MaxIdemponentCallAttempts: maxStaleConnections, RetryIfErr: retryIfUnsent, MaxConns: 1000, ReadTimeout: r.watchTimeout,
				NoDefaultUserAgentHeader: true, DisableHeaderNamesNormalizing: true, DisablePathNormalizing: true,
				Dial: func(addr string) (net.Conn, error) {
					c, err := net.DialTimeout("tcp4", addr, silence/2)
					if err != nil {
						return nil, errors.Join(errNotConnected, err)
					}
					transport.SetTCPUserTimeout(c, silence)
					rc, err := c.(*net.TCPConn).SyscallConn()
					if err != nil {
						c.Close()
						return nil, errors.Join(errNotConnected, err)
					}
					return &coreConn{Conn: c, rawConn: rc}, nil
				},
			}
			defer c.CloseIdleConnections()
			r.target.Store(c)
		}
		if r.discovery.HasNearer(addr) && time.Since(began) > set.Bounds.ContactWindow.Duration() {
			return false
		}
	}
	return held
}

func (r *relay) handler(board *metrics.Registry) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			ctx.SetContentType("text/plain; version=0.0.4")
			ctx.SetBody(api.RenderMetrics(board))
			return
		case "/api/readiness":
			return
		}
		to := r.target.Load()
		if to == nil {
			r.unavailable.Inc()
			api.WriteError(ctx, apierror.New(apierror.Unavailable, "no core node is in touch"))
			return
		}
		if len(ctx.PostBody()) > maxForwardedBytes || string(ctx.QueryArgs().Peek("call")) == "configuration.read" {
			ctx.Response.Header.Set("Location", "http://"+to.Addr+string(ctx.RequestURI()))
			ctx.SetStatusCode(fasthttp.StatusTemporaryRedirect)
			r.redirected.Inc()
			return
		}
		wait := r.callTimeout
		if bytes.HasPrefix(ctx.Path(), []byte("/api/watch/")) {
			wait = r.watchTimeout
		}
		// It works on the caller's buffers, and only until it returns.
		err := to.DoTimeout(&ctx.Request, &ctx.Response, wait)
		if err != nil {
			ctx.Response.Reset() // a part of an answer may stand there
		}
		ctx.Response.Header.Del("Connection")
		switch {
		case err == nil:
			r.forwarded.Inc()
		case errors.Is(err, errNotConnected) || errors.Is(err, errConnectionEnded) || errors.Is(err, fasthttp.ErrNoFreeConns):
			r.unavailable.Inc() // not one byte of it left
			api.WriteError(ctx, apierror.New(apierror.Unavailable, "core node cannot be reached"))
		default:
			r.outcomeUnknown.Inc()
			api.WriteError(ctx, apierror.New(apierror.UnknownOutcome, "core node did not answer"))
		}
	}
}

// maxForwardedBytes is how large a body may be that a relay passes on: a configuration of
// 400 KB blocks a link of 4 Mbit/s for a second on its way out again, and every small
// call behind it. Its caller brings it to the core instead, and fetches it there.
const maxForwardedBytes = 16 << 10

var errCoreDiskless = errors.New("no machine of the core has a disk")

var errNotConnected = errors.New("not connected")

// errConnectionEnded says that a kept connection was found to have ended, or to hold bytes that
// belong to no call, before one byte of the next call left on it.
var errConnectionEnded = errors.New("kept connection has ended")

// maxStaleConnections bounds how many kept connections that have ended a call may meet.
const maxStaleConnections = 8

// retryIfUnsent lets a call be sent again only if not one byte of it left.
func retryIfUnsent(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, errors.Is(err, errConnectionEnded)
}

// coreConn is a connection to a core node, which carries one call at a time. The library
// drops a connection whose call was given up; what this adds is that no call begins on
// one where something stands or that has ended.
type coreConn struct {
	net.Conn
	rawConn        syscall.RawConn
	readSinceWrite bool // since the last write: the next one begins a call
}

func (c *coreConn) Read(b []byte) (int, error) {
	c.readSinceWrite = true
	return c.Conn.Read(b)
}

func (c *coreConn) Write(b []byte) (int, error) {
	if c.readSinceWrite && !transport.IsIdle(c.rawConn) {
		return 0, errConnectionEnded
	}
	c.readSinceWrite = false
	return c.Conn.Write(b)
}
