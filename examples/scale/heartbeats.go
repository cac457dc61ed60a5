package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// heartbeatSenders sends the heartbeats of all hollow endpoints.
type heartbeatSenders struct {
	options
	acknowledged atomic.Int64 // number of acknowledged heartbeats
	registered   atomic.Int64 // number of endpoints with an acknowledged heartbeat
	isRecording  atomic.Bool  // whether latencies are recorded

	mu        sync.Mutex
	latencies []time.Duration
}

// start starts workers that share the endpoints among them and run until ctx is canceled.
func (h *heartbeatSenders) start(ctx context.Context, workers int) {
	for w := range workers {
		go h.runWorker(ctx, w, workers)
	}
}

// runWorker sends the heartbeats of the endpoints with the indexes first, first+step,
// first+2*step and so on, at regular intervals.
func (h *heartbeatSenders) runWorker(ctx context.Context, first, step int) {
	interval := time.Duration(float64(h.heartbeatInterval) * float64(step) / float64(h.hollowEndpoints))
	client := &fasthttp.Client{MaxConnsPerHost: 4}
	isRegistered := map[int]bool{}
	next := time.Now()
	for sequence := 1; ctx.Err() == nil; sequence++ {
		for i := first; i < h.hollowEndpoints && ctx.Err() == nil; i += step {
			next = next.Add(interval)
			time.Sleep(time.Until(next))
			if time.Since(next) > h.heartbeatInterval {
				next = time.Now() // skip overdue heartbeats
			}
			if !h.send(client, i, sequence) {
				continue
			}
			h.acknowledged.Add(1)
			if !isRegistered[i] {
				isRegistered[i] = true
				h.registered.Add(1)
			}
		}
	}
}

// send sends one heartbeat of an endpoint, and reports whether it was acknowledged.
func (h *heartbeatSenders) send(client *fasthttp.Client, endpoint, sequence int) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	node := controlAddress((endpoint + sequence) % h.nodes)
	req.SetRequestURI(fmt.Sprintf("http://%s/api/rpc?call=instances.heartbeat&of=i-%d", node, endpoint))
	req.Header.SetMethod(http.MethodPost)
	req.SetBodyString(fmt.Sprintf(`{"address":"127.0.0.1:9",`+
		`"info":{"backend_service":%q,"config_version":"v1","zone":"z%d","capacity":4},`+
		`"status":{"state":"ready","sequence":%d,"cold_remaining_s":0}}`, serviceName(endpoint%h.services), endpoint%zoneCount, sequence))
	began := time.Now()
	if err := client.DoTimeout(req, resp, 5*time.Second); err != nil || resp.StatusCode() != http.StatusOK {
		return false
	}
	if h.isRecording.Load() {
		h.mu.Lock()
		h.latencies = append(h.latencies, time.Since(began))
		h.mu.Unlock()
	}
	return true
}

// percentile99MS returns the 99th percentile of the recorded latencies in milliseconds.
func (h *heartbeatSenders) percentile99MS() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return percentile99MS(h.latencies)
}
