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

// exchangeModel is the plain model: what endpoints did with each request, by its id.
type exchangeModel struct {
	mu         sync.Mutex
	deliveries map[string]map[int]int // id -> endpoint -> arrivals
	executions map[string]int         // arrivals that the endpoint did not turn away
	statuses   map[string]int         // status that the client was given
	behaviors  map[string]int
}

// faultyEndpoint is an endpoint that misbehaves by a seeded script at any byte.
type faultyEndpoint struct {
	t      *testing.T
	index  int
	seed   int64
	model  *exchangeModel
	mu     sync.Mutex
	lastID string // the id of the request read last, on any connection
}

// expectedBody is the body of an endpoint's answer to a request.
func expectedBody(id, who string) string { return "the answer to " + id + " by " + who }

// rawResponse is one response. named is the id that it names, empty for none; isUnprocessed says
// that it states that the request was not executed.
func rawResponse(status int, named, body string, isUnprocessed bool) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	if named != "" {
		head += "X-Attempt-Id: " + named + "\r\n"
	}
	if isUnprocessed {
		head += "X-Not-Executed: 1\r\n"
	} else {
		head += "X-Server-Signature: s\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// poisonBytes is what poisoned buffers contain.
var poisonBytes = bytes.Repeat([]byte{'Z'}, 16<<10)

// poisonHeadBuffers overwrites buffers that were returned to their pool: whoever still reads one
// shows it.
func poisonHeadBuffers() {
	var held [2]*[]byte
	for i := range held {
		held[i] = headBuffers.Get().(*[]byte)
		copy((*held[i])[:cap(*held[i])], poisonBytes)
	}
	for _, b := range held {
		headBuffers.Put(b)
	}
}

// serve misbehaves on one connection.
func (e *faultyEndpoint) serve(c *net.TCPConn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second)) // a test that hangs ends
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
		rng := rand.New(rand.NewSource(e.seed ^ int64(len(id))<<32 ^ int64(e.index)<<40 ^ int64(hash(id))))
		act := [...]string{"good", "good", "good", "good", "good", "interim", "word", "word early", "early", "failed", "foreign", "unnamed", "late", "late word", "double", "double later", "cut", "mute", "long", "chunks", "leave"}[rng.Intn(21)]
		if prev == "" && strings.HasPrefix(act, "late") { // no answer of before to be late
			act = "good"
		}
		e.model.mu.Lock()
		e.model.behaviors[act]++
		if !strings.HasPrefix(act, "word") {
			e.model.executions[id]++
		}
		e.model.mu.Unlock()
		end := func() {
			if rng.Intn(2) == 0 {
				_ = c.SetLinger(0) // a reset
			}
		}
		who := strconv.Itoa(e.index)
		body := expectedBody(id, who)
		if act == "long" {
			body += strings.Repeat(".", maxBufferedResponse)
		}
		a := rawResponse(200, id, body, false)
		switch act {
		case "chunks":
			at := 1 + rng.Intn(len(body)-1)
			a = strings.Replace(rawResponse(200, id, "", false), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
			a += fmt.Sprintf("%x;x=y\r\n%s\r\n%x\r\n%s\r\n0\r\nX-T: v\r\n\r\n", at, body[:at], len(body)-at, body[at:])
		case "word", "word early":
			a = rawResponse([]int{503, 429, 421, 400}[rng.Intn(4)], id, "", true)
		case "failed":
			a = rawResponse([]int{500, 502, 503, 429, 408, 504}[rng.Intn(6)], id, "f", false)
		case "foreign":
			if other == "" || other == id {
				other = "nobody"
			}
			a = rawResponse(200, other, expectedBody(other, who), false)
		case "unnamed":
			a = rawResponse(200, "", body, false)
		case "late": // the answer of before stands where this one is due
			a = rawResponse(200, []string{prev, ""}[rng.Intn(2)], expectedBody(prev, who), false) + a
		case "late word":
			a = rawResponse(503, []string{prev, ""}[rng.Intn(2)], "", true) + a
		case "interim":
			a = strings.Repeat("HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n", rng.Intn(4)) + "HTTP/1.1 100 Continue\r\n\r\n" + a
		case "double":
			a += rawResponse([]int{200, 503}[rng.Intn(2)], []string{id, "", "next"}[rng.Intn(3)], expectedBody(id, who), rng.Intn(2) == 0)
		}
		if strings.HasSuffix(act, "early") { // before the body, perhaps before the head is read
			end()
			_, _ = io.WriteString(c, a)
			return
		}
		if act == "leave" && rng.Intn(2) == 0 {
			end()
			return
		}
		if !discardRequest(br) {
			return
		}
		switch act {
		case "leave":
			end()
			return
		case "mute":
			_, _ = io.Copy(io.Discard, br)
			return
		case "cut":
			a = a[:rng.Intn(len(a))]
			end()
		}
		for len(a) > 0 { // in pieces, split at any byte
			n := min(len(a), 1+rng.Intn(max(1, 2*len(a)/3)))
			if _, err := io.WriteString(c, a[:n]); err != nil {
				return
			}
			a = a[n:]
		}
		switch act {
		case "cut":
			return
		case "double later": // on a connection that rests, or that was just taken again
			_, _ = io.WriteString(c, rawResponse(200, []string{id, ""}[rng.Intn(2)], body, false))
		}
		prev = id
	}
}

// discardRequest reads the rest of a request and no further.
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
	_, err := br.ReadString('\n') // after the last chunk
	return err == nil
}

// hash derives a seed from an id.
func hash(s string) (h uint32) {
	for i := range len(s) {
		h = h*16777619 ^ uint32(s[i])
	}
	return h
}

// runClient is a client that splits what it sends at any byte, pipelines and hangs up.
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
			leaves := rng.Intn(12) == 0
			if leaves {
				raw = raw[:1+rng.Intn(len(raw))]
			}
			var pieces [][]byte
			for len(raw) > 0 {
				n := min(len(raw), 1+rng.Intn(max(1, len(raw))))
				pieces, raw = append(pieces, raw[:n]), raw[n:]
			}
			wrote := make(chan struct{})
			go func() { // the node may answer before it has read all
				defer close(wrote)
				for _, x := range pieces {
					if _, err := c.Write(x); err != nil {
						return
					}
				}
			}()
			if leaves {
				<-wrote
				break
			}
			for _, id := range now {
				if open = open && checkResponse(t, br, id, model); !open {
					break // what was pipelined behind it is not answered
				}
			}
			if open {
				<-wrote
			}
		}
		c.Close()
	}
}

// rawRequest is a request as it is on the wire.
func rawRequest(rng *rand.Rand, id string) []byte {
	var body []byte
	how, route := "POST", "once"
	if id[0] == 's' {
		route = "safe"
	}
	if route == "safe" && rng.Intn(2) == 0 {
		how = "GET"
	} else {
		body = bytes.Repeat([]byte{'b'}, []int{0, 10, 5000, 40000, maxBufferedRequest + 20000}[rng.Intn(50)/12])
	}
	head := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: %s\r\nX-Deadline: 300\r\n", how, route, id, id)
	switch {
	case how == "GET":
		return []byte(head + "\r\n")
	case rng.Intn(3) == 0 && len(body) > 0:
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// checkResponse reads one response and checks it against the request that it is due to.
func checkResponse(t *testing.T, br *bufio.Reader, id string, model *exchangeModel) (open bool) {
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if named := r.Header.Get("X-Attempt-Id"); named != "" && named != id {
		t.Errorf("%s got the answer to %s", id, named)
	}
	if want := expectedBody(id, ""); r.StatusCode < 300 && (r.Header.Get("X-Server-Signature") == "" || err == nil && !strings.HasPrefix(string(body), want)) {
		t.Errorf("%s got %q", id, body)
	}
	if r.StatusCode == 503 && r.Header.Get("Retry-After") == "" && id[0] == 'o' {
		t.Errorf("%s was refused without a time to come back", id)
	}
	model.mu.Lock()
	model.statuses[id] = r.StatusCode
	model.mu.Unlock()
	return err == nil && !r.Close
}

// TestByteFaultsAgainstModel plays seeds of clients and endpoints that misbehave at any byte and checks
// all of it against the model: no response to another request, no request twice at one endpoint
// or more often than its route allows, one that is not idempotent executed at most once, and a
// promise that it was not executed kept.
func TestByteFaultsAgainstModel(t *testing.T) {
	seeds := 120
	if testing.Short() {
		seeds = 40
	}
	var mu sync.Mutex
	statuses, acts := map[int]int{}, map[string]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				model := playByteSeed(t, int64(seed))
				mu.Lock()
				defer mu.Unlock()
				for _, s := range model.statuses {
					statuses[s]++
				}
				for a, n := range model.behaviors {
					acts[a] += n
				}
			})
		}
	})
	t.Logf("answers by status: %v; by what endpoints did: %v", statuses, acts)
	for _, s := range []int{200, 502, 503, 504} { // or the model was held against nothing
		if statuses[s] == 0 {
			t.Errorf("no answer was %d", s)
		}
	}
}

// playByteSeed plays one seed.
func playByteSeed(t *testing.T, seed int64) *exchangeModel {
	const endpoints, callers, each = 4, 6, 8
	model := &exchangeModel{deliveries: map[string]map[int]int{}, executions: map[string]int{}, statuses: map[string]int{}, behaviors: map[string]int{}}
	set := controlplanetest.Settings(t, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	p.timeouts.ejectionBase, p.timeouts.ejectionMax = 1, 1 // or the worst would soon be left alone
	p.applyObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), testConfig...)}, false)
	p.services["s"].retryBudget = loadbalance.NewRetryBudget(5, 1000)
	var serving sync.WaitGroup
	var listeners []net.Listener
	for i := range endpoints {
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
	var calling sync.WaitGroup
	for c := range callers {
		rng := rand.New(rand.NewSource(seed<<8 + int64(c)))
		var ids []string
		for i := range each {
			ids = append(ids, fmt.Sprintf("%c%d-%d-%d", "os"[rng.Intn(2)], seed, c, i))
		}
		calling.Add(1)
		go func() {
			defer calling.Done()
			runClient(t, f.listener.Addr().String(), rng, ids, model)
		}()
	}
	calling.Wait()
	// Nothing more comes: the node is stopped, and its last connections with it.
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
		times := 0
		for e, n := range at {
			if times += n; n > 1 {
				t.Errorf("%s came %d times to endpoint %d", id, n, e)
			}
		}
		if times > 2 {
			t.Errorf("%s came %d times", id, times)
		}
		if id[0] != 'o' {
			continue
		}
		if model.executions[id] > 1 {
			t.Errorf("%s was taken %d times", id, model.executions[id])
		}
		switch s := model.statuses[id]; s {
		case 408, 421, 429, 503:
			if model.executions[id] > 0 {
				t.Errorf("%s was answered %d and was taken", id, s)
			}
		}
	}
	return model
}
