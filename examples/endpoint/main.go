// Command endpoint is a stand-in server for trying lichentray out: it answers
// every request, beats at the control plane, and drains when it is told to end.
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

func main() {
	id := flag.String("id", fmt.Sprint("i-", os.Getpid()), "instance id")
	service := flag.String("service", "hello", "service to serve")
	version := flag.String("version", "v1", "version of its software")
	listen := flag.String("listen", "127.0.0.1:0", "address")
	control := flag.String("control", "127.0.0.1:8166", "control_plane addresses, comma separated")
	drain := flag.Duration("drain", 3*time.Second, "time to serve on after the drain was acknowledged")
	flag.Parse()
	ln, err := net.Listen("tcp4", *listen)
	if err != nil {
		log.Fatal(err)
	}
	go func() {
		log.Fatal(http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if want := r.Header.Get("X-Target-Instance"); want != "" && want != *id {
				w.Header().Set("X-Instance-Id", *id)
				w.WriteHeader(421)
				return
			}
			w.Header().Set("X-Instance-Id", *id)
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Server-Signature", *id)
			fmt.Fprintf(w, "%s answers %s %s\n", *id, r.Method, r.RequestURI)
		})))
	}()
	nodes := strings.Split(*control, ",")
	sequence := 0
	call := func(name string, body any) bool {
		b, err := json.Marshal(body)
		if err != nil {
			log.Fatal(err)
		}
		client := http.Client{Timeout: time.Second}
		for _, n := range nodes {
			resp, err := client.Post("http://"+n+"/api/rpc?call=instances."+name+"&of="+*id, "application/json", bytes.NewReader(b))
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return true
			}
		}
		return false
	}
	beat := func(state string) bool {
		sequence++
		return call("heartbeat", map[string]any{
			"address": ln.Addr().String(),
			"info":    map[string]any{"backend_service": *service, "config_version": *version, "zone": "local", "capacity": 4},
			"status":  map[string]any{"state": state, "sequence": sequence, "cold_remaining_s": 0},
		})
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	log.Printf("%s serves %s at %s, known to the control plane: %v", *id, *service, ln.Addr(), beat("ready"))
	tick := time.NewTicker(1500 * time.Millisecond)
	for {
		select {
		case <-tick.C:
			beat("ready")
		case <-stop:
			log.Printf("draining, acknowledged: %v", beat("draining"))
			time.Sleep(*drain)
			log.Printf("signed off: %v", call("deregister", map[string]any{}))
			return
		}
	}
}
