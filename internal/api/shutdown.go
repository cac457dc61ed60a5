package api

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Shutdown lets a server finish the requests that it has read, for at most the given
// time. Requests that are left then end with the process.
func Shutdown(srv *fasthttp.Server, wait time.Duration) {
	done := make(chan struct{})
	go func() {
		_ = srv.Shutdown() // an error leaves nothing to do
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(wait):
	}
}
