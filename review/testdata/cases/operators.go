package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { plays["operators"] = playOperators }

// operatorRounds is how often each zone is evacuated.
const operatorRounds = 6

// operatorsCase is what the zones of playOperators share.
type operatorsCase struct {
	*run
	mu       sync.Mutex
	arrivals map[string][]time.Time // at endpoints, by zone
}

// playOperators has two operators evacuate one zone, the second a good second after the first, and
// take it back in the same order, several times over in each of four zones of five. The disruption is that
// the evacuations are under way at once; without it, the second operator begins once the first has
// taken its own back. Until the second operator takes its own back, no request may reach an
// endpoint of the zone.
func playOperators(r *run) bool {
	r.fleet = newFleet(deployment{bounds: boundsPlaces, entryType: "virtual_ip", zones: []string{"smg-a", "smg-b", "slo-a", "kla-a", "mgl-a"}, diskless: 2, edgeOnly: 2})
	f := r.fleet
	f.startAll(placesConfiguration, true)
	c := &operatorsCase{run: r, arrivals: map[string][]time.Time{}}
	onRun := func(e *endpoint, q *http.Request) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.arrivals[e.zone] = append(c.arrivals[e.zone], time.Now())
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
	var isOver atomic.Bool
	var clients sync.WaitGroup
	for i := range f.zones {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; !isOver.Load(); n++ {
				time.Sleep(50 * time.Millisecond)
				conn, err := connect(f.frontendAddr(i))
				if err != nil {
					continue
				}
				conn.send(request{method: "GET", host: "herbar.example", path: "/lookup/x", id: fmt.Sprintf("c%d-%d", i, n), deadline: 3 * time.Second})
				conn.close()
			}
		}()
	}
	time.Sleep(4 * time.Second) // the machines are in touch
	results := make(chan int)
	zones := f.zones[1:]
	for i, zone := range zones {
		go func() {
			time.Sleep(time.Duration(i) * 3200 * time.Millisecond)
			results <- c.playZone(zone)
		}()
	}
	broken := 0
	for range zones {
		broken += <-results
	}
	isOver.Store(true)
	clients.Wait()
	r.note("rounds in which requests reached the evacuated zone: %d of %d", broken, operatorRounds*len(zones))
	return broken > 0
}

// order gives an order at one machine, where it is acknowledged at once.
func (c *operatorsCase) order(operator, call, zone string, machine int) time.Time {
	status, answer, err := c.fleet.call(machine, call, zone, "")
	if status/100 != 2 {
		c.note("%s: %s of %s was answered %d %s %v", operator, call, zone, status, answer, err)
	}
	c.detail("%s: %s of %s at machine %d, %d", operator, call, zone, machine+1, status)
	return time.Now()
}

// playZone plays the rounds of one zone and returns in how many of them the rule was broken.
func (c *operatorsCase) playZone(zone string) (broken int) {
	f := c.fleet
	for round := range operatorRounds {
		time.Sleep(time.Duration(rand.Intn(200)) * time.Millisecond)
		leader := f.leader()
		if leader < 0 {
			c.note("%s, round %d: no node says that it leads", zone, round+1)
			leader = 0
		}
		first, second := (leader+1)%3, (leader+2)%3
		began := c.order("operator A", "evacuations.begin", zone, first)
		if !c.isTrouble {
			time.Sleep(500 * time.Millisecond)
			c.order("operator A", "evacuations.finish", zone, first)
		}
		time.Sleep(time.Until(began.Add(1200 * time.Millisecond)))
		acknowledged := c.order("operator B", "evacuations.begin", zone, second)
		if c.isTrouble {
			time.Sleep(time.Second)
			c.order("operator A", "evacuations.finish", zone, first)
		}
		time.Sleep(time.Until(acknowledged.Add(7200 * time.Millisecond)))
		_, state, _ := f.call(leader, "evacuations.read", "", "")
		n := c.arrivalsBetween(zone, acknowledged.Add(5*time.Second), time.Now())
		c.note("%s, round %d, machine %d leads: before B takes its evacuation back the state is %s; arrivals over 5 s after it was acknowledged: %d", zone, round+1, leader+1, strings.TrimSpace(string(state)), n)
		if n > 0 {
			broken++
		}
		c.order("operator B", "evacuations.finish", zone, second)
		time.Sleep(4400 * time.Millisecond) // the zone returns
	}
	return broken
}

// arrivalsBetween counts the arrivals in a zone in a span of time.
func (c *operatorsCase) arrivalsBetween(zone string, from, to time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.arrivals[zone] {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}
