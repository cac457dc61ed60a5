package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// evacuationBound is evacuation_s of boundsPlaces.
	evacuationBound = 5 * time.Second
	// secondOrderAfter is how long after the first operator the second one evacuates the zone.
	secondOrderAfter = 5500 * time.Millisecond
	// evacuatedFor is how long each operator evacuates the zone, just under the longest evacuation of
	// the site (evacuate, for_s 8.0).
	evacuatedFor = 7900 * time.Millisecond
	// resendPause is the pause before an order is sent again, after a second of silence.
	resendPause = 100 * time.Millisecond
	evacuated   = "z1"
)

func init() { plays["takenback"] = playTakenBack }

// playTakenBack: two operators evacuate one zone. The first takes it back, and the answer to that order
// is lost, so that it is sent again. The zone stays evacuated for the second one (EVAC).
func playTakenBack(r *run) bool {
	r.fleet = newFleet(deployment{bounds: boundsPlaces, entryType: "virtual_ip", zones: []string{"z1", "z2", "z3"}})
	f := r.fleet
	f.startAll(placesConfiguration, true)
	var mu sync.Mutex
	arrivals := map[string][]arrival{} // by zone
	onRun := func(e *endpoint, q *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[e.zone] = append(arrivals[e.zone], arrival{q.Header.Get("X-Attempt-Id"), time.Now()})
	}
	for i := range 6 {
		f.startEndpoint(i%3, fmt.Sprintf("i-%d", i), "katalog", 4, nil, onRun)
	}
	time.Sleep(placesContact + time.Second)
	ended := make(chan struct{})
	var clients sync.WaitGroup
	var cut, answered counter
	for machine := range f.zones {
		clients.Go(func() { askSteadily(r, machine, ended, &cut, &answered) })
	}
	time.Sleep(time.Second)

	// Both operators may call any node. Here they call the one that leads, and an order goes again to
	// another one.
	leader := f.leader()
	if leader < 0 {
		panic(impossible("no node leads"))
	}
	node, other := f.controlAddr(leader), f.controlAddr((leader+1)%len(f.zones))
	f.order(r, "operator 1", "evacuations.begin", node, other)
	first := time.Now()
	time.Sleep(secondOrderAfter)
	f.order(r, "operator 2", "evacuations.begin", node, other)
	second := time.Now()
	time.Sleep(time.Until(first.Add(evacuatedFor)))
	path := node
	if r.isTrouble {
		path = answerLosingPath(r, f.network+".200", path)
	}
	f.order(r, "operator 1", "evacuations.finish", path, other)
	time.Sleep(time.Until(second.Add(evacuatedFor)))
	judged := time.Now()
	f.order(r, "operator 2", "evacuations.finish", node, other)
	close(ended)
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	late := 0
	for _, a := range arrivals[evacuated] {
		if a.at.Sub(second) <= evacuationBound || a.at.After(judged) {
			continue
		}
		if late++; late <= listedArrivals {
			r.note("request %s reached zone %s %.3f s after the evacuation by operator 2 was acknowledged", a.id, evacuated, a.at.Sub(second).Seconds())
		}
	}
	r.note("requests run by zone: %d, %d, %d; in %s later than evacuation_s after the evacuation by operator 2 was acknowledged, and before it took the zone back: %d",
		len(arrivals["z1"]), len(arrivals["z2"]), len(arrivals["z3"]), evacuated, late)
	return late > 0
}

// order sends an order for the evacuated zone to the first address, and again to the others in turn until
// it is acknowledged.
func (f *fleet) order(r *run, operator, call string, first string, others ...string) {
	f.orderZone(r, operator, call, evacuated, first, others...)
}

// orderZone is order for any zone.
func (f *fleet) orderZone(r *run, operator, call, zone string, first string, others ...string) {
	addresses := append([]string{first}, others...)
	for try := range 4 {
		status, _, err := f.callAt(addresses[min(try, len(addresses)-1)], call, zone, "")
		r.note("%s sends %s of %s: status %d, error %v", operator, call, zone, status, err)
		if status/100 == 2 {
			return
		}
		time.Sleep(resendPause)
	}
	panic(impossible("an order was not acknowledged"))
}

// answerLosingPath is a path to a node that carries calls and loses the answers.
func answerLosingPath(r *run, ip, to string) string {
	listener, err := net.Listen("tcp4", ip+":0")
	must(err)
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go loseAnswer(r, caller, to)
		}
	}()
	return listener.Addr().String()
}

// loseAnswer carries one call to a node, waits for the answer and keeps it. The caller hears nothing.
func loseAnswer(r *run, caller net.Conn, to string) {
	defer caller.Close()
	buffer := make([]byte, 64<<10)
	n, err := caller.Read(buffer)
	if err != nil {
		return
	}
	node, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		return
	}
	defer node.Close()
	_ = node.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := node.Write(buffer[:n]); err != nil {
		return
	}
	if n, err = node.Read(buffer); err == nil {
		r.note("the node's answer is lost: %.15q", buffer[:n])
	}
	time.Sleep(2 * time.Second) // the caller gives up after a second
}
