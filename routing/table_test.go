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

// matchByPlainSearch is the plain model of Table.Match, as the protocol words it. It
// returns the name of the route, or nothing.
func matchByPlainSearch(c *config.Configuration, host, path string) string {
	best, name := -1, ""
	for _, l := range c.Listeners {
		for _, r := range l.Rules {
			if strings.EqualFold(l.Hostname, host) && strings.HasPrefix(path, r.Match.Prefix) && len(r.Match.Prefix) > best {
				best, name = len(r.Match.Prefix), r.Name
			}
		}
	}
	return name
}

func TestMatchAgreesWithPlainSearch(t *testing.T) {
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
	tab := routing.Compile(c)
	for _, host := range []string{"h0.example", "H1.Example", "h2.example", "h9.example"} {
		for _, path := range []string{"/", "/a", "/a/", "/a/b", "/a/b/c", "/ab/x", "/c/d/e/f", "/c/d", "//a/", "/A/"} {
			got := ""
			if r := tab.Match([]byte(host+":8080"), []byte(path)); r != nil {
				got = r.Name
			}
			if want := matchByPlainSearch(c, host, path); got != want {
				t.Errorf("%s%s went to %q, the plain table says %q", host, path, got, want)
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
	n := [2]int{}
	for i := range 1000 {
		n[r.PickService(float64(i)/1000)]++
	}
	if n != [2]int{900, 100} {
		t.Errorf("90:10 was split as %v", n)
	}
}
