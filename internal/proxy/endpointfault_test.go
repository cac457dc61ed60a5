package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/loadbalance"
	"lichentray/registry"
)

// exchangeModel is the reference model: it records by request id what endpoints did with each
// request and what the client received.
type exchangeModel struct {
	mu             sync.Mutex
	deliveries     map[string]map[int]int // id -> endpoint -> arrivals
	executions     map[string]int         // deliveries that the endpoint did not reject as not executed
	statuses       map[string]int         // status that the client received
	behaviorCounts map[string]int         // faulty or valid behavior -> requests
}

// faultyEndpoint is an endpoint that injects faults at any byte, chosen by a seed.
type faultyEndpoint struct {
	t      *testing.T
	index  int
	seed   int64
	model  *exchangeModel
	mu     sync.Mutex
	lastID string // id of the last request read on any connection
}

// expectedBody returns the body of an endpoint's response to a request.
func expectedBody(id, endpoint string) string { return "the answer to " + id + " by " + endpoint }

// rawResponse returns a response in wire format. namedID is its X-Attempt-Id, or empty for none;
// isUnprocessed makes it state that the request was not executed.
func rawResponse(status int, namedID, body string, isUnprocessed bool) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	if namedID != "" {
		head += "X-Attempt-Id: " + namedID + "\r\n"
	}
	if isUnprocessed {
		head += "X-Not-Executed: 1\r\n"
	} else {
		head += "X-Server-Signature: s\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// poisonBytes overwrites the content of pooled buffers.
var poisonBytes = bytes.Repeat([]byte{'Z'}, 16<<10)

// poisonHeadBuffers overwrites buffers that were returned to the pool, so that a use after the
// return corrupts a request and fails the test.
func poisonHeadBuffers() {
	var buffers [2]*[]byte
	for i := range buffers {
		buffers[i] = headBuffers.Get().(*[]byte)
		copy((*buffers[i])[:cap(*buffers[i])], poisonBytes)
	}
	for _, b := range buffers {
		headBuffers.Put(b)
	}
}

// serve handles one connection and injects faults.
func (e *faultyEndpoint) serve(c *net.TCPConn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // ends a test that hangs
	br := bufio.NewReader(c)
	prev := ""
	for served := 0; ; served++ {
		line, err := br.ReadString('\n')
		f := strings.Fields(line)
		if err != nil || len(f) < 2 {
			return
		}
		id := f[1][strings.LastIndexByte(f[1], '/')+1:]
		poisonHeadBuffers()
		e.model.mu.Lock()
		if e.model.deliveries[id] == nil {
			e.model.deliveries[id] = map[int]int{}
		}
		e.model.deliveries[id][e.index]++
		e.model.mu.Unlock()
		e.mu.Lock()
		other := e.lastID
		e.lastID = id
		e.mu.Unlock()
		rng := rand.New(rand.NewSource(e.seed ^ int64(len(id))<<32 ^ int64(e.index)<<40 ^ int64(hashID(id))))
		behavior := [...]string{"valid", "valid", "valid", "valid", "valid", "interim", "not executed", "not executed early", "early", "server error", "other id", "no id", "late", "late not executed", "duplicate", "duplicate later", "truncated", "no response", "long", "chunked", "close"}[rng.Intn(21)]
		if prev == "" && strings.HasPrefix(behavior, "late") { // there is no earlier response
			behavior = "valid"
		}
		e.model.mu.Lock()
		e.model.behaviorCounts[behavior]++
		if !strings.HasPrefix(behavior, "not executed") {
			e.model.executions[id]++
		}
		e.model.mu.Unlock()
		maybeReset := func() {
			if rng.Intn(2) == 0 {
				_ = c.SetLinger(0) // Close resets the connection
			}
		}
		endpoint := strconv.Itoa(e.index)
		body := expectedBody(id, endpoint)
		if behavior == "long" {
			body += strings.Repeat(".", maxBufferedResponseBytes)
		}
		response := rawResponse(200, id, body, false)
		switch behavior {
		case "chunked":
			at := 1 + rng.Intn(len(body)-1)
			response = strings.Replace(rawResponse(200, id, "", false), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
			response += fmt.Sprintf("%x;x=y\r\n%s\r\n%x\r\n%s\r\n0\r\nX-T: v\r\n\r\n", at, body[:at], len(body)-at, body[at:])
		case "not executed", "not executed early":
			response = rawResponse([]int{503, 429, 421, 400}[rng.Intn(4)], id, "", true)
		case "server error":
			response = rawResponse([]int{500, 502, 503, 429, 408, 504}[rng.Intn(6)], id, "f", false)
		case "other id":
			if other == "" || other == id {
				other = "nobody"
			}
			response = rawResponse(200, other, expectedBody(other, endpoint), false)
		case "no id":
			response = rawResponse(200, "", body, false)
		case "late": // the response to the previous request precedes this one
			response = rawResponse(200, []string{prev, ""}[rng.Intn(2)], expectedBody(prev, endpoint), false) + response
		case "late not executed":
			response = rawResponse(503, []string{prev, ""}[rng.Intn(2)], "", true) + response
		case "interim":
			response = strings.Repeat("HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n", rng.Intn(4)) + "HTTP/1.1 100 Continue\r\n\r\n" + response
		case "duplicate":
			response += rawResponse([]int{200, 503}[rng.Intn(2)], []string{id, "", "next"}[rng.Intn(3)], expectedBody(id, endpoint), rng.Intn(2) == 0)
		}
		if strings.HasSuffix(behavior, "early") { // before the body and possibly the rest of the head is read
			maybeReset()
			_, _ = io.WriteString(c, response)
			return
		}
		if behavior == "close" && rng.Intn(2) == 0 {
			maybeReset()
			return
		}
		if !discardRequest(br) {
			return
		}
		switch behavior {
		case "close":
			maybeReset()
			return
		case "no response":
			_, _ = io.Copy(io.Discard, br)
			return
		case "truncated":
			response = response[:rng.Intn(len(response))]
			maybeReset()
		}
		for len(response) > 0 { // in pieces split at random positions
			n := min(len(response), 1+rng.Intn(max(1, 2*len(response)/3)))
			if _, err := io.WriteString(c, response[:n]); err != nil {
				return
			}
			response = response[n:]
		}
		switch behavior {
		case "truncated":
			return
		case "duplicate later": // the connection is idle, or has just been reused
			_, _ = io.WriteString(c, rawResponse(200, []string{id, ""}[rng.Intn(2)], body, false))
		}
		prev = id
	}
}

// discardRequest reads the rest of a request, and no bytes after it.
func discardRequest(br *bufio.Reader) bool {
	length, chunked := 0, false
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return false
		}
		if line == "\r\n" {
			break
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "Content-Length":
			length, _ = strconv.Atoi(value)
		case "Transfer-Encoding":
			chunked = true
		}
	}
	if !chunked {
		_, err := br.Discard(length)
		return err == nil
	}
	if _, err := io.Copy(io.Discard, httputil.NewChunkedReader(br)); err != nil {
		return false
	}
	_, err := br.ReadString('\n') // the empty line after the last chunk
	return err == nil
}

// hashID returns a hash of an id for use as a seed.
func hashID(s string) (h uint32) {
	for i := range len(s) {
		h = h*16777619 ^ uint32(s[i])
	}
	return h
}

// runClient sends requests split at random positions, sometimes pipelined, and sometimes disconnects
// within a request.
func runClient(t *testing.T, addr string, rng *rand.Rand, ids []string, model *exchangeModel) {
	for len(ids) > 0 {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Error(err)
			return
		}
		_ = c.SetDeadline(time.Now().Add(30 * time.Second))
		br := bufio.NewReader(c)
		for open := true; open && len(ids) > 0; {
			now := ids[:min(len(ids), 1+rng.Intn(8)/7)]
			ids = ids[len(now):]
			var raw []byte
			for _, id := range now {
				raw = append(raw, rawRequest(rng, id)...)
			}
			isAborted := rng.Intn(12) == 0
			if isAborted {
				raw = raw[:1+rng.Intn(len(raw))]
			}
			var pieces [][]byte
			for len(raw) > 0 {
				n := min(len(raw), 1+rng.Intn(max(1, len(raw))))
				pieces, raw = append(pieces, raw[:n]), raw[n:]
			}
			wrote := make(chan struct{})
			go func() { // the proxy may respond before it has read everything
				defer close(wrote)
				for _, x := range pieces {
					if _, err := c.Write(x); err != nil {
						return
					}
				}
			}()
			if isAborted {
				<-wrote
				break
			}
			for _, id := range now {
				if open = open && checkResponse(t, br, id, model); !open {
					break // requests pipelined behind it are not answered
				}
			}
			if open {
				<-wrote
			}
		}
		c.Close()
	}
}

// rawRequest returns a request in wire format.
func rawRequest(rng *rand.Rand, id string) []byte {
	var body []byte
	method, route := "POST", "once"
	if id[0] == 's' {
		route = "safe"
	}
	if route == "safe" && rng.Intn(2) == 0 {
		method = "GET"
	} else {
		body = bytes.Repeat([]byte{'b'}, []int{0, 10, 5000, 40000, maxBufferedRequestBytes + 20000}[rng.Intn(50)/12])
	}
	head := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline: 300\r\n", method, route, id, id)
	switch {
	case method == "GET":
		return []byte(head + "\r\n")
	case rng.Intn(3) == 0 && len(body) > 0:
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// checkResponse reads one response and checks that it belongs to the request. It reports whether the
// connection remains open.
func checkResponse(t *testing.T, br *bufio.Reader, id string, model *exchangeModel) (open bool) {
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if namedID := r.Header.Get("X-Attempt-Id"); namedID != "" && namedID != id {
		t.Errorf("request %s received the response to %s", id, namedID)
	}
	if want := expectedBody(id, ""); r.StatusCode < 300 && (r.Header.Get("X-Server-Signature") == "" || err == nil && !strings.HasPrefix(string(body), want)) {
		t.Errorf("request %s received body %q or no signature", id, body)
	}
	if r.StatusCode == 503 && r.Header.Get("Retry-After") == "" && id[0] == 'o' {
		t.Errorf("request %s: response with status 503 has no Retry-After header", id)
	}
	model.mu.Lock()
	model.statuses[id] = r.StatusCode
	model.mu.Unlock()
	return err == nil && !r.Close
}

// TestEndpointFaultsAgainstModel runs clients and endpoints that inject faults at any byte, by seed,
// and checks the results against the model: no client receives the response to another request, no
// request is delivered twice to one endpoint or more often than its route allows, a non-idempotent
// request is executed at most once, and never if the client was told that it was not executed.
func TestEndpointFaultsAgainstModel(t *testing.T) {
	seeds := 120
	if testing.Short() {
		seeds = 40
	}
	var mu sync.Mutex
	statuses, behaviorTotals := map[int]int{}, map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				model := runFaultSeed(t, int64(seed))
				mu.Lock()
				defer mu.Unlock()
				for _, s := range model.statuses {
					statuses[s]++
				}
				for behavior, n := range model.behaviorCounts {
					behaviorTotals[behavior] += n
				}
			})
		}
	})
	t.Logf("responses by status: %v; requests by endpoint behavior: %v", statuses, behaviorTotals)
	for _, s := range []int{200, 502, 503, 504} { // otherwise the seeds do not exercise the model
		if statuses[s] == 0 {
			t.Errorf("no response had status %d", s)
		}
	}
}

// runFaultSeed runs the clients and endpoints of one seed and checks the deliveries.
func runFaultSeed(t *testing.T, seed int64) *exchangeModel {
	const endpointCount, clientCount, requestsPerClient = 4, 6, 8
	model := &exchangeModel{deliveries: map[string]map[int]int{}, executions: map[string]int{}, statuses: map[string]int{}, behaviorCounts: map[string]int{}}
	set := controlplanetest.Settings(t, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	p.timeouts.ejectionBase, p.timeouts.ejectionMax = 1, 1 // otherwise faulty endpoints would soon be ejected
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), testConfig...)}, false)
	p.services["s"].retryBudget = loadbalance.NewRetryBudget(5, 1000)
	var serving sync.WaitGroup
	var listeners []net.Listener
	for i := range endpointCount {
		ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		e := &faultyEndpoint{t: t, index: i, seed: seed, model: model}
		serving.Add(1)
		go func() {
			defer serving.Done()
			for {
				c, err := ln.AcceptTCP()
				if err != nil {
					return
				}
				serving.Add(1)
				go func() {
					defer serving.Done()
					e.serve(c)
				}()
			}
		}()
		x := registry.Endpoint{ID: fmt.Sprint("i-", i), Service: "s", Address: ln.Addr().String(), Zone: "a", Capacity: 20}
		p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
		listeners = append(listeners, ln)
	}
	f := serveFrontend(t, p)
	var clients sync.WaitGroup
	for c := range clientCount {
		rng := rand.New(rand.NewSource(seed<<8 + int64(c)))
		var ids []string
		for i := range requestsPerClient {
			ids = append(ids, fmt.Sprintf("%c%d-%d-%d", "os"[rng.Intn(2)], seed, c, i))
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			runClient(t, f.listener.Addr().String(), rng, ids, model)
		}()
	}
	clients.Wait()
	// Stop the proxy and close its remaining connections, so that the model no longer changes.
	f.listener.Close()
	for f.closeIdle() > 0 {
		time.Sleep(time.Millisecond)
	}
	for i, ln := range listeners {
		ln.Close()
		p.services["s"].removeEndpoint(fmt.Sprint("i-", i))
	}
	serving.Wait()
	for id, at := range model.deliveries {
		total := 0
		for e, n := range at {
			if total += n; n > 1 {
				t.Errorf("%s was delivered %d times to endpoint %d, want at most 1", id, n, e)
			}
		}
		if total > 2 {
			t.Errorf("%s was delivered %d times, want at most 2", id, total)
		}
		if id[0] != 'o' {
			continue
		}
		if model.executions[id] > 1 {
			t.Errorf("%s was executed %d times, want at most 1", id, model.executions[id])
		}
		switch s := model.statuses[id]; s {
		case 408, 421, 429, 503:
			if model.executions[id] > 0 {
				t.Errorf("%s was executed despite status %d", id, s)
			}
		}
	}
	return model
}
