// Package loopback drives the programs themselves on the loopback.
package loopback

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"
	"time"

	"lichentray/audit"
	"lichentray/internal/controlplanetest"
)

// testbed is one control-plane node and two proxy nodes as processes.
type testbed struct {
	t                                                      *testing.T
	dir, programDirectory                                  string
	controlPort, internalPort, frontendPort, readinessPort int
}

func newTestbed(t *testing.T) *testbed {
	s := &testbed{t: t, dir: t.TempDir()}
	s.programDirectory = filepath.Join(s.dir, "bin")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", s.programDirectory+"/", "lichentray/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	ips := []string{"127.0.0.31", "127.0.0.32", "127.0.0.33"}
	ports := map[int]bool{}
	free := func() int {
		for {
			if p := controlplanetest.FreePort(t, ips...); !ports[p] {
				ports[p] = true
				return p
			}
		}
	}
	s.controlPort, s.internalPort, s.frontendPort, s.readinessPort = free(), free(), free(), free()
	return s
}

func (s *testbed) start(program, ip string) *exec.Cmd {
	s.t.Helper()
	data := ""
	if program == "lichentray-controlplane" {
		data = filepath.Join(s.dir, "data")
		if err := os.MkdirAll(data, 0o700); err != nil {
			s.t.Fatal(err)
		}
	}
	path := filepath.Join(s.dir, program+ip+".toml")
	text := controlplanetest.SettingsText(ip, data, s.controlPort, s.internalPort, []string{"127.0.0.31"}, true)
	text = strings.Replace(text, "[listen_addresses]", fmt.Sprintf("[listen_addresses]\nfrontend = \"%s:%d\"\nreadiness = \"%s:%d\"", ip, s.frontendPort, ip, s.readinessPort), 1)
	text = strings.Replace(text, "machines = 1", "machines = 0", 1)
	if program == "lichentray-proxy" {
		text = strings.Replace(text, "quorum_member = true", "quorum_member = false", 1)
	}
	text += `[account]
hosts = { "museum.example" = "museum" }
tenant_header = "X-Tenant"
request_header = "X-Request-Id"
`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	c := exec.Command(filepath.Join(s.programDirectory, program), "--config", path)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var log bytes.Buffer
	c.Stdout, c.Stderr = &log, &log
	if err := c.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() {
		_ = c.Process.Kill() // it may have ended
		_ = c.Wait()
		if s.t.Failed() {
			s.t.Logf("%s %s:\n%s", program, ip, log.String())
		}
	})
	return c
}

func (s *testbed) waitFor(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(60 * time.Second); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("never came: " + what)
		}
	}
}

func (s *testbed) post(call, body string) int {
	r, err := http.Post(fmt.Sprintf("http://127.0.0.31:%d/api/rpc?call=%s", s.controlPort, call), "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body) // only the status counts
	return r.StatusCode
}

// isReady tells whether a proxy node calls itself so.
func (s *testbed) isReady(ip string) bool {
	r, err := http.Get(fmt.Sprintf("http://%s:%d/api/readiness", ip, s.readinessPort))
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == 200
}

// queryAccount asks lichentrayctl.
func (s *testbed) queryAccount(flags ...string) (a audit.QueryResult) {
	s.t.Helper()
	args := append([]string{"account", "--output", "json", "--nodes", fmt.Sprintf("127.0.0.31:%d", s.controlPort)}, flags...)
	out, err := exec.Command(filepath.Join(s.programDirectory, "lichentrayctl"), args...).Output()
	if err == nil {
		err = json.Unmarshal(out, &a)
	}
	if err != nil {
		s.t.Fatalf("lichentrayctl %v: %v\n%s", args, err, out)
	}
	return a
}

// startEndpoint does to each request what its path says.
func startEndpoint(t *testing.T) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	serve := func(c net.Conn) {
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // it is short
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s\r\nContent-Length: %%d\r\n\r\n", r.Header.Get("X-Attempt-Id"))
			body := "fine"
			switch {
			case strings.HasSuffix(r.URL.Path, "/late"):
				time.Sleep(1200 * time.Millisecond) // over the route's aim of a second
			case strings.HasSuffix(r.URL.Path, "/broken"):
				fmt.Fprintf(c, head, 200000)
				fmt.Fprint(c, strings.Repeat("x", 100000))
				return
			case strings.HasSuffix(r.URL.Path, "/silent"):
				return // it may have run, and there is no answer
			}
			fmt.Fprintf(c, head, len(body))
			fmt.Fprint(c, body)
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// TestAccountListsEveryFailureOnceAndKilledProxyAsGap causes failures of each kind on purpose at two proxy nodes, for three
// tenants, each try of a commitment at another node; ends one proxy in order and
// kills the other; and finds all of them with lichentrayctl, under the right tenant and
// request, once, and the killed life named as a gap.
func TestAccountListsEveryFailureOnceAndKilledProxyAsGap(t *testing.T) {
	s := newTestbed(t)
	s.start("lichentray-controlplane", "127.0.0.31")
	a := s.start("lichentray-proxy", "127.0.0.32")
	b := s.start("lichentray-proxy", "127.0.0.33")
	s.waitFor("a configuration", func() bool {
		return s.post("configuration.replace", `{"config_version":1,"clusters":[{"name":"s","health_check_path":"/health"}],"listeners":[`+
			`{"hostname":"museum.example","rules":[`+
			`{"name":"search","route_type":"idempotent","target_latency_s":1,"match":{"path_prefix":"/search/"},"action":{"backend_service":"s","timeout_s":20,"max_attempts":1}},`+
			`{"name":"loan","route_type":"non_idempotent","target_latency_s":10,"match":{"path_prefix":"/loan/"},"action":{"backend_service":"s","timeout_s":20,"max_attempts":1}}]},`+
			`{"hostname":"other.example","rules":[{"name":"sheet","route_type":"download","target_latency_s":10,"match":{"path_prefix":"/sheet/"},"action":{"backend_service":"s","timeout_s":20,"max_attempts":1}}]}]}`) == 200
	})
	beat := fmt.Sprintf(`{"address":%q,"info":{"backend_service":"s","zone":"a","capacity":64},"status":{"state":"ready","sequence":1}}`, startEndpoint(t))
	s.waitFor("an endpoint", func() bool { return s.post("instances.heartbeat&of=i-1", beat) == 200 })
	s.waitFor("both proxies are ready, so their lives are in the book", func() bool { return s.isReady("127.0.0.32") && s.isReady("127.0.0.33") })
	ask := func(proxy, method, host, path, tenant, request string) {
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
			_, _ = io.Copy(io.Discard, resp.Body) // it may break off
			resp.Body.Close()
		}
	}
	// An endpoint that fails is kept out for a moment; a request that finds none is
	// another failure than the one meant.
	well := func(proxy string) {
		t.Helper()
		s.waitFor("the endpoint is used again", func() bool {
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
	pa, pb := "127.0.0.32", "127.0.0.33"
	want := map[string]audit.Kind{}
	for i := range 3 {
		id := func(what string) string { return fmt.Sprint(what, i) }
		ask(pa, "GET", "museum.example", "/search/fine", "", id("fine"))
		ask(pa, "GET", "museum.example", "/search/late", "", id("late"))
		want["museum "+id("late")] = audit.MissedLatencyTarget
		ask(pb, "GET", "other.example", "/sheet/broken", "student", id("sheet"))
		want["student "+id("sheet")] = audit.Truncated
		well(pb)
		ask(pa, "POST", "museum.example", "/loan/fine", "", id("loan"))
		ask(pa, "POST", "museum.example", "/loan/fine", "", id("twice"))
		ask(pb, "POST", "museum.example", "/loan/fine", "", id("twice"))
		want["museum "+id("twice")] = audit.Duplicated
		ask(pa, "POST", "museum.example", "/loan/silent", "", id("unclear"))
		want["museum "+id("unclear")] = audit.Indeterminate
		well(pa)
		ask(pb, "POST", "museum.example", "/loan/silent", "", id("perhaps"))
		well(pb)
		ask(pa, "POST", "museum.example", "/loan/fine", "", id("perhaps"))
		want["museum "+id("perhaps")] = audit.MaybeDuplicated
		ask(pb, "GET", "other.example", "/sheet/broken", "", id("nobody"))
		want["unknown "+id("nobody")] = audit.Truncated
		well(pb)
	}
	got := func() map[string]audit.Kind {
		out := map[string]audit.Kind{}
		for _, f := range s.queryAccount("--most", "0").Failures {
			if f.Tenant == "watch" {
				continue
			}
			key := f.Tenant + " " + f.Request
			if _, there := out[key]; there {
				t.Errorf("%s is there twice", key)
			}
			out[key] = f.Kind
		}
		return out
	}
	s.waitFor("the account holds what was caused", func() bool { return reflect.DeepEqual(got(), want) || t.Failed() })
	if sum := s.queryAccount("--tenant", "museum", "--kind", "doubled").Counts; !reflect.DeepEqual(sum, map[string]map[audit.Kind]int{"museum": {audit.Duplicated: 3}}) {
		t.Errorf("sums of one kind: %v", sum)
	}
	// One ends in order, after a last failure; the other is killed and starts again.
	ask(pa, "GET", "museum.example", "/search/late", "", "last")
	want["museum last"] = audit.MissedLatencyTarget
	if err := a.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	_ = a.Wait() // its status is not asked about
	if err := b.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = b.Wait()
	s.start("lichentray-proxy", pb)
	s.waitFor("the new life is in the book", func() bool { return s.isReady(pb) })
	if g := got(); !reflect.DeepEqual(g, want) {
		t.Errorf("after the ends: %v, want %v", g, want)
	}
	gaps := s.queryAccount().Gaps
	for id, g := range gaps {
		if g.Node != "node-"+pb || !g.Gap || g.MayMiss < 0 {
			t.Errorf("gap %s: %+v", id, g)
		}
	}
	if len(gaps) != 1 {
		t.Errorf("%d gaps, want the killed life alone: %v", len(gaps), gaps)
	}
}
