package api

import (
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
)

const (
	resolvePath = "/api/resolve"
	// maxParameterBytes limits each query parameter of a lookup.
	maxParameterBytes = 255
)

// Resolver is the control-plane node that a Directory queries.
type Resolver interface {
	// Resolve returns the addresses (IP:port) of the proxies that a client may connect to, and
	// for how long the client may cache them. client is the IP address of the client and host
	// the host that it looks up; region and zone are empty if they are not known. Resolve does
	// not block and must be safe for concurrent use. Errors have a kind, see apierror.KindOf.
	Resolve(client, host, region, zone string) (addresses []string, ttl time.Duration, err error)
}

// Directory serves clients that look up the proxies to connect to. It is safe for concurrent use.
type Directory struct {
	resolver Resolver
	metrics  *metrics.Registry
}

// NewDirectory returns a directory that uses resolver. It counts lookups in the metric
// directory_resolutions_total of registry, by outcome.
func NewDirectory(resolver Resolver, registry *metrics.Registry) *Directory {
	return &Directory{resolver: resolver, metrics: registry}
}

// resolveResponse is the response to a lookup.
type resolveResponse struct {
	Addresses  []string `json:"addresses"`
	TTLSeconds float64  `json:"ttl_s"`
}

// Serve handles one request and counts its outcome.
func (d *Directory) Serve(ctx *fasthttp.RequestCtx) {
	response, err := d.resolve(ctx)
	outcome := "ok"
	if err != nil {
		outcome = apierror.KindOf(err).String()
	}
	d.metrics.Counter("directory_resolutions_total", "outcome", outcome).Inc()
	if err != nil {
		WriteError(ctx, err)
		return
	}
	writeJSON(ctx, response)
}

// resolve validates a lookup and executes it.
func (d *Directory) resolve(ctx *fasthttp.RequestCtx) (resolveResponse, error) {
	if string(ctx.Path()) != resolvePath {
		return resolveResponse{}, apierror.New(apierror.NoRoute, "no call at %s", ctx.Path())
	}
	if !ctx.IsGet() {
		return resolveResponse{}, apierror.New(apierror.BadRequest, "resolve is a GET")
	}
	query := ctx.QueryArgs()
	name := string(query.Peek("name"))
	if name == "" {
		return resolveResponse{}, apierror.New(apierror.BadRequest, "name: missing")
	}
	for _, key := range []string{"name", "region", "zone"} {
		if len(query.Peek(key)) > maxParameterBytes || len(query.PeekMulti(key)) > 1 {
			return resolveResponse{}, apierror.New(apierror.BadRequest, "%s: too long or given twice", key)
		}
	}
	region := string(query.Peek("region"))
	zone := string(query.Peek("zone"))
	addresses, ttl, err := d.resolver.Resolve(ctx.RemoteIP().String(), name, region, zone)
	if err != nil {
		return resolveResponse{}, err
	}
	return resolveResponse{Addresses: addresses, TTLSeconds: ttl.Seconds()}, nil
}
