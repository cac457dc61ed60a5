package api

import (
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
)

const (
	resolvePath = "/api/resolve"
	// maxResolveBytes bounds each parameter of a lookup.
	maxResolveBytes = 255
)

// Resolver is what a Directory needs of the control-plane node.
type Resolver interface {
	// Resolve returns the addresses (IP:port) of proxies for a client to choose from, given
	// the client's IP address, the host that it wants and, where it is known, its region and
	// zone, and for how long the answer may be used. It does not wait. Errors have a kind, see
	// apierror.KindOf. It may be called by any number of goroutines at once.
	Resolve(client, host, region, zone string) (addresses []string, ttl time.Duration, err error)
}

// Directory serves clients that ask which proxies to connect to. It is safe for concurrent use.
type Directory struct {
	resolver Resolver
	metrics  *metrics.Registry
}

// NewDirectory returns a directory that answers from resolver and counts its answers in registry,
// as directory_resolutions_total by outcome.
func NewDirectory(resolver Resolver, registry *metrics.Registry) *Directory {
	return &Directory{resolver: resolver, metrics: registry}
}

// resolveAnswer is the answer to a lookup.
type resolveAnswer struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds float64  `json:"ttl_s"`
}

// Serve handles one request.
func (d *Directory) Serve(ctx *fasthttp.RequestCtx) {
	answer, err := d.resolve(ctx)
	outcome := "ok"
	if err != nil {
		outcome = apierror.KindOf(err).String()
	}
	d.metrics.Counter("directory_resolutions_total", "outcome", outcome).Inc()
	if err != nil {
		WriteError(ctx, err)
		return
	}
	writeJSON(ctx, answer)
}

// resolve reads a lookup and answers it.
func (d *Directory) resolve(ctx *fasthttp.RequestCtx) (resolveAnswer, error) {
	if string(ctx.Path()) != resolvePath {
		return resolveAnswer{}, apierror.New(apierror.NoRoute, "no call at %s", ctx.Path())
	}
	if !ctx.IsGet() {
		return resolveAnswer{}, apierror.New(apierror.BadRequest, "resolve is a GET")
	}
	query := ctx.QueryArgs()
	name := string(query.Peek("name"))
	if name == "" {
		return resolveAnswer{}, apierror.New(apierror.BadRequest, "name: missing")
	}
	for _, key := range []string{"name", "region", "zone"} {
		if len(query.Peek(key)) > maxResolveBytes || len(query.PeekMulti(key)) > 1 {
			return resolveAnswer{}, apierror.New(apierror.BadRequest, "%s: too long or given twice", key)
		}
	}
	region := string(query.Peek("region"))
	zone := string(query.Peek("zone"))
	addresses, ttl, err := d.resolver.Resolve(ctx.RemoteIP().String(), name, region, zone)
	if err != nil {
		return resolveAnswer{}, err
	}
	return resolveAnswer{Addresses: addresses, TTLSeconds: ttl.Seconds()}, nil
}
