package api

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Shutdown stops a server gracefully: it waits, for at most timeout, until the server has finished
// the requests that it has read. Requests still in progress then are cut off when the process
// exits.
func Shutdown(server *fasthttp.Server, timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		_ = server.Shutdown() // there is no way to handle an error
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}
