package soak

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxHeartbeatDelay is the upper bound of the delay of a late heartbeat.
	maxHeartbeatDelay = 6 * time.Second
	// deregistrationBound is how long an endpoint may still receive requests after its acknowledged
	// deregistration while no faults are injected. It is far above drain_s of the settings, to allow for a
	// busy machine.
	deregistrationBound = 6 * time.Second
)

// endpoint is an endpoint of the service.
type endpoint struct {
	id       string
	address  string
	zone     string
	workload *workload
	server   *http.Server

	mu       sync.Mutex
	sequence int
}

// listen starts the server of an endpoint, without heartbeats.
func (w *workload) listen(id, zone string) (*endpoint, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{id: id, address: listener.Addr().String(), zone: zone, workload: w}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }() // returns when wait closes the server
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints = append(w.endpoints, e)
	return e, nil
}

// startEndpoint starts an endpoint that sends heartbeats.
func (w *workload) startEndpoint(ctx context.Context, id, zone string) error {
	e, err := w.listen(id, zone)
	if err != nil {
		return err
	}
	random := rand.New(rand.NewSource(1))
	w.workers.Go(func() {
		for ctx.Err() == nil {
			e.sendHeartbeat(ctx, random, e.nextHeartbeat()) // if it fails, the next one goes to another node
			pause(ctx, heartbeatPause)
		}
	})
	return nil
}

// nextHeartbeat returns a heartbeat with state ready and the next sequence number.
func (e *endpoint) nextHeartbeat() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"address": e.address,
		"info":    map[string]any{"backend_service": serviceName, "config_version": "v1", "zone": e.zone, "capacity": endpointCapacity},
		"status":  map[string]any{"state": "ready", "sequence": e.sequence, "cold_remaining_s": 0},
	}
}

// sendHeartbeat sends a heartbeat to a random control-plane node.
func (e *endpoint) sendHeartbeat(ctx context.Context, random *rand.Rand, heartbeat map[string]any) {
	_, _ = e.workload.callOnce(ctx, randomNode(random, controlNodes()), "instances.heartbeat&of="+e.id, heartbeat)
}

// deregisterWithDelayedHeartbeat starts an endpoint that soon deregisters but keeps serving. One of its
// earlier heartbeats is delivered late, to a random node, and must not bring the endpoint back into use.
func (w *workload) deregisterWithDelayedHeartbeat(ctx context.Context, random *rand.Rand) {
	id := fmt.Sprint("leaving-", w.requests.Add(1))
	e, err := w.listen(id, w.cluster.deployment.zoneOf(random.Intn(3)))
	if err != nil {
		w.checks.fail("endpoint %s: %v", id, err)
		return
	}
	for range 1 + random.Intn(4) {
		e.sendHeartbeat(ctx, random, e.nextHeartbeat())
		pause(ctx, heartbeatPause)
	}
	delayed := e.nextHeartbeat()
	e.sendHeartbeat(ctx, random, e.nextHeartbeat())
	if status, _ := w.call(ctx, random, "instances.deregister&of="+id, struct{}{}); status != http.StatusOK {
		return // the run is over
	}
	w.checks.recordDeregistration(id)
	delay := time.Duration(random.Int63n(int64(maxHeartbeatDelay)))
	node := randomNode(random, controlNodes())
	w.workers.Go(func() {
		pause(ctx, delay)
		_, _ = w.callOnce(ctx, node, "instances.heartbeat&of="+id, delayed)
	})
}

// ServeHTTP handles a request and records its execution.
func (e *endpoint) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		e.workload.checks.recordArrival(e.id, id)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/once/"):
		e.workload.checks.recordRun(id)
	case strings.HasPrefix(r.URL.Path, "/slow/"):
		e.workload.checks.beginSlowRun(id)
		pause(r.Context(), slowRequestDuration) // returns early if the connection is closed
		e.workload.checks.endSlowRun(id)
	}
	if e.workload.dropsResponses.Load() && rand.Intn(4) == 0 {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("X-Attempt-Id", id)
	out.Header().Set("X-Server-Signature", e.id)
	fmt.Fprint(out, id)
}
