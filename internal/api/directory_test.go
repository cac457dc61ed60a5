package api

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"lichentray/internal/apierror"
	"lichentray/internal/metrics"
)

// TestDirectoryAnswers checks the status and the body of the directory's responses to valid and
// invalid lookups and to errors of the resolver.
func TestDirectoryAnswers(t *testing.T) {
	for _, test := range []struct {
		name, uri  string
		err        error
		status     int
		wantInBody string
	}{
		{"resolve", "/api/resolve?name=h&region=r&zone=z", nil, 200, `{"addresses":["h-r-z"],"ttl_s":1.25}`},
		{"without a region and a zone", "/api/resolve?name=h", nil, 200, `"h--"`},
		{"without a name", "/api/resolve?zone=z", nil, 400, "name: missing"},
		{"two zones", "/api/resolve?name=h&zone=z&zone=y", nil, 400, "zone"},
		{"unknown host", "/api/resolve?name=h", apierror.New(apierror.NoRoute, "name"), 404, "no_route"},
		{"directory unavailable", "/api/resolve?name=h", apierror.New(apierror.Unavailable, ""), 503, "unavailable"},
		{"unknown path", "/api/rpc", nil, 404, "no_route"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var ctx fasthttp.RequestCtx
			ctx.Request.SetRequestURI(test.uri)
			NewDirectory(&fakeNode{err: test.err}, metrics.NewRegistry()).Serve(&ctx)
			status, body := ctx.Response.StatusCode(), string(ctx.Response.Body())
			if status != test.status || !strings.Contains(body, test.wantInBody) {
				t.Errorf("response = %d %s, want status %d and a body containing %q", status, body, test.status, test.wantInBody)
			}
		})
	}
}
