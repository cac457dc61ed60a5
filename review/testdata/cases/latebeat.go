package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// The times of the case of the late beat.
const (
	// worldDrain and worldContact are drain_s and contact_s of boundsWorld.
	worldDrain   = 5 * time.Second
	worldContact = 6 * time.Second
	// beatDelay is how late the beat comes. The page says "seconds".
	beatDelay = 5 * time.Second
	// serveOn is how long the endpoint serves after its sign-off was acknowledged: drain_s and
	// "at times many seconds" more.
	serveOn = worldDrain + 12*time.Second
	// requestGap is the time between two requests of all clients together.
	requestGap = 20 * time.Millisecond
	// listedArrivals is how many late arrivals the record lists.
	listedArrivals = 5
)

func init() { plays["latebeat"] = playLateBeat }

// arrival is a request that an endpoint ran.
type arrival struct {
	id string
	at time.Time
}

// playLateBeat: an endpoint signs off while an earlier beat of its is still on its way. It must get
// no request later than drain_s after the acknowledgement (DRAIN).
func playLateBeat(r *run) bool {
	r.fleet = newFleet(deployment{bounds: boundsWorld, entryType: "directory", kind: "world", zones: []string{"z1", "z2", "z3"}})
	f := r.fleet
	f.startAll(worldConfiguration, true)
	var mu sync.Mutex
	arrivals := map[string][]arrival{}
	onRun := func(e *endpoint, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[e.id] = append(arrivals[e.id], arrival{q.Header.Get("X-Attempt-Id"), time.Now()})
	}
	work := func(*http.Request) int {
		time.Sleep(10 * time.Millisecond)
		return http.StatusOK
	}
	f.startEndpoint(1, "i-stays", "leihbuch", 6, work, onRun)
	leaver := f.startEndpoint(0, "i-leaves", "leihbuch", 6, work, onRun)
	time.Sleep(worldContact + time.Second)
	clients := startDirectoryClients(r)
	time.Sleep(2 * time.Second)

	// From here on the endpoint sends the beat below and then no other one: it leaves.
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	nextBeat := func() string { // its sequence rises with each call
		leaver.sequence++
		beat, err := json.Marshal(map[string]any{
			"address": leaver.listener.Addr().String(),
			"info":    map[string]any{"backend_service": leaver.service, "config_version": "v1", "zone": leaver.zone, "capacity": leaver.capacity},
			"status":  map[string]any{"state": "ready", "sequence": leaver.sequence, "cold_remaining_s": 0},
		})
		must(err)
		return string(beat)
	}
	path := f.controlAddr(0)
	if r.isTrouble {
		path = slowPath(r, f.network+".200", f.controlAddr(0), beatDelay)
	}
	status, _, err := f.callAt(path, "instances.heartbeat", leaver.id, nextBeat())
	r.note("i-leaves sends beat %d, state ready, to node 1: status %d, error %v", leaver.sequence, status, err)
	if status/100 != 2 {
		status, _, _ = f.call(1, "instances.heartbeat", leaver.id, nextBeat())
		r.note("no answer within a second, so it calls node 2 with beat %d: status %d", leaver.sequence, status)
	}
	status, _, _ = f.call(1, "instances.deregister", leaver.id, "")
	signedOff := time.Now()
	r.note("i-leaves signs off at node 2: status %d", status)
	if status/100 != 2 {
		panic(impossible("the sign-off was not acknowledged"))
	}
	time.Sleep(serveOn)
	leaver.listener.Close()
	clients.stop()

	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range arrivals["i-leaves"] {
		since := a.at.Sub(signedOff)
		if since <= worldDrain {
			continue
		}
		if late++; late <= listedArrivals {
			r.note("request %s reached i-leaves %.3f s after the acknowledgement of its sign-off; its client had sent it %.3f s after", a.id, since.Seconds(), clients.sentAt(a.id).Sub(signedOff).Seconds())
		}
	}
	r.note("requests run: %d at i-stays, %d at i-leaves; of these %d later than drain_s after the acknowledgement", len(arrivals["i-stays"]), len(arrivals["i-leaves"]), late)
	return late > 0
}

// slowPath is a path to a node on which each call takes a time longer. It returns its address.
func slowPath(r *run, ip, to string, delay time.Duration) string {
	listener, err := net.Listen("tcp4", ip+":0")
	must(err)
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go carryLate(r, caller, to, delay)
		}
	}()
	return listener.Addr().String()
}

// carryLate carries one call. It is lost if the node does not answer within a second.
func carryLate(r *run, caller net.Conn, to string, delay time.Duration) {
	defer caller.Close()
	buffer := make([]byte, 64<<10)
	n, err := caller.Read(buffer)
	if err != nil {
		return
	}
	time.Sleep(delay)
	node, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		return
	}
	defer node.Close()
	_ = node.SetDeadline(time.Now().Add(time.Second))
	if _, err := node.Write(buffer[:n]); err != nil {
		return
	}
	r.note("the late beat arrives at its node")
	n, err = node.Read(buffer)
	if err == nil {
		_, _ = caller.Write(buffer[:n]) // the caller may have left
	}
}

// directoryClients ask the directory which proxies to use, and send requests to these.
type directoryClients struct {
	run    *run
	ended  chan struct{}
	active sync.WaitGroup

	mu   sync.Mutex
	sent map[string]time.Time
}

func startDirectoryClients(r *run) *directoryClients {
	c := &directoryClients{run: r, ended: make(chan struct{}), sent: map[string]time.Time{}}
	c.active.Go(c.send)
	return c
}

func (c *directoryClients) stop() {
	close(c.ended)
	c.active.Wait()
}

func (c *directoryClients) sentAt(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// send sends a request after each gap, and asks the directory anew each second.
func (c *directoryClients) send() {
	var proxies []string
	asked := time.Time{}
	for i := 0; ; i++ {
		select {
		case <-c.ended:
			return
		case <-time.After(requestGap):
		}
		if time.Since(asked) > time.Second {
			asked = time.Now()
			if answer := c.run.fleet.resolve("herbar.example", "z1"); len(answer) > 0 {
				proxies = answer
			}
		}
		if len(proxies) == 0 {
			continue
		}
		id := fmt.Sprintf("a%d", i)
		proxy := proxies[rand.Intn(len(proxies))]
		c.mu.Lock()
		c.sent[id] = time.Now()
		c.mu.Unlock()
		c.active.Go(func() {
			conn, err := connect(proxy)
			if err != nil {
				c.run.detail("%s at %s: %v", id, proxy, err)
				return
			}
			defer conn.close()
			a := conn.send(request{method: http.MethodPost, host: "herbar.example", path: "/ausleihe/1", id: id, deadline: 8 * time.Second})
			if a.status != http.StatusOK {
				c.run.detail("%s at %s: %v", id, proxy, a)
			}
		})
	}
}

// resolve asks the directory, one node after the other, for the proxies of a host.
func (f *fleet) resolve(host, zone string) []string {
	for i := range f.controlCount() {
		resp, err := f.controlHTTP.Get(fmt.Sprintf("http://%s:%d/api/resolve?name=%s&region=region&zone=%s", f.ip(i), f.directory, host, zone))
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			return answer.Addresses
		}
	}
	return nil
}
