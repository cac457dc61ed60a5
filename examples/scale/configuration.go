package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// configuration returns a configuration with the numbers of services and routes given by the
// options. The route whose timeout differs from the others depends on the version.
func (o *options) configuration(version int) []byte {
	type object = map[string]any
	var clusters []object
	for s := range o.services {
		clusters = append(clusters, object{"name": serviceName(s), "health_check_path": "/health", "max_connections": 500})
	}
	const routesPerHost = 50
	var listeners []object
	for h := 0; h*routesPerHost < o.routes; h++ {
		var rules []object
		for r := h * routesPerHost; r < min(o.routes, (h+1)*routesPerHost); r++ {
			timeout := 5.0
			if r == version%o.routes {
				timeout += float64(version) / 100
			}
			rules = append(rules, object{
				"name":             fmt.Sprint("r", r),
				"route_type":       "idempotent",
				"target_latency_s": 1,
				"priority":         1,
				"match":            object{"path_prefix": fmt.Sprintf("/p%d/", r)},
				"action":           object{"backend_service": serviceName(r % o.services), "timeout_s": timeout, "max_attempts": 2},
			})
		}
		listeners = append(listeners, object{"hostname": fmt.Sprintf("h%d.example", h), "rules": rules})
	}
	text, _ := json.Marshal(object{ // these types can always be encoded
		"config_version": version,
		"limits":         object{"max_header_bytes": 16384},
		"listeners":      listeners,
		"clusters":       clusters,
	})
	return text
}

func serviceName(i int) string { return fmt.Sprint("s", i) }

// replaceConfiguration stores a configuration by a call to a node.
func (o *options) replaceConfiguration(node int, text []byte) error {
	url := "http://" + controlAddress(node%o.nodes) + "/api/rpc?call=configuration.replace"
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Post(url, "application/json", bytes.NewReader(text))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s returned status %d", url, resp.StatusCode)
	}
	return nil
}
