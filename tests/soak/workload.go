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
	// slowWork is how long an endpoint works on a slow request if nobody interrupts it.
	slowWork = 40 * time.Second
	// endpointCount is how many endpoints there are, of endpointCapacity requests each.
	endpointCount    = 3
	endpointCapacity = 64
	heartbeatPause   = 500 * time.Millisecond
	workerPause      = 30 * time.Millisecond
	operatorPause    = 250 * time.Millisecond
)

// workload is everyone around the deployment: endpoints, clients, an operator and applications.
type workload struct {
	cluster *cluster
	checks  *checks
	// loseAnswers: callers give up many of their calls before the answer comes, and send the same
	// again to another node; endpoints break off many of their answers.
	loseAnswers atomic.Bool

	// answersLostUntil is when loseAnswers was last reset, in nanoseconds of the Unix epoch.
	answersLostUntil atomic.Int64

	requests atomic.Int64 // numbers the requests
	workers  sync.WaitGroup
	callers  *http.Client

	mu        sync.Mutex
	endpoints []*endpoint
}

// newWorkload returns the workload of a cluster. Nothing runs yet.
func newWorkload(k *cluster, c *checks) *workload {
	return &workload{
		cluster: k,
		checks:  c,
		callers: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// start starts everyone. They end with the context; wait waits for that.
func (w *workload) start(ctx context.Context, seed int64) error {
	for i := range endpointCount {
		if err := w.startEndpoint(ctx, fmt.Sprint("endpoint-", i), w.cluster.deployment.zoneOf(i)); err != nil {
			return err
		}
	}
	steps := []func(context.Context, *rand.Rand){
		w.operate, w.readConfiguration, w.drawNumber, w.passLock, w.watchCells,
		w.commit, w.commit, w.leave, w.leave, w.leave,
	}
	for range 3 {
		steps = append(steps, w.reader(), w.keptCommitter())
	}
	steps = append(steps, w.lockHolders()...)
	steps = append(steps, w.signOffWithLateHeartbeat)
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

// answersLostAt reports whether endpoints may have broken off answers at a time or since.
func (w *workload) answersLostAt(at time.Time) bool {
	return w.loseAnswers.Load() || at.UnixNano() <= w.answersLostUntil.Load()
}

// wait waits until everyone has ended.
func (w *workload) wait() {
	w.workers.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		_ = e.server.Close() // only its listener's error
	}
}

// pause waits for a while, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// pick draws one of the nodes.
func pick(random *rand.Rand, nodes []node) node { return nodes[random.Intn(len(nodes))] }

// newRequest returns a request to a proxy node. Each has an id of its own.
func (w *workload) newRequest(ctx context.Context, proxy node, method, kind string, deadline time.Duration) (*http.Request, string) {
	id := fmt.Sprintf("%s-%d", kind, w.requests.Add(1))
	r, err := http.NewRequestWithContext(ctx, method, "http://"+proxy.address(frontendPort)+"/"+kind+"/"+id, nil)
	if err != nil {
		panic(err) // the address is a constant
	}
	r.Host = hostName
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline", fmt.Sprint(deadline.Milliseconds()))
	return r, id
}

// send sends a request and checks the answer. status is 0 if there is none.
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
		w.checks.fail("request %s got the answer %q, signed %q", id, body, response.Header.Get("X-Server-Signature"))
	}
	return response.StatusCode
}

// reader returns a client that keeps its connections and sends requests that may be repeated.
func (w *workload) reader() func(context.Context, *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	return func(ctx context.Context, random *rand.Rand) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		r, id := w.newRequest(ctx, pick(random, proxyNodes), http.MethodGet, "safe", requestTimeout)
		w.checks.recordOutcome(w.send(client, r, id) == http.StatusOK)
	}
}

// commit sends one request that may run once, on a new connection.
func (w *workload) commit(ctx context.Context, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, id := w.newRequest(ctx, pick(random, proxyNodes), http.MethodPost, "once", requestTimeout)
	status := w.send(client, r, id)
	w.checks.recordOutcome(status == http.StatusOK)
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		w.checks.recordPromise(id, status)
	}
}

// keptCommitter returns a client that sends requests which may run once on connections that it keeps
// open until the proxy closes them or is gone.
func (w *workload) keptCommitter() func(context.Context, *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}}
	return func(ctx context.Context, random *rand.Rand) {
		ctx, cancel := context.WithTimeout(ctx, requestTimeout)
		defer cancel()
		proxy := pick(random, proxyNodes)
		r, id := w.newRequest(ctx, proxy, http.MethodPost, "once", requestTimeout)
		sentAt := time.Now()
		status := w.send(client, r, id)
		now := time.Now()
		w.checks.recordOutcome(status == http.StatusOK)
		// Answers are lost by the endpoints too; an end of this client is no fault.
		isCutOff := status == 0 && now.Sub(sentAt) < requestTimeout/2 && ctx.Err() == nil && !w.answersLostAt(sentAt)
		if isCutOff && !w.cluster.wasDisturbedUnplanned(proxy.name, sentAt.Add(-callTimeout), now) {
			w.checks.recordCutOff(id, proxy.name)
		}
	}
}

// leave sends a slow request that may be repeated, and leaves while it is in progress.
func (w *workload) leave(ctx context.Context, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(50+random.Intn(400))*time.Millisecond)
	defer cancel()
	proxy := pick(random, proxyNodes)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	r, id := w.newRequest(ctx, proxy, http.MethodGet, "slow", slowWork)
	if w.send(client, r, id) == 0 {
		w.checks.recordDeparture(id, proxy.name)
	}
}

// errAnswerLost is the end of a call whose answer the caller did not wait for.
var errAnswerLost = errors.New("answer lost")

// callOnce makes a call at one node. The status is 0 if no answer came.
func (w *workload) callOnce(ctx context.Context, n node, call string, body any) (status int, answer []byte) {
	return w.callWith(ctx, w.callers, n, call, body)
}

// callWith is callOnce with a client of the caller's own.
func (w *workload) callWith(ctx context.Context, client *http.Client, n node, call string, body any) (status int, answer []byte) {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // it holds nothing that cannot be encoded
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if w.loseAnswers.Load() && rand.Intn(2) == 0 {
		timer := time.AfterFunc(time.Duration(rand.Intn(30))*time.Millisecond, func() { cancel(errAnswerLost) })
		defer timer.Stop()
	}
	path := "/api/rpc?call=" + call
	if strings.HasPrefix(call, "/") {
		path = call
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.address(controlPort)+path, bytes.NewReader(text))
	if err != nil {
		panic(err) // the address is a constant
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

// call makes a call at one node after the other until one answers clearly. The status is 0 if the
// context ends before.
func (w *workload) call(ctx context.Context, random *rand.Rand, call string, body any) (status int, answer []byte) {
	for ctx.Err() == nil {
		status, answer = w.callOnce(ctx, pick(random, controlNodes()), call, body)
		if status == http.StatusOK || status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout {
			return status, answer
		}
		pause(ctx, workerPause)
	}
	return 0, nil
}

// operate replaces the configuration by the next version, and repeats that until it is
// acknowledged: it is valid, so it may not be rejected.
func (w *workload) operate(ctx context.Context, random *rand.Rand) {
	version := w.checks.acknowledgedVersion() + 1
	status, answer := w.call(ctx, random, "configuration.replace", json.RawMessage(configurationText(version)))
	switch status {
	case 0:
		return
	case http.StatusOK:
		w.checks.recordVersion(version)
	default:
		w.checks.fail("configuration %d was answered %d: %s", version, status, answer)
	}
	pause(ctx, operatorPause)
}

// readConfiguration reads the configuration at one node.
func (w *workload) readConfiguration(ctx context.Context, random *rand.Rand) {
	n := pick(random, controlNodes())
	before := w.checks.acknowledgedVersion()
	status, answer := w.callOnce(ctx, n, "configuration.read", struct{}{})
	if status != http.StatusOK {
		return
	}
	var configuration struct {
		Version int `json:"config_version"`
	}
	if err := json.Unmarshal(answer, &configuration); err != nil {
		w.checks.fail("%s answers a configuration that cannot be read: %v", n.name, err)
		return
	}
	w.checks.checkVersion(n.name, configuration.Version, before)
}

// drawNumber draws a number.
func (w *workload) drawNumber(ctx context.Context, random *rand.Rand) {
	before := w.checks.newest(&w.checks.numbers)
	status, answer := w.call(ctx, random, "/api/numbers/soak", struct{}{})
	var drawn struct {
		Value uint64 `json:"value"`
	}
	if status == http.StatusOK && json.Unmarshal(answer, &drawn) == nil {
		w.checks.recordRising(&w.checks.numbers, drawn.Value, before)
	}
}

// passLock takes a lock as a new holder, if it is free, and gives it back.
func (w *workload) passLock(ctx context.Context, random *rand.Rand) {
	holder := fmt.Sprint("holder-", w.requests.Add(1))
	before := w.checks.newest(&w.checks.fences)
	status, answer := w.call(ctx, random, "locks.begin&of=soak", map[string]any{"holder": holder, "hold_s": 1})
	var lock struct {
		Fence uint64 `json:"fence"`
	}
	if status != http.StatusOK || json.Unmarshal(answer, &lock) != nil {
		return // another one holds it, as an answer that was lost may have granted it
	}
	w.checks.recordRising(&w.checks.fences, lock.Fence, before)
	_, _ = w.call(ctx, random, "locks.finish&of=soak", map[string]any{"holder": holder, "fence": lock.Fence})
}

// watchCells waits for puts that never come, and leaves before the wait is over.
func (w *workload) watchCells(ctx context.Context, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
	defer cancel()
	n := pick(random, controlNodes())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.address(controlPort)+"/api/watch/soak.?after=1&wait_ms=15000", nil)
	if err != nil {
		panic(err) // the address is a constant
	}
	if response, err := w.callers.Do(r); err == nil {
		response.Body.Close()
	}
}

// configurationText is the configuration of a version. All have the same routes.
func configurationText(version int) string {
	const rule = `{"name":"%s","route_type":"%s","target_latency_s":1,"priority":1,"match":{"path_prefix":"/%s/"},` +
		`"action":{"backend_service":"` + serviceName + `","timeout_s":%g,"max_attempts":2}}`
	rules := []string{
		fmt.Sprintf(rule, "safe", "idempotent", "safe", requestTimeout.Seconds()),
		fmt.Sprintf(rule, "once", "non_idempotent", "once", requestTimeout.Seconds()),
		fmt.Sprintf(rule, "slow", "idempotent", "slow", slowWork.Seconds()),
	}
	return fmt.Sprintf(`{"config_version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout_s":3,"idle_timeout_s":15},`+
		`"listeners":[{"hostname":"%s","rules":[%s]}],"clusters":[{"name":"%s","health_check_path":"/health","max_connections":100}]}`,
		version, hostName, strings.Join(rules, ","), serviceName)
}
