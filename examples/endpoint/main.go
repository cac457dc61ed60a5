// Command endpoint is an example backend server for trying out lichentray. It responds to every
// request, sends heartbeats to the control plane, and drains on SIGTERM or SIGINT.
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
	address  string   // listen address
	nodes    []string // control-plane addresses
	sequence int      // sequence number of the last heartbeat
}

func main() {
	id := flag.String("id", fmt.Sprint("i-", os.Getpid()), "instance id")
	service := flag.String("service", "hello", "name of the service")
	version := flag.String("version", "v1", "version of the service")
	zone := flag.String("zone", "here", "zone of the instance, one of [zones] in the settings")
	listen := flag.String("listen", "127.0.0.1:0", "listen address")
	control := flag.String("control", "127.0.0.1:8166", "comma-separated control_plane addresses")
	drain := flag.Duration("drain", 3*time.Second, "time for which to continue serving while draining")
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

// run sends heartbeats until a signal arrives, and then drains and deregisters the instance.
func (e *endpoint) run(stop <-chan os.Signal, drain time.Duration) {
	log.Printf("%s serves %s on %s, registered: %v", e.id, e.service, e.address, e.heartbeat("ready"))
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.heartbeat("ready")
		case <-stop:
			log.Printf("draining, acknowledged: %v", e.heartbeat("draining"))
			time.Sleep(drain)
			log.Printf("deregistered: %v", e.call("deregister", map[string]any{}))
			return
		}
	}
}

// ServeHTTP responds to a request, or rejects one that is addressed to another instance.
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

// heartbeat sends the state of the endpoint to the control plane, and reports whether a node
// acknowledged it.
func (e *endpoint) heartbeat(state string) bool {
	e.sequence++
	return e.call("heartbeat", map[string]any{
		"address": e.address,
		"info":    map[string]any{"backend_service": e.service, "config_version": e.version, "zone": e.zone, "capacity": 4},
		"status":  map[string]any{"state": state, "sequence": e.sequence, "cold_remaining_s": 0},
	})
}

// call sends a call to one node after another until one acknowledges it, and reports whether one
// did.
func (e *endpoint) call(name string, body any) bool {
	encoded, err := json.Marshal(body)
	if err != nil {
		log.Fatal(err)
	}
	client := http.Client{Timeout: callTimeout}
	for _, node := range e.nodes {
		resp, err := client.Post("http://"+node+"/api/rpc?call=instances."+name+"&of="+e.id, "application/json", bytes.NewReader(encoded))
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
