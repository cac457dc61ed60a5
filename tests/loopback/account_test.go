package loopback

import (
	"fmt"
	"io"
	"net/http"
	"reflect"
	"syscall"
	"testing"

	"lichentray/audit"
)

// TestAccountListsEveryFailureOnceAndKilledProxyAsGap guards against audit records that are missing,
// duplicated or attributed to the wrong tenant. It causes failures of each kind at two proxy nodes, for
// three tenants, including non-idempotent requests whose attempts go to different nodes. One proxy then
// shuts down and the other is killed. The account must list each failure once, with its tenant and
// request, and the killed incarnation as a gap.
func TestAccountListsEveryFailureOnceAndKilledProxyAsGap(t *testing.T) {
	s := newTestbed(t)
	s.start("lichentray-controlplane", "127.0.0.31")
	first := s.start("lichentray-proxy", "127.0.0.32")
	second := s.start("lichentray-proxy", "127.0.0.33")
	s.waitFor("a configuration", func() bool {
		return s.post("configuration.replace", `{"config_version":1,"clusters":[{"name":"s","health_check_path":"/health"}],"listeners":[`+
			`{"hostname":"museum.example","rules":[`+
			`{"name":"search","route_type":"idempotent","target_latency_s":1,"match":{"path_prefix":"/search/"},"action":{"backend_service":"s","timeout_s":20,"max_attempts":1}},`+
			`{"name":"loan","route_type":"non_idempotent","target_latency_s":10,"match":{"path_prefix":"/loan/"},"action":{"backend_service":"s","timeout_s":20,"max_attempts":1}}]},`+
			`{"hostname":"other.example","rules":[{"name":"sheet","route_type":"download","target_latency_s":10,"match":{"path_prefix":"/sheet/"},"action":{"backend_service":"s","timeout_s":20,"max_attempts":1}}]}]}`) == 200
	})
	heartbeat := fmt.Sprintf(`{"address":%q,"info":{"backend_service":"s","zone":"a","capacity":64},"status":{"state":"ready","sequence":1}}`, startEndpoint(t))
	s.waitFor("an endpoint", func() bool { return s.post("instances.heartbeat&of=i-1", heartbeat) == 200 })
	s.waitFor("both proxies to be ready, which implies that their incarnations are in the audit log", func() bool { return s.isReady("127.0.0.32") && s.isReady("127.0.0.33") })
	send := func(proxy, method, host, path, tenant, request string) {
		t.Helper()
		r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", proxy, s.frontendPort, path), nil)
		if err != nil {
			t.Fatal(err)
		}
		r.Host = host
		r.Header.Set("X-Request-Id", request)
		r.Header.Set("X-Attempt-Id", request+"@"+proxy)
		r.Header.Set("X-Deadline", "15000")
		if tenant != "" {
			r.Header.Set("X-Tenant", tenant)
		}
		c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if resp, err := c.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body) // the response may be truncated
			resp.Body.Close()
		}
	}
	// A failing endpoint is temporarily ejected. A request sent in that time finds no endpoint, which is
	// a different failure from the one under test.
	waitUntilHealthy := func(proxy string) {
		t.Helper()
		s.waitFor("the endpoint to receive requests again", func() bool {
			r, err := http.NewRequest("GET", fmt.Sprintf("http://%s:%d/sheet/fine", proxy, s.frontendPort), nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Host = "other.example"
			r.Header.Set("X-Attempt-Id", "w")
			r.Header.Set("X-Tenant", "watch")
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return false
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			return resp.StatusCode == 200
		})
	}
	firstProxy, secondProxy := "127.0.0.32", "127.0.0.33"
	want := map[string]audit.Kind{}
	for i := range 3 {
		id := func(what string) string { return fmt.Sprint(what, i) }
		send(firstProxy, "GET", "museum.example", "/search/fine", "", id("fine"))
		send(firstProxy, "GET", "museum.example", "/search/late", "", id("late"))
		want["museum "+id("late")] = audit.MissedLatencyTarget
		send(secondProxy, "GET", "other.example", "/sheet/broken", "student", id("sheet"))
		want["student "+id("sheet")] = audit.Truncated
		waitUntilHealthy(secondProxy)
		send(firstProxy, "POST", "museum.example", "/loan/fine", "", id("loan"))
		send(firstProxy, "POST", "museum.example", "/loan/fine", "", id("twice"))
		send(secondProxy, "POST", "museum.example", "/loan/fine", "", id("twice"))
		want["museum "+id("twice")] = audit.Duplicated
		send(firstProxy, "POST", "museum.example", "/loan/silent", "", id("unclear"))
		want["museum "+id("unclear")] = audit.Indeterminate
		waitUntilHealthy(firstProxy)
		send(secondProxy, "POST", "museum.example", "/loan/silent", "", id("perhaps"))
		waitUntilHealthy(secondProxy)
		send(firstProxy, "POST", "museum.example", "/loan/fine", "", id("perhaps"))
		want["museum "+id("perhaps")] = audit.MaybeDuplicated
		send(secondProxy, "GET", "other.example", "/sheet/broken", "", id("nobody"))
		want["unknown "+id("nobody")] = audit.Truncated
		waitUntilHealthy(secondProxy)
	}
	got := func() map[string]audit.Kind {
		out := map[string]audit.Kind{}
		for _, f := range s.queryAccount("--most", "0").Failures {
			if f.Tenant == "watch" {
				continue
			}
			key := f.Tenant + " " + f.Request
			if _, isDuplicate := out[key]; isDuplicate {
				t.Errorf("%s is listed twice", key)
			}
			out[key] = f.Kind
		}
		return out
	}
	s.waitFor("the account to list the failures that were caused", func() bool { return reflect.DeepEqual(got(), want) || t.Failed() })
	if sum := s.queryAccount("--tenant", "museum", "--kind", "doubled").Counts; !reflect.DeepEqual(sum, map[string]map[audit.Kind]int{"museum": {audit.Duplicated: 3}}) {
		t.Errorf("counts of one kind = %v", sum)
	}
	// One proxy shuts down after another failure; the other one is killed and restarted.
	send(firstProxy, "GET", "museum.example", "/search/late", "", "last")
	want["museum last"] = audit.MissedLatencyTarget
	if err := first.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = first.Wait() // the exit status does not matter
	if err := second.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = second.Wait()
	s.start("lichentray-proxy", secondProxy)
	s.waitFor("the new incarnation in the audit log", func() bool { return s.isReady(secondProxy) })
	if g := got(); !reflect.DeepEqual(g, want) {
		t.Errorf("after the proxies ended: failures = %v, want %v", g, want)
	}
	gaps := s.queryAccount().Gaps
	for id, g := range gaps {
		if g.Node != "node-"+secondProxy || !g.Gap || g.MayMiss < 0 {
			t.Errorf("gap %s: %+v", id, g)
		}
	}
	if len(gaps) != 1 {
		t.Errorf("%d gaps, want only the killed incarnation: %v", len(gaps), gaps)
	}
}
