package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// rolloutTerm is the time that the order gives. The site has up to 16 s.
	rolloutTerm = 16 * time.Second
	// failedShare is the part of its answers that the bad version fails with 500, one in so many, and
	// brokenShare the part that it breaks off instead where BAD=broken. The site has up to 0.5.
	failedShare = 20
	brokenShare = 6
	// rolloutClients send one request each rolloutPause.
	rolloutClients = 30
	rolloutPause   = 80 * time.Millisecond
	// exposureRatio, exposureSlack and rollbackBound are exposure_ratio, exposure_slack and rollback_s of
	// boundsRollout.
	exposureRatio = 0.1
	exposureSlack = 50
	rollbackBound = 5 * time.Second
	// judgedAnswer is the bad answer from which rollback_s counts.
	judgedAnswer = 50
)

func init() { plays["mildlybad"] = playMildlyBad }

// rolloutLog is what arrived at the endpoints of a service.
type rolloutLog struct {
	mu     sync.Mutex
	byID   map[string]time.Time // when the client had sent it
	target []rolloutArrival
	total  []time.Time
}

// rolloutArrival is a request that reached the target version.
type rolloutArrival struct {
	id    string
	at    time.Time
	isBad bool
}

// playMildlyBad brings in a version that fails one in twenty of its requests with 500; with BAD=broken in the
// environment it breaks off one of its answers in six instead. A bad version must not get more than exposure_ratio of the
// requests until the term, and none rollback_s after its 50th bad answer (EXPOSURE). The disruption that TROUBLE=0
// leaves out is that the version is bad.
func playMildlyBad(r *run) bool {
	r.fleet = newFleet(deployment{bounds: boundsRollout, entryType: "virtual_ip", guarantees: `"base","drain","config","cost","retry","recover","coord","rollout"`, zones: []string{"scanhalle", "kellerraum", "dachstock"}})
	f := r.fleet
	f.startAll(rolloutConfiguration, true)
	log := &rolloutLog{byID: map[string]time.Time{}}
	ran, share := 0, failedShare
	isBreaking := os.Getenv("BAD") == "broken"
	if isBreaking {
		share = brokenShare
	}
	exchange := func(e *endpoint, conn net.Conn, q *http.Request) (isKept bool) {
		id := q.Header.Get("X-Attempt-Id")
		_, _ = io.Copy(io.Discard, q.Body)
		now := time.Now()
		isBad := false
		log.mu.Lock()
		log.total = append(log.total, now)
		if e.version == "v2" {
			ran++
			isBad = r.isTrouble && ran%share == 0
			log.target = append(log.target, rolloutArrival{id: id, at: now, isBad: isBad})
		}
		log.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		signed := fmt.Sprintf("X-Attempt-Id: %s\r\nX-Server-Signature: %s\r\n", id, e.id+"."+id)
		switch {
		case isBad && !isBreaking:
			_, err := io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\n"+signed+"Content-Length: 0\r\n\r\n")
			return err == nil
		case isBad: // it ends before its body is complete
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+signed+"Content-Length: 20\r\n\r\n0123456789")
			return false
		}
		return answerSigned(e, conn, id) == nil
	}
	var old []*endpoint
	for i := range 6 {
		old = append(old, f.startVersion(i%3, fmt.Sprintf("i-old%d", i), "katalog", "v1", 8, exchange))
	}
	for i := range 6 {
		f.startVersion(i%3, fmt.Sprintf("i-new%d", i), "katalog", "v2", 8, exchange)
	}
	time.Sleep(placesContact + time.Second)
	ended := make(chan struct{})
	var clients sync.WaitGroup
	failures := map[int]int{}
	for k := range rolloutClients {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				case <-time.After(rolloutPause):
				}
				conn, err := connect(f.frontendAddr(k % 3))
				if err != nil {
					continue
				}
				id := fmt.Sprintf("c%d-%d", k, n)
				log.mu.Lock()
				log.byID[id] = time.Now()
				log.mu.Unlock()
				a := conn.send(request{method: http.MethodPost, host: "herbar.example", path: "/reserve/1", id: id, deadline: 3 * time.Second})
				conn.close()
				log.mu.Lock()
				failures[a.status]++
				log.mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	order := fmt.Sprintf(`{"backend_service":"katalog","target_version":"v2","deadline_s":%d}`, int(rolloutTerm.Seconds()))
	status, _, err := f.call(0, "rollouts.begin", "", order)
	ordered := time.Now()
	r.note("rollouts.begin %s: status %d, error %v", order, status, err)
	if status != http.StatusOK {
		panic(impossible("the order was not acknowledged"))
	}
	state := ""
	for time.Since(ordered) < rolloutTerm+4*rollbackBound {
		time.Sleep(200 * time.Millisecond)
		var read struct {
			State string `json:"state"`
			Why   string `json:"why"`
		}
		if status, answer, _ := f.call(1, "rollouts.read", "katalog", ""); status == http.StatusOK && json.Unmarshal(answer, &read) == nil && read.State != state {
			state = read.State
			r.note("%.1f s after the order the state is %s %s", time.Since(ordered).Seconds(), read.State, read.Why)
			if state == "succeeded" {
				for _, e := range old {
					e.stop()
				}
				r.note("the old endpoints stop")
			}
		}
	}
	close(ended)
	clients.Wait()
	return r.judgeExposure(log, ordered, failures)
}

// judgeExposure checks both sentences of the rule.
func (r *run) judgeExposure(log *rolloutLog, ordered time.Time, failures map[int]int) bool {
	log.mu.Lock()
	defer log.mu.Unlock()
	term := ordered.Add(rolloutTerm)
	within := func(at time.Time) bool { return at.After(ordered) && at.Before(term) }
	total, exposed, bad, late := 0, 0, 0, 0
	for _, at := range log.total {
		if within(at) {
			total++
		}
	}
	var judged time.Time
	for _, a := range log.target {
		if within(a.at) {
			exposed++
		}
		if !judged.IsZero() && log.byID[a.id].Sub(judged) > rollbackBound {
			late++
		}
		if a.isBad {
			if bad++; bad == judgedAnswer {
				judged = a.at
				r.note("the 50th bad answer comes %.1f s after the order", a.at.Sub(ordered).Seconds())
			}
		}
	}
	limit := exposureRatio*float64(total) + exposureSlack
	r.note("requests that reached the service from the order to its term: %d, of these the new version: %d, allowed for a bad one: %.0f", total, exposed, limit)
	r.note("answers of the new version in all: %d, bad ones: %d; requests that reached it and were sent later than rollback_s after the 50th bad answer: %d", len(log.target), bad, late)
	r.note("what clients got, by status: %v", failures)
	return bad > 0 && (float64(exposed) > limit || late > 0)
}
