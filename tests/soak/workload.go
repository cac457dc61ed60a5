package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serviceName = "work"
	hostName    = "soak.example"

	callTimeout    = time.Second
	requestTimeout = 2 * time.Second
	// slowRequestDuration is how long an endpoint works on a slow request unless it is interrupted.
	slowRequestDuration = 40 * time.Second
	// endpointCount endpoints each have a capacity of endpointCapacity concurrent requests.
	endpointCount      = 3
	endpointCapacity   = 64
	heartbeatPause     = 500 * time.Millisecond
	workerPause        = 30 * time.Millisecond
	configurationPause = 250 * time.Millisecond
)

// workload simulates the users of the deployment: endpoints, clients, an operator and applications.
type workload struct {
	cluster *cluster
	checks  *checks
	// dropsResponses makes clients cancel many of their control-plane calls before the response and retry
	// them at another node, and makes endpoints abort many of their responses.
	dropsResponses atomic.Bool

	// responsesDroppedUntil is when dropsResponses was last reset, in nanoseconds of the Unix epoch.
	responsesDroppedUntil atomic.Int64

	requests atomic.Int64 // counter for unique request IDs
	workers  sync.WaitGroup
	callers  *http.Client

	mu        sync.Mutex
	endpoints []*endpoint
}

// newWorkload returns the workload of a cluster without starting it.
func newWorkload(k *cluster, c *checks) *workload {
	return &workload{
		cluster: k,
		checks:  c,
		callers: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// start starts the endpoints and clients. They stop when the context ends; wait waits for that.
func (w *workload) start(ctx context.Context, seed int64) error {
	for i := range endpointCount {
		if err := w.startEndpoint(ctx, fmt.Sprint("endpoint-", i), w.cluster.deployment.zoneOf(i)); err != nil {
			return err
		}
	}
	steps := []func(context.Context, *rand.Rand){
		w.replaceConfiguration, w.readConfiguration, w.takeNumber, w.acquireAndReleaseLock, w.watchCells,
		w.sendNonIdempotent, w.sendNonIdempotent, w.abandonRequest, w.abandonRequest, w.abandonRequest,
	}
	for range 3 {
		steps = append(steps, w.idempotentClient(), w.persistentNonIdempotentClient())
	}
	steps = append(steps, w.lockHolders()...)
	steps = append(steps, w.deregisterWithDelayedHeartbeat)
	for i, step := range steps {
		random := rand.New(rand.NewSource(seed + int64(i)))
		w.workers.Go(func() {
			for ctx.Err() == nil {
				step(ctx, random)
				pause(ctx, workerPause)
			}
		})
	}
	return nil
}

// responsesDroppedSince reports whether endpoints may have aborted responses at or after a time.
func (w *workload) responsesDroppedSince(at time.Time) bool {
	return w.dropsResponses.Load() || at.UnixNano() <= w.responsesDroppedUntil.Load()
}

// wait waits until all clients have stopped, and closes the endpoints.
func (w *workload) wait() {
	w.workers.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		_ = e.server.Close() // reports only the listener's error
	}
}

// pause sleeps for a duration or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// randomNode returns a random node.
func randomNode(random *rand.Rand, nodes []node) node { return nodes[random.Intn(len(nodes))] }

// newRequest returns a request to a proxy node, with a unique ID.
func (w *workload) newRequest(ctx context.Context, proxy node, method, kind string, deadline time.Duration) (*http.Request, string) {
	id := fmt.Sprintf("%s-%d", kind, w.requests.Add(1))
	r, err := http.NewRequestWithContext(ctx, method, "http://"+proxy.address(frontendPort)+"/"+kind+"/"+id, nil)
	if err != nil {
		panic(err) // the address is valid
	}
	r.Host = hostName
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline", fmt.Sprint(deadline.Milliseconds()))
	return r, id
}

// send sends a request and checks the response. The status is 0 if there is none.
func (w *workload) send(client *http.Client, r *http.Request, id string) (status int) {
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if response.StatusCode == http.StatusOK && (string(body) != id || response.Header.Get("X-Server-Signature") == "") {
		w.checks.fail("request %s got the body %q with X-Server-Signature %q", id, body, response.Header.Get("X-Server-Signature"))
	}
	return response.StatusCode
}

// idempotentClient returns a step that sends idempotent requests on persistent connections.
func (w *workload) idempotentClient() func(context.Context, *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	return func(ctx context.Context, random *rand.Rand) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		r, id := w.newRequest(ctx, randomNode(random, proxyNodes), http.MethodGet, "safe", requestTimeout)
		w.checks.recordOutcome(w.send(client, r, id) == http.StatusOK)
	}
}

// sendNonIdempotent sends one non-idempotent request on a new connection.
func (w *workload) sendNonIdempotent(ctx context.Context, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, id := w.newRequest(ctx, randomNode(random, proxyNodes), http.MethodPost, "once", requestTimeout)
	status := w.send(client, r, id)
	w.checks.recordOutcome(status == http.StatusOK)
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.checks.recordNotExecuted(id, status)
	}
}

// persistentNonIdempotentClient returns a step that sends non-idempotent requests on connections that it
// keeps open until the proxy closes them or exits.
func (w *workload) persistentNonIdempotentClient() func(context.Context, *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	return func(ctx context.Context, random *rand.Rand) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		proxy := randomNode(random, proxyNodes)
		r, id := w.newRequest(ctx, proxy, http.MethodPost, "once", requestTimeout)
		sentAt := time.Now()
		status := w.send(client, r, id)
		now := time.Now()
		w.checks.recordOutcome(status == http.StatusOK)
		// Responses that endpoints abort and the client's own timeout or cancellation are not violations.
		isUnanswered := status == 0 && now.Sub(sentAt) < requestTimeout/2 && ctx.Err() == nil && !w.responsesDroppedSince(sentAt)
		if isUnanswered && !w.cluster.hadUnplannedOutage(proxy.name, sentAt.Add(-callTimeout), now) {
			w.checks.recordUnanswered(id, proxy.name)
		}
	}
}

// abandonRequest sends a slow idempotent request and disconnects while it is in progress.
func (w *workload) abandonRequest(ctx context.Context, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(50+random.Intn(400))*time.Millisecond)
	defer cancel()
	proxy := randomNode(random, proxyNodes)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, id := w.newRequest(ctx, proxy, http.MethodGet, "slow", slowRequestDuration)
	if w.send(client, r, id) == 0 {
		w.checks.recordDisconnection(id, proxy.name)
	}
}

// errResponseDropped is the cause of a call that was canceled before its response.
var errResponseDropped = errors.New("response dropped")

// callOnce sends a call to one node. The status is 0 if there is no response.
func (w *workload) callOnce(ctx context.Context, n node, call string, body any) (status int, answer []byte) {
	return w.callWith(ctx, w.callers, n, call, body)
}

// callWith is like callOnce, with the given HTTP client.
func (w *workload) callWith(ctx context.Context, client *http.Client, n node, call string, body any) (status int, answer []byte) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // the body contains only encodable values
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.dropsResponses.Load() && rand.Intn(2) == 0 {
		timer := time.AfterFunc(time.Duration(rand.Intn(30))*time.Millisecond, func() { cancel(errResponseDropped) })
		defer timer.Stop()
	}
	path := "/api/rpc?call=" + call
	if strings.HasPrefix(call, "/") {
		path = call
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address(controlPort)+path, bytes.NewReader(text))
	if err != nil {
		panic(err) // the address is valid
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if answer, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// call repeats a call at random nodes until the response is definite. The status is 0 if the context
// ends before that.
func (w *workload) call(ctx context.Context, random *rand.Rand, call string, body any) (status int, answer []byte) {
	for ctx.Err() == nil {
		status, answer = w.callOnce(ctx, randomNode(random, controlNodes()), call, body)
		if status == http.StatusOK || status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return status, answer
		}
		pause(ctx, workerPause)
	}
	return 0, nil
}

// replaceConfiguration writes the next configuration version, retrying until it is acknowledged. The
// configuration is valid, so a rejection is a violation.
func (w *workload) replaceConfiguration(ctx context.Context, random *rand.Rand) {
	version := w.checks.acknowledgedVersion() + 1
	status, answer := w.call(ctx, random, "configuration.replace", json.RawMessage(configurationText(version)))
	switch status {
	case 0:
		return
	case http.StatusOK:
		w.checks.recordVersion(version)
	default:
		w.checks.fail("configuration %d was rejected with status %d: %s", version, status, answer)
	}
	pause(ctx, configurationPause)
}

// readConfiguration reads the configuration from a random node and checks its version.
func (w *workload) readConfiguration(ctx context.Context, random *rand.Rand) {
	n := randomNode(random, controlNodes())
	before := w.checks.acknowledgedVersion()
	status, answer := w.callOnce(ctx, n, "configuration.read", struct{}{})
	if status != http.StatusOK {
		return
	}
	var configuration struct {
		Version int `json:"config_version"`
	}
	if err := json.Unmarshal(answer, &configuration); err != nil {
		w.checks.fail("%s returned an invalid configuration: %v", n.name, err)
		return
	}
	w.checks.checkVersion(n.name, configuration.Version, before)
}

// takeNumber requests the next number of a sequence and checks that it increases.
func (w *workload) takeNumber(ctx context.Context, random *rand.Rand) {
	before := w.checks.newest(&w.checks.numbers)
	status, answer := w.call(ctx, random, "/api/numbers/soak", struct{}{})
	var drawn struct {
		Value uint64 `json:"value"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &drawn) == nil {
		w.checks.recordMonotonic(&w.checks.numbers, drawn.Value, before)
	}
}

// acquireAndReleaseLock acquires a lock under a new holder name, if it is free, and releases it.
func (w *workload) acquireAndReleaseLock(ctx context.Context, random *rand.Rand) {
	holder := fmt.Sprint("holder-", w.requests.Add(1))
	before := w.checks.newest(&w.checks.fencingTokens)
	status, answer := w.call(ctx, random, "locks.begin&of=soak", map[string]any{"holder": holder, "hold_s": 1})
	var lock struct {
		Fence uint64 `json:"fence"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &lock) != nil {
		return // held by another name, possibly through an acquisition whose response was dropped
	}
	w.checks.recordMonotonic(&w.checks.fencingTokens, lock.Fence, before)
	_, _ = w.call(ctx, random, "locks.finish&of=soak", map[string]any{"holder": holder, "fence": lock.Fence})
}

// watchCells opens a watch that receives no events, and disconnects before its timeout.
func (w *workload) watchCells(ctx context.Context, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	n := randomNode(random, controlNodes())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(controlPort)+"/api/watch/soak.?after=1&wait_ms=15000", nil)
	if err != nil {
		panic(err) // the address is valid
	}
	if response, err := w.callers.Do(r); err == nil {
		response.Body.Close()
	}
}

// configurationText returns the configuration with the given version. All versions have the same routes.
func configurationText(version int) string {
	const rule = `{"name":"%s","route_type":"%s","target_latency_s":1,"priority":1,"match":{"path_prefix":"/%s/"},` +
		`"action":{"backend_service":"` + serviceName + `","timeout_s":%g,"max_attempts":2}}`
	rules := []string{
		fmt.Sprintf(rule, "safe", "idempotent", "safe", requestTimeout.Seconds()),
		fmt.Sprintf(rule, "once", "non_idempotent", "once", requestTimeout.Seconds()),
		fmt.Sprintf(rule, "slow", "idempotent", "slow", slowRequestDuration.Seconds()),
	}
	return fmt.Sprintf(`{"config_version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},`+
		`"listeners":[{"hostname":"%s","rules":[%s]}],"clusters":[{"name":"%s","health_check_path":"/health","max_connections":100}]}`,
		version, hostName, strings.Join(rules, ","), serviceName)
}
