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
	"sync/atomic"
	"testing"
	"time"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/loadbalance"
	"lichentray/registry"
)

// ledger is the plain model: what endpoints did with each request, by its id.
type ledger struct {
	mu      sync.Mutex
	seen    map[string]map[int]int // id -> endpoint -> arrivals
	ran     map[string]int         // arrivals that the endpoint did not turn away
	answers map[string]int         // status that the client was given
	acts    map[string]int
}

// imp is an endpoint that misbehaves by a seeded script at any byte.
type imp struct {
	t    *testing.T
	n    int
	seed int64
	book *ledger
	mu   sync.Mutex
	last string // the id of the request read last, on any connection
}

func imped(id, who string) string { return "the answer to " + id + " by " + who }

// reply is one answer. named is the id that it names, "" for none; word tells that the
// endpoint has not run the request.
func reply(status int, named, body string, word bool) string {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	if named != "" {
		head += "X-Attempt-Id: " + named + "\r\n"
	}
	if word {
		head += "X-Not-Executed: 1\r\n"
	} else {
		head += "X-Server-Signature: s\r\n"
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

var poisoned = bytes.Repeat([]byte{'Z'}, 16<<10)

// poison overwrites buffers that were given back: whoever reads one still shows it.
func poison() {
	var held [2]*[]byte
	for i := range held {
		held[i] = heads.Get().(*[]byte)
		copy((*held[i])[:cap(*held[i])], poisoned)
	}
	for _, b := range held {
		heads.Put(b)
	}
}

func (e *imp) serve(c *net.TCPConn) {
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
		poison()
		e.book.mu.Lock()
		if e.book.seen[id] == nil {
			e.book.seen[id] = map[int]int{}
		}
		e.book.seen[id][e.n]++
		e.book.mu.Unlock()
		e.mu.Lock()
		other := e.last
		e.last = id
		e.mu.Unlock()
		rng := rand.New(rand.NewSource(e.seed ^ int64(len(id))<<32 ^ int64(e.n)<<40 ^ int64(hash(id))))
		act := [...]string{"good", "good", "good", "good", "good", "interim", "word", "word early", "early", "failed", "foreign", "unnamed", "late", "late word", "double", "double later", "cut", "mute", "long", "chunks", "leave"}[rng.Intn(21)]
		if prev == "" && strings.HasPrefix(act, "late") { // no answer of before to be late
			act = "good"
		}
		e.book.mu.Lock()
		e.book.acts[act]++
		if !strings.HasPrefix(act, "word") {
			e.book.ran[id]++
		}
		e.book.mu.Unlock()
		end := func() {
			if rng.Intn(2) == 0 {
				_ = c.SetLinger(0) // a reset
			}
		}
		who := strconv.Itoa(e.n)
		body := imped(id, who)
		if act == "long" {
			body += strings.Repeat(".", wholeBody)
		}
		a := reply(200, id, body, false)
		switch act {
		case "chunks":
			at := 1 + rng.Intn(len(body)-1)
			a = strings.Replace(reply(200, id, "", false), "Content-Length: 0", "Transfer-Encoding: chunked", 1)
			a += fmt.Sprintf("%x;x=y\r\n%s\r\n%x\r\n%s\r\n0\r\nX-T: v\r\n\r\n", at, body[:at], len(body)-at, body[at:])
		case "word", "word early":
			a = reply([]int{503, 429, 421, 400}[rng.Intn(4)], id, "", true)
		case "failed":
			a = reply([]int{500, 502, 503, 429, 408, 504}[rng.Intn(6)], id, "f", false)
		case "foreign":
			if other == "" || other == id {
				other = "nobody"
			}
			a = reply(200, other, imped(other, who), false)
		case "unnamed":
			a = reply(200, "", body, false)
		case "late": // the answer of before stands where this one is due
			a = reply(200, []string{prev, ""}[rng.Intn(2)], imped(prev, who), false) + a
		case "late word":
			a = reply(503, []string{prev, ""}[rng.Intn(2)], "", true) + a
		case "interim":
			a = strings.Repeat("HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n", rng.Intn(4)) + "HTTP/1.1 100 Continue\r\n\r\n" + a
		case "double":
			a += reply([]int{200, 503}[rng.Intn(2)], []string{id, "", "next"}[rng.Intn(3)], imped(id, who), rng.Intn(2) == 0)
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
		if !rest(br) {
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
			_, _ = io.WriteString(c, reply(200, []string{id, ""}[rng.Intn(2)], body, false))
		}
		prev = id
	}
}

// rest reads what is left of a request and no further.
func rest(br *bufio.Reader) bool {
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

func hash(s string) (h uint32) {
	for i := range len(s) {
		h = h*16777619 ^ uint32(s[i])
	}
	return h
}

// caller is a client that splits what it sends at any byte, pipelines and leaves.
func caller(t *testing.T, addr string, rng *rand.Rand, ids []string, book *ledger) {
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
				raw = append(raw, asked(rng, id)...)
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
				if open = open && receive(t, br, id, book); !open {
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

// asked is a request as it goes on the wire.
func asked(rng *rand.Rand, id string) []byte {
	var body []byte
	how, route := "POST", "once"
	if id[0] == 's' {
		route = "safe"
	}
	if route == "safe" && rng.Intn(2) == 0 {
		how = "GET"
	} else {
		body = bytes.Repeat([]byte{'b'}, []int{0, 10, 5000, 40000, prefetch + 20000}[rng.Intn(50)/12])
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

// receive reads one answer and holds it against the request that it is due to.
func receive(t *testing.T, br *bufio.Reader, id string, book *ledger) (open bool) {
	r, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(r.Body)
	if named := r.Header.Get("X-Attempt-Id"); named != "" && named != id {
		t.Errorf("%s got the answer to %s", id, named)
	}
	if want := imped(id, ""); r.StatusCode < 300 && (r.Header.Get("X-Server-Signature") == "" || err == nil && !strings.HasPrefix(string(body), want)) {
		t.Errorf("%s got %q", id, body)
	}
	if r.StatusCode == 503 && r.Header.Get("Retry-After") == "" && id[0] == 'o' {
		t.Errorf("%s was refused without a time to come back", id)
	}
	book.mu.Lock()
	book.answers[id] = r.StatusCode
	book.mu.Unlock()
	return err == nil && !r.Close
}

// TestBytes plays seeds of clients and endpoints that misbehave at any byte and holds
// all of it against the model: no answer to another request, no request twice at one
// endpoint or more often than its route allows, one that may run once taken once, and a
// promise that it has not run kept to the end.
func TestBytes(t *testing.T) {
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
				book := playBytes(t, int64(seed))
				mu.Lock()
				defer mu.Unlock()
				for _, s := range book.answers {
					statuses[s]++
				}
				for a, n := range book.acts {
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

func playBytes(t *testing.T, seed int64) *ledger {
	const endpoints, callers, each = 4, 6, 8
	book := &ledger{seen: map[string]map[int]int{}, ran: map[string]int{}, answers: map[string]int{}, acts: map[string]int{}}
	set := controlplanetest.Settings(t, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
	p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	p.timing.EjectBase, p.timing.EjectMost = 1, 1 // or the worst would soon be left alone
	p.takeObject(registry.Object{Key: registry.ConfigKey, Value: append(make([]byte, 8), routes...)}, false)
	p.services["s"].budget = loadbalance.NewRetryBudget(5, 1000)
	var serving sync.WaitGroup
	var listeners []net.Listener
	for i := range endpoints {
		ln, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		e := &imp{t: t, n: i, seed: seed, book: book}
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
		p.takeObject(registry.Object{Key: x.Key(), Value: x.Encode()}, false)
		listeners = append(listeners, ln)
	}
	f := openFront(t, p)
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
			caller(t, f.ln.Addr().String(), rng, ids, book)
		}()
	}
	calling.Wait()
	// Nothing more comes: the node is stopped, and its last connections with it.
	f.ln.Close()
	for f.endIdle() > 0 {
		time.Sleep(time.Millisecond)
	}
	for i, ln := range listeners {
		ln.Close()
		p.services["s"].remove(fmt.Sprint("i-", i))
	}
	serving.Wait()
	for id, at := range book.seen {
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
		if book.ran[id] > 1 {
			t.Errorf("%s was taken %d times", id, book.ran[id])
		}
		switch s := book.answers[id]; s {
		case 408, 421, 429, 503:
			if book.ran[id] > 0 {
				t.Errorf("%s was answered %d and was taken", id, s)
			}
		}
	}
	return book
}

// TestHeldBack: an answer goes out when it is there, also if the next request of its
// connection has come by then and takes its time (head-of-line).
func TestHeldBack(t *testing.T) {
	next := make(chan struct{})
	e := newEndpoint(t, func(int, string) string {
		<-next
		return ok("x")
	})
	_, addr := front(t, e)
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(c, "GET /none HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a0\r\n\r\n"+get("/safe/a")); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	r, err := http.ReadResponse(br, nil)
	close(next)
	if err != nil || r.StatusCode != 404 {
		t.Fatalf("the first answer waits for the second: %v", err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r, err := http.ReadResponse(br, nil); err != nil || r.StatusCode != 200 {
		t.Errorf("the second answer: %v", err)
	}
}

// TestWithoutID: a request without X-Attempt-Id takes no connection that has served
// another, as nothing would tell its answer from one in excess.
func TestWithoutID(t *testing.T) {
	e := newEndpoint(t, func(int, string) string { return ok("x") })
	p, addr := front(t, e)
	ask := func(raw string) {
		if s := status(send(t, addr, raw, 1)); s != 200 {
			t.Errorf("answered %d", s)
		}
	}
	sh := func() int { return p.services["s"].shelves[p.services["s"].pool.Endpoints()[0]].count() }
	ask(get("/safe/a"))
	if sh() != 1 {
		t.Fatal("the connection was not kept")
	}
	ask(strings.Replace(get("/safe/b"), "X-Attempt-Id: a1\r\n", "", 1))
	if sh() != 2 {
		t.Errorf("%d connections are kept, the request without an id took one", sh())
	}
	ask(get("/safe/c"))
	if sh() != 2 {
		t.Errorf("%d connections are kept after a request with an id", sh())
	}
}

// TestEarlyAnswer: an endpoint that turns a request away before it has read it, and
// closes, is taken at its word although the rest could not be sent.
func TestEarlyAnswer(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		if _, err = bufio.NewReader(c).ReadString('\n'); err == nil {
			_, _ = io.WriteString(c, strings.Replace(notRun, "X-Not", "X-Attempt-Id: a2\r\nX-Not", 1))
		}
		c.Close() // with bytes unread: a reset
	}()
	_, addr := front(t, &endpoint{ln: ln})
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	body := strings.Repeat("b", prefetch)
	_, _ = fmt.Fprintf(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\nX-Deadline: 9000\r\nContent-Length: %d\r\n\r\n%sb", 2*prefetch, body)
	<-ended
	_, _ = io.WriteString(c, body[1:])
	if r, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || r.StatusCode != 503 {
		t.Errorf("answered %+v, %v", r, err)
	}
}

// TestBrokenUpload: a client that hangs up in the middle of a body of a stated length
// has sent no request: no endpoint gets one with what had come by then as its body.
func TestBrokenUpload(t *testing.T) {
	var arrived atomic.Int64
	e := newEndpoint(t, func(int, string) string { arrived.Add(1); return ok("x") })
	p, addr := front(t, e)
	sizes := [][2]int{{40000, 20000}, {40000, 39999}, {prefetch, prefetch - 1}, {2 * prefetch, prefetch}}
	for i, x := range sizes {
		c, err := net.Dial("tcp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /once/a HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a%d\r\nX-Deadline: 9000\r\nContent-Length: %d\r\n\r\n%s", i, x[0], strings.Repeat("b", x[1]))
		_ = c.(*net.TCPConn).CloseWrite()
		if r, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && r.StatusCode != 400 {
			t.Errorf("%d of %d bytes: answered %d", x[1], x[0], r.StatusCode)
		}
		c.Close()
	}
	if n := p.n.requests.Value(); arrived.Load() != 0 || n != int64(len(sizes)) {
		t.Errorf("%d requests reached an endpoint, %d the proxy", arrived.Load(), n)
	}
}
