package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["evacuation"] = playEvacuation }

// answerDropper is a path to a control-plane node on which answers can be lost: it passes
// everything on to the node and, while isDropping is set, nothing back.
type answerDropper struct {
	addr       string
	isDropping atomic.Bool
}

func newAnswerDropper(ip, to string) *answerDropper {
	listener, err := net.Listen("tcp4", ip+":0")
	must(err)
	d := &answerDropper{addr: listener.Addr().String()}
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer client.Close()
				server, err := net.Dial("tcp4", to)
				if err != nil {
					return
				}
				defer server.Close()
				go func() {
					_, _ = io.Copy(server, client)
					server.Close()
				}()
				buf := make([]byte, 4096)
				for {
					n, err := server.Read(buf)
					if n > 0 && !d.isDropping.Load() {
						if _, err := client.Write(buf[:n]); err != nil {
							return
						}
					}
					if err != nil {
						for d.isDropping.Load() { // the caller sees silence, no end
							time.Sleep(10 * time.Millisecond)
						}
						return
					}
				}
			}()
		}
	}()
	return d
}

// playEvacuation has two operators evacuate one zone, one after the other. The first takes its
// evacuation back, at the node that leads. The disruption: the answer to that order is lost
// once, so that it is sent again, to another node. Until the second operator takes its own back, no request may reach
// an endpoint of the zone.
func playEvacuation(r *run) bool {
	const zone = "kellerraum"
	r.fleet = newFleet(deployment{bounds: boundsPlaces, entryType: "virtual_ip", zones: []string{"scanhalle", zone, "dachstock"}})
	f := r.fleet
	f.startAll(placesConfiguration, true)
	var mu sync.Mutex
	var arrivals []time.Time // at endpoints of the zone
	served := map[string]int{}
	onRun := func(e *endpoint, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		served[e.zone]++
		if e.zone == zone {
			arrivals = append(arrivals, time.Now())
			r.detail("%s runs %s", e.id, q.Header.Get("X-Attempt-Id"))
		}
	}
	work := func(*http.Request) int {
		time.Sleep(20 * time.Millisecond)
		return http.StatusOK
	}
	for i := range f.zones {
		for k := range 2 {
			f.startEndpoint(i, fmt.Sprintf("i-%d%d", i, k), "katalog", 4, work, onRun)
		}
	}
	leader := -1
	f.await("a node leads", func() bool { leader = f.leader(); return leader >= 0 })
	path := newAnswerDropper(f.ip(leader), f.controlAddr(leader))
	others := []string{f.controlAddr((leader + 1) % 3), f.controlAddr((leader + 2) % 3)}

	stop := make(chan struct{})
	var clients sync.WaitGroup
	var tries atomic.Int64
	for i := range f.zones {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				c, err := connect(f.frontendAddr(i))
				if err != nil {
					continue
				}
				tries.Add(1)
				c.send(request{method: "GET", host: "herbar.example", path: "/lookup/x", id: fmt.Sprintf("c%d-%d", i, n), deadline: 3 * time.Second})
				c.close()
			}
		}()
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(arrivals)
	}
	order := func(operator, call string, addrs ...string) time.Time {
		pause := 100 * time.Millisecond
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); pause *= 2 {
			sent := time.Now()
			status, _, err := f.callAt(addrs[0], call, zone, "")
			r.note("%s: %s at %s, %d after %v (%v)", operator, call, addrs[0], status, time.Since(sent).Round(time.Millisecond), err)
			if status/100 == 2 {
				return time.Now()
			}
			addrs = append(addrs[1:], addrs[0])
			time.Sleep(pause)
		}
		panic(impossible("an order was never acknowledged"))
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	if count() == 0 {
		panic(impossible("the zone gets no requests before it is evacuated"))
	}
	began := order("operator A", "evacuations.begin", others[0])
	time.Sleep(time.Until(began.Add(6 * time.Second)))
	acknowledged := order("operator B", "evacuations.begin", others[1])
	time.Sleep(time.Until(began.Add(7 * time.Second)))
	before := count()
	path.isDropping.Store(r.isTrouble)
	order("operator A", "evacuations.finish", path.addr, others[0], others[1])
	time.Sleep(time.Until(acknowledged.Add(8 * time.Second)))
	_, state, _ := f.call(1, "evacuations.read", "", "")
	mu.Lock()
	late := 0
	for _, at := range arrivals {
		if at.Sub(acknowledged) > 5*time.Second {
			late++
		}
	}
	r.note("state that the control plane gives before B takes its evacuation back: %s", state)
	r.note("%d requests of clients, run by zone: %v", tries.Load(), served)
	r.note("arrivals in %s before A's finish: %d; over 5 s after B's evacuation was acknowledged and before B takes it back: %d", zone, before, late)
	mu.Unlock()
	order("operator B", "evacuations.finish", others[1])
	close(stop)
	clients.Wait()
	return late > 0
}
