package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// worldGrace is grace_period_s of boundsWorld.
	worldGrace = 6 * time.Second
	// uploadSize is the size of an upload in bytes. The site has up to 360,000; a proxy reads up to 262,144
	// before it forwards, so this one is read whole.
	uploadSize = 250000
	// uploadStart is how much of an upload an endpoint reads before it goes on with its work.
	uploadStart = 16 << 10
	// uploadWork is how long an endpoint works before it reads the rest. The site has up to 2.3 s.
	uploadWork = 1800 * time.Millisecond
	// uploadGap is the time between two uploads, and uploadCount how many there are. The last one
	// is sent 2.8 s after the SIGTERM.
	uploadGap   = 400 * time.Millisecond
	uploadCount = 8
)

func init() { plays["latereader"] = playLateReader }

// passage is what became of one request, in times after the SIGTERM.
type passage struct {
	id    string
	sent  time.Duration
	begun time.Duration // by its endpoint; 0 if it was not passed on
	done  time.Duration // by its endpoint: answered, and the body read; 0 if it was not
	// cutOff is when the endpoint found its connection closed or reset; 0 if it did not.
	cutOff time.Duration
	answer answer
}

func (p *passage) String() string {
	text := fmt.Sprintf("%s sent %.3f s after the SIGTERM, ", p.id, p.sent.Seconds())
	switch {
	case p.begun == 0:
		text += "not begun by an endpoint"
	case p.cutOff > 0:
		text += fmt.Sprintf("begun by its endpoint at %.3f, which found its connection closed at %.3f", p.begun.Seconds(), p.cutOff.Seconds())
	default:
		text += fmt.Sprintf("begun by its endpoint at %.3f, which had done all at %.3f", p.begun.Seconds(), p.done.Seconds())
	}
	return fmt.Sprintf("%s; the client got %v", text, p.answer)
}

// passages are the requests of a case by their ids.
type passages struct {
	mu         sync.Mutex
	terminated time.Time
	all        map[string]*passage
}

// set changes what is known of a request. after is the time since the SIGTERM.
func (p *passages) set(id string, change func(one *passage, after time.Duration)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all[id] == nil {
		p.all[id] = &passage{id: id}
	}
	change(p.all[id], time.Since(p.terminated))
}

// terminate sends SIGTERM to a proxy.
func (p *passages) terminate(r *run, proxy int) {
	p.mu.Lock()
	p.terminated = time.Now()
	p.mu.Unlock()
	must(r.fleet.process("lichentray-proxy", proxy).Process.Signal(syscall.SIGTERM))
	r.note("SIGTERM to the proxy of machine %d", proxy+1)
}

// countLost notes all requests and returns how many of them an endpoint had begun whose client has no
// complete answer of an endpoint. Not counted is what ended after five seconds, or in the last sixth of the grace
// period: long before that are the deadline and the time-out of the route.
func (p *passages) countLost(r *run) (lost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*passage
	for _, one := range p.all {
		all = append(all, one)
	}
	slices.SortFunc(all, func(a, b *passage) int { return int(a.sent - b.sent) })
	for _, one := range all {
		r.note("%v", one)
		hasNone := one.answer.err != nil || one.answer.isOwn()
		if one.begun > 0 && hasNone && one.answer.took < 5*time.Second && one.sent+one.answer.took < worldGrace*5/6 {
			lost++
		}
	}
	r.note("requests passed on to an endpoint, and ended by the proxy without the endpoint's answer: %d of %d", lost, len(all))
	return lost
}

// sendInTurn sends requests to a proxy, each on a connection of its own and uploadGap after the one before,
// and waits for the answers.
func (p *passages) sendInTurn(r *run, proxy int, template request) {
	var clients sync.WaitGroup
	for i := range uploadCount {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * uploadGap)
			q := template
			q.id = fmt.Sprintf("r%d", i)
			c, err := connect(r.fleet.frontendAddr(proxy))
			if err != nil {
				r.note("%s: the client cannot connect: %v", q.id, err)
				return
			}
			defer c.close()
			p.set(q.id, func(one *passage, after time.Duration) { one.sent = after })
			a := c.send(q)
			p.set(q.id, func(one *passage, _ time.Duration) { one.answer = a })
		})
	}
	clients.Wait()
}

// playLateReader ends a proxy by SIGTERM. Uploads that it takes in the three seconds after that go to
// endpoints which begin to work when they have read the start of a long body, and read the rest when that work
// is done. No request that was passed on may be left without its endpoint's answer (LOST). The disruption that
// TROUBLE=0 leaves out is that the endpoints read late: then they read all first.
func playLateReader(r *run) bool {
	r.fleet = newFleet(deployment{bounds: boundsWorld, entryType: "directory", kind: "world", zones: []string{"scanhalle", "kellerraum", "dachstock"}})
	f := r.fleet
	f.startAll(uploadConfiguration, true)
	p := &passages{all: map[string]*passage{}}
	exchange := func(e *endpoint, conn net.Conn, q *http.Request) (isKept bool) {
		id := q.Header.Get("X-Attempt-Id")
		p.set(id, func(one *passage, after time.Duration) { one.begun = after })
		size := int64(uploadSize)
		if r.isTrouble {
			size = uploadStart
		}
		_, err := io.CopyN(io.Discard, q.Body, size)
		time.Sleep(uploadWork)
		if err == nil {
			_, err = io.Copy(io.Discard, q.Body)
		}
		if err == nil {
			err = answerSigned(e, conn, id)
		}
		p.set(id, func(one *passage, after time.Duration) {
			if one.done = after; err != nil {
				one.cutOff = after
			}
		})
		return err == nil
	}
	for i := range f.zones {
		f.startRawEndpoint(i, fmt.Sprintf("i-%d", i), "eingang", 6, exchange)
	}
	time.Sleep(worldContact + time.Second)
	const proxy = 0
	p.terminate(r, proxy)
	p.sendInTurn(r, proxy, request{method: http.MethodPost, host: "herbar.example", path: "/einlieferung/1", deadline: 10 * time.Second, bodySize: uploadSize})
	time.Sleep(uploadWork + time.Second) // endpoints notice by then that their connection is closed
	return p.countLost(r) > 0
}

// answerSigned answers a request with a complete, signed success.
func answerSigned(e *endpoint, conn net.Conn, id string) error {
	text := fmt.Sprintf("%s answers %s\n", e.id, id)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\nContent-Length: %d\r\n\r\n%s", id, e.id+"."+id, len(text), text)
	return err
}
