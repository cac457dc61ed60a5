package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answerWork is how long an endpoint works on an answer whose head it has sent.
const answerWork = 300 * time.Millisecond

func init() { plays["nolength"] = playNoLength }

// playNoLength ends a proxy by SIGTERM. Requests that it takes in the three seconds after that go to endpoints
// whose answers have no length and end with their connection: the head is sent at once, the body when the
// work is done. No request that was passed on may be left without its endpoint's answer (LOST). The
// disruption that TROUBLE=0 leaves out is that the length is missing.
func playNoLength(r *run) bool {
	r.fleet = newFleet(deployment{bounds: boundsWorld, entryType: "directory", kind: "world", zones: []string{"scanhalle", "kellerraum", "dachstock"}})
	f := r.fleet
	f.startAll(worldConfiguration, true)
	p := &passages{all: map[string]*passage{}}
	exchange := func(e *endpoint, conn net.Conn, q *http.Request) (isKept bool) {
		id := q.Header.Get("X-Attempt-Id")
		p.set(id, func(one *passage, after time.Duration) { one.begun = after })
		_, err := io.Copy(io.Discard, q.Body)
		text := fmt.Sprintf("%s answers %s\n", e.id, id)
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s\r\nConnection: close\r\n", id, e.id+"."+id)
		if !r.isTrouble {
			head += fmt.Sprintf("Content-Length: %d\r\n", len(text))
		}
		if err == nil {
			_, err = io.WriteString(conn, head+"\r\n")
		}
		time.Sleep(answerWork)
		// Whoever is still there has sent nothing more.
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, readErr := conn.Read(make([]byte, 1)); err == nil && readErr != nil {
			if t, ok := readErr.(net.Error); !ok || !t.Timeout() {
				err = readErr
			}
		}
		if err == nil {
			_, err = io.WriteString(conn, text)
		}
		p.set(id, func(one *passage, after time.Duration) {
			if one.done = after; err != nil {
				one.cutOff = after
			}
		})
		return false
	}
	for i := range f.zones {
		f.startRawEndpoint(i, fmt.Sprintf("i-%d", i), "leihbuch", 6, exchange)
	}
	time.Sleep(worldContact + time.Second)
	const proxy = 0
	p.terminate(r, proxy)
	p.sendInTurn(r, proxy, request{method: http.MethodPost, host: "herbar.example", path: "/ausleihe/1", deadline: 8 * time.Second})
	time.Sleep(answerWork + time.Second) // endpoints notice by then that their connection is closed
	return p.countLost(r) > 0
}
