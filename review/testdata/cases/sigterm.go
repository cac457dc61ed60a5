package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() { plays["sigterm"] = playSigterm }

// playSigterm ends a proxy of a global tier by SIGTERM, as the platform does. Clients that were
// sent there by the directory just before, and hold its answer three times as long as it says,
// send requests late in the grace period.
func playSigterm(r *run) bool {
	const grace = 6 * time.Second
	r.fleet = newFleet(deployment{bounds: boundsWorld, entryType: "directory", kind: "world", zones: []string{"scanhalle", "kellerraum", "dachstock"}})
	f := r.fleet
	f.startAll(worldConfiguration, true)
	var mu sync.Mutex
	ran := map[string]time.Time{}
	finished := map[string]time.Time{}
	work := func(q *http.Request) int {
		time.Sleep(2300 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		finished[q.Header.Get("X-Attempt-Id")] = time.Now()
		return http.StatusOK
	}
	onRun := func(e *endpoint, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ran[q.Header.Get("X-Attempt-Id")] = time.Now()
	}
	for i := range f.zones {
		f.startEndpoint(i, fmt.Sprintf("i-%d", i), "leihbuch", 6, work, onRun)
	}
	time.Sleep(8 * time.Second) // longer than contact_s
	const proxy = 0
	var told struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttl_s"`
	}
	var asked time.Time
	f.await("the directory names the proxy", func() bool {
		asked = time.Now()
		resp, err := f.controlHTTP.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=herbar.example&region=region&zone=%s", f.ip(proxy), f.directory, f.zones[proxy]))
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == 200 && json.NewDecoder(resp.Body).Decode(&told) == nil && slices.Contains(told.Addresses, f.frontendAddr(proxy))
	})
	held := time.Duration(3 * min(told.TTL, 5) * float64(time.Second))
	r.note("the directory names %v for %.2f s; these clients hold it for %v", told.Addresses, told.TTL, held)
	terminated := time.Now()
	if r.isTrouble {
		must(f.process("lichentray-proxy", proxy).Process.Signal(syscall.SIGTERM))
		r.note("SIGTERM")
	}
	type outcome struct {
		id   string
		sent time.Duration // after the SIGTERM
		answer
	}
	var outcomes []outcome
	var clients sync.WaitGroup
	for i, after := range []time.Duration{3150, 3200, 3250, 3300, 3350, 3400, 3450, 3500} {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Until(terminated.Add(after * time.Millisecond)))
			if time.Since(asked) > held {
				r.note("client %d holds the answer no more", i)
				return
			}
			c, err := connect(f.frontendAddr(proxy))
			if err != nil {
				r.note("client %d cannot connect: %v", i, err)
				return
			}
			defer c.close()
			o := outcome{id: fmt.Sprintf("c%d", i), sent: time.Since(terminated)}
			o.answer = c.send(request{method: "POST", host: "herbar.example", path: "/ausleihe/x", id: o.id, deadline: 8 * time.Second})
			mu.Lock()
			outcomes = append(outcomes, o)
			mu.Unlock()
		}()
	}
	exited := make(chan time.Duration, 1)
	if r.isTrouble {
		go func() {
			_ = f.process("lichentray-proxy", proxy).Wait()
			exited <- time.Since(terminated)
		}()
	}
	clients.Wait()
	time.Sleep(time.Second)
	if r.isTrouble {
		select {
		case after := <-exited:
			r.note("the proxy ended %.3f s after the SIGTERM; grace_period_s is %v", after.Seconds(), grace)
		case <-time.After(3 * time.Second):
			r.note("the proxy has not ended")
		}
	}
	lost := 0
	mu.Lock()
	defer mu.Unlock()
	slices.SortFunc(outcomes, func(a, b outcome) int { return int(a.sent - b.sent) })
	for _, o := range outcomes {
		end, hasFinished := finished[o.id]
		r.note("%s sent %.3f s after the SIGTERM: %v; run: %v, the endpoint answered %.3f s after the SIGTERM", o.id, o.sent.Seconds(), o.answer, !ran[o.id].IsZero(), end.Sub(terminated).Seconds())
		// Counted: passed on, no answer, sent later than 3 s after the SIGTERM, and done by its
		// endpoint within the grace period.
		if o.err != nil && !ran[o.id].IsZero() && o.sent > 3*time.Second && hasFinished && end.Sub(terminated) < grace {
			lost++
		}
	}
	r.note("requests read and passed on whose connection ended without an answer: %d of %d", lost, len(outcomes))
	return lost > 0
}
