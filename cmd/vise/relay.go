package main

import (
	"context"
	"log/slog"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/caliper"
	"lichentray/internal/daemon"
	"lichentray/internal/dial"
	"lichentray/internal/dowel"
	"lichentray/internal/hatch"
	"lichentray/internal/plumb"
)

// relay is a control-plane node on a machine without a disk beside a core that
// has disks: it holds nothing and sends callers on to a core node that is in
// touch.
type relay struct {
	line *plumb.Line
	to   atomic.Pointer[string] // the core node's API address; nil: none in touch
	sent *dial.Counter
	lost *dial.Counter
}

func runRelay(set *caliper.Settings, log *slog.Logger, sig *daemon.Signals) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(50)
	board := dial.NewBoard()
	r := &relay{line: plumb.New(set), sent: board.Counter("redirects_total"), lost: board.Counter("redirects_without_target_total")}
	ln, err := net.Listen("tcp4", set.Listen.Control)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go r.follow(ctx, set, log)
	srv := hatch.Server(r.handler(board), 16<<20)
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(ln) }()
	for {
		select {
		case err := <-failed:
			return err
		case s := <-sig.Changed:
			r.line.SetSeeds(s.Seeds)
		case <-sig.Stop:
			return nil
		}
	}
}

// follow holds one core node and takes its bookmarks as proof that it is in
// touch.
func (r *relay) follow(ctx context.Context, set *caliper.Settings, log *slog.Logger) {
	silence := min(set.Bounds.Drain.D(), set.Bounds.ConfigApply.D()) * 3 / 10
	avoid := ""
	for ctx.Err() == nil {
		for _, addr := range r.line.Candidates(avoid) {
			held := r.hold(ctx, addr, silence, set, log)
			r.to.Store(nil)
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

func (r *relay) hold(ctx context.Context, addr string, silence time.Duration, set *caliper.Settings, log *slog.Logger) (held bool) {
	conn, err := dowel.Dial(ctx, addr, silence/2, dowel.Hello{Role: dowel.Relay, Node: set.NodeName})
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
		r.line.Learn(f.Bookmark.Control)
		api := r.line.API(addr)
		if api == "" {
			return held // it is no member, or not yet
		}
		if !held {
			held = true
			log.Info("sending callers on", "to", api)
		}
		r.to.Store(&api)
		if r.line.Nearer(addr) && time.Since(began) > set.Bounds.Contact.D() {
			return false
		}
	}
	return held
}

func (r *relay) handler(board *dial.Board) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case "/metrics":
			ctx.SetContentType("text/plain; version=0.0.4")
			ctx.SetBody(hatch.Metrics(board))
			return
		case "/api/readiness":
			return
		}
		to := r.to.Load()
		if to == nil {
			r.lost.Inc()
			ctx.SetStatusCode(503)
			ctx.Response.Header.Set("Retry-After", "0.2")
		} else {
			r.sent.Inc()
			ctx.SetStatusCode(307)
			ctx.Response.Header.Set("Location", "http://"+*to+string(ctx.RequestURI()))
		}
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	}
}
