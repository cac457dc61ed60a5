package routing_test

import (
	"fmt"
	"strings"
	"testing"

	"lichentray/config"
	"lichentray/routing"
)

const sampleConfiguration = `{"config_version":7,"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_s":3,"idle_timeout_s":15},
"listeners":[{"hostname":"a.example","rules":[
 {"name":"r1","route_type":"idempotent","target_latency_s":0.25,"priority":2,"match":{"path_prefix":"/x/"},"action":{"traffic_split":[{"backend_service":"s1","weight":90},{"backend_service":"s2","weight":10}],"timeout_s":1.5,"max_attempts":2}},
 {"name":"r2","route_type":"non_idempotent","target_latency_s":0.3,"priority":1,"match":{"path_prefix":"/x/y/"},"action":{"backend_service":"s1","timeout_s":2,"max_attempts":2}}]}],
"clusters":[{"name":"s1","health_check_path":"/health","max_connections":130,"protocol":"h1","tls":false},{"name":"s2","health_check_path":"/health","max_connections":130}]}`

// matchByLinearSearch is the reference model of Table.Match, written directly from the
// protocol. It returns the name of the route, or "" if none matches.
func matchByLinearSearch(c *config.Configuration, host, path string) string {
	longest, name := -1, ""
	for _, l := range c.Listeners {
		for _, r := range l.Rules {
			if strings.EqualFold(l.Hostname, host) && strings.HasPrefix(path, r.Match.Prefix) && len(r.Match.Prefix) > longest {
				longest, name = len(r.Match.Prefix), r.Name
			}
		}
	}
	return name
}

func TestMatchAgreesWithLinearSearch(t *testing.T) {
	c := &config.Configuration{Clusters: []config.Cluster{{Name: "s"}}}
	n := 0
	for h := range 3 {
		l := config.Listener{Hostname: fmt.Sprintf("H%d.example", h)}
		for _, p := range []string{"/", "/a/", "/a/b/", "/ab/", "/c/d/e/"}[h:] {
			var r config.Rule
			r.Name, r.Match.Prefix, r.Action.Service = fmt.Sprint("r", n), p, "s"
			l.Rules = append(l.Rules, r)
			n++
		}
		c.Listeners = append(c.Listeners, l)
	}
	table := routing.Compile(c)
	for _, host := range []string{"h0.example", "H1.Example", "h2.example", "h9.example"} {
		for _, path := range []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/ab/x", "/c/d/e/f", "/c/d", "//a/", "/A/"} {
			got := ""
			if r := table.Match([]byte(host+":8080"), []byte(path)); r != nil {
				got = r.Name
			}
			if want := matchByLinearSearch(c, host, path); got != want {
				t.Errorf("Match(%s, %s) = route %q, want %q", host, path, got, want)
			}
		}
	}
}

func TestPickServiceSplitsByWeight(t *testing.T) {
	c, err := config.Parse([]byte(sampleConfiguration))
	if err != nil {
		t.Fatal(err)
	}
	r := routing.Compile(c).Match([]byte("a.example"), []byte("/x/z"))
	counts := [2]int{}
	for i := range 1000 {
		counts[r.PickService(float64(i)/1000)]++
	}
	if counts != [2]int{900, 100} {
		t.Errorf("weights 90:10 split 1000 requests into %v, want [900 100]", counts)
	}
}
