// Command endpoint is a stand-in server for trying lichentray out: it answers every
// request, sends heartbeats to the control plane, and drains when a signal asks it to end.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	callTimeout       = time.Second
)

// endpoint is one instance of a service.
type endpoint struct {
	id       string
	service  string
	version  string
	zone     string
	address  string   // where it listens
	nodes    []string // control-plane addresses
	sequence int      // of the last heartbeat
}

func main() {
	id := flag.String("id", fmt.Sprint("i-", os.Getpid()), "instance id")
	service := flag.String("service", "hello", "service to serve")
	version := flag.String("version", "v1", "version of its software")
	zone := flag.String("zone", "here", "zone that it runs in, one of [zones] in the settings")
	listen := flag.String("listen", "127.0.0.1:0", "address")
	control := flag.String("control", "127.0.0.1:8166", "control_plane addresses, comma separated")
	drain := flag.Duration("drain", 3*time.Second, "time to serve on after the drain was acknowledged")
	flag.Parse()
	listener, err := net.Listen("tcp4", *listen)
	if err != nil {
		log.Fatal(err)
	}
	e := &endpoint{
		id:      *id,
		service: *service,
		version: *version,
		zone:    *zone,
		address: listener.Addr().String(),
		nodes:   strings.Split(*control, ","),
	}
	go func() { log.Fatal(http.Serve(listener, e)) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	e.run(stop, *drain)
}

// run sends heartbeats until a signal arrives, and then drains and deregisters.
func (e *endpoint) run(stop <-chan os.Signal, drain time.Duration) {
	log.Printf("%s serves %s at %s, known to the control plane: %v", e.id, e.service, e.address, e.heartbeat("ready"))
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.heartbeat("ready")
		case <-stop:
			log.Printf("draining, acknowledged: %v", e.heartbeat("draining"))
			time.Sleep(drain)
			log.Printf("signed off: %v", e.call("deregister", map[string]any{}))
			return
		}
	}
}

// ServeHTTP answers a request, or rejects one that is meant for another instance.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Signature", e.id)
	fmt.Fprintf(w, "%s answers %s %s\n", e.id, r.Method, r.RequestURI)
}

// heartbeat reports to the control plane the state of the endpoint, and reports whether it
// was acknowledged.
func (e *endpoint) heartbeat(state string) bool {
	e.sequence++
	return e.call("heartbeat", map[string]any{
		"address": e.address,
		"info":    map[string]any{"backend_service": e.service, "config_version": e.version, "zone": e.zone, "capacity": 4},
		"status":  map[string]any{"state": state, "sequence": e.sequence, "cold_remaining_s": 0},
	})
}

// call sends a call to one node after the other, and reports whether one acknowledged it.
func (e *endpoint) call(name string, body any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		log.Fatal(err)
	}
	client := http.Client{Timeout: callTimeout}
	for _, node := range e.nodes {
		resp, err := client.Post("http://"+node+"/api/rpc?call=instances."+name+"&of="+e.id, "application/json", bytes.NewReader(text))
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
