package api

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
)

// Resolver is what the directory needs of the control-plane node.
type Resolver interface {
	Resolve(client, host, region, zone string) (addresses []string, ttl time.Duration, err error)
}

// Directory tells clients which proxy nodes to go to.
type Directory struct {
	resolver Resolver
	metrics  *metrics.Registry
}

// NewDirectory makes the handler's owner.
func NewDirectory(node Resolver, board *metrics.Registry) *Directory { return &Directory{node, board} }

// Serve handles one question.
func (d *Directory) Serve(ctx *fasthttp.RequestCtx) {
	answer, err := d.resolve(ctx)
	what := "ok"
	if err != nil {
		what = apierror.KindOf(err).String()
		WriteError(ctx, err)
	}
	d.metrics.Counter("resolves_total", "answer", what).Inc()
	if err != nil {
		return
	}
	b, err := json.Marshal(answer)
	if err != nil {
		ctx.SetStatusCode(500)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

func (d *Directory) resolve(ctx *fasthttp.RequestCtx) (any, error) {
	if string(ctx.Path()) != "/api/resolve" {
		return nil, apierror.New(apierror.NoRoute, "no call at %s", ctx.Path())
	}
	if !ctx.IsGet() {
		return nil, apierror.New(apierror.BadRequest, "resolve is a GET")
	}
	q := ctx.QueryArgs()
	name := string(q.Peek("name"))
	if name == "" {
		return nil, apierror.New(apierror.BadRequest, "name: missing")
	}
	for _, k := range [...]string{"name", "region", "zone"} {
		if len(q.Peek(k)) > 255 || len(q.PeekMulti(k)) > 1 {
			return nil, apierror.New(apierror.BadRequest, "%s: too long or given twice", k)
		}
	}
	addrs, ttl, err := d.resolver.Resolve(ctx.RemoteIP().String(), name, string(q.Peek("region")), string(q.Peek("zone")))
	if err != nil {
		return nil, err
	}
	return struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}{addrs, ttl.Seconds()}, nil
}
