package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lichentray/internal/controlplanetest"
)

const (
	// memoryMB and maxOpenFiles are the limits of each process in its settings.
	memoryMB     = 96
	maxOpenFiles = 1000
	// otherFiles is the part of maxOpenFiles that is kept for files outside the data directory.
	otherFiles = 200

	coreIP  = "127.0.0.41"
	proxyIP = "127.0.0.42"
	relayIP = "127.0.0.43"

	// answerTimeout is how long an ordinary caller repeats its request.
	answerTimeout = time.Minute
	pollInterval  = 20 * time.Millisecond
	callTimeout   = 5 * time.Second
)

// programs is the directory of the built programs.
var programs string

// TestMain builds the programs, without the race detector, as that takes memory of its own.
func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	var err error
	if programs, err = os.MkdirTemp("", "crowd"); err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(programs)
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", programs+"/", "lichentray/cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// deployment is a core node that is also a directory, a proxy, a relay and two endpoints.
type deployment struct {
	t         *testing.T
	directory string
	ports     map[string]int
	core      *process
	proxy     *process
	relay     *process
}

// startDeployment starts all processes, and waits until the configuration is in force.
func startDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, directory: t.TempDir(), ports: map[string]int{}}
	used := map[int]bool{}
	for _, name := range []string{"control_plane", "internal", "frontend", "readiness", "directory"} {
		port := controlplanetest.FreePort(t, coreIP, proxyIP, relayIP)
		for used[port] {
			port = controlplanetest.FreePort(t, coreIP, proxyIP, relayIP)
		}
		used[port] = true
		d.ports[name] = port
	}
	d.core = d.start("lichentray-controlplane", coreIP, []string{"control_plane", "directory"})
	d.waitFor("a configuration", func() bool {
		status, _ := d.call(coreIP, "configuration.replace", configurationText(1, 2))
		return status == http.StatusOK
	})
	d.startEndpoint("held", "i-held")
	d.startEndpoint("ordinary", "i-ordinary")
	d.relay = d.start("lichentray-controlplane", relayIP, []string{"control_plane"})
	d.proxy = d.start("lichentray-proxy", proxyIP, []string{"frontend", "readiness"})
	d.waitFor("the relay", func() bool { return d.takeNumber(relayIP) })
	d.waitFor("the proxy", d.isProxyReady)
	d.waitFor("a response", d.isOrdinaryAnswered)
	d.waitFor("the directory", d.isDirectoryAnswering)
	return d
}

// address returns the address of a listener.
func (d *deployment) address(ip, listener string) string {
	return net.JoinHostPort(ip, strconv.Itoa(d.ports[listener]))
}

// settingsText returns the settings of one process.
func (d *deployment) settingsText(ip string, listeners []string) string {
	data := ""
	if ip == coreIP {
		data = filepath.Join(d.directory, "data")
	}
	text := controlplanetest.SettingsText(ip, data, d.ports["control_plane"], d.ports["internal"], []string{coreIP}, ip == coreIP)
	listen := "[zones]\na = \"r\"\n[listen_addresses]\n"
	for _, name := range listeners {
		if name != "control_plane" {
			listen += fmt.Sprintf("%s = %q\n", name, d.address(ip, name))
		}
	}
	replacements := []string{
		"heartbeat_interval_s = 5\n", "heartbeat_interval_s = 5\nentry_type = \"directory\"\nregion = \"r\"\n",
		"[listen_addresses]\n", listen,
		"memory_mb = 300", fmt.Sprintf("memory_mb = %d", memoryMB),
		"max_open_files = 4000", fmt.Sprintf("max_open_files = %d", maxOpenFiles),
		"machines = 1", "machines = 0",
	}
	if ip != coreIP {
		replacements = append(replacements, "quorum_member = true", "quorum_member = false")
	}
	return strings.NewReplacer(replacements...).Replace(text)
}

// start starts a program with its limit on descriptors, and kills it at the end of the test.
func (d *deployment) start(program, ip string, listeners []string) *process {
	d.t.Helper()
	if err := os.MkdirAll(filepath.Join(d.directory, "data"), 0o700); err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.directory, program+ip+".toml")
	if err := os.WriteFile(path, []byte(d.settingsText(ip, listeners)), 0o600); err != nil {
		d.t.Fatal(err)
	}
	const limitDescriptors = `ulimit -n "$0" && exec "$@"`
	p := &process{name: program, ended: make(chan struct{})}
	p.command = exec.Command("sh", "-c", limitDescriptors, strconv.Itoa(maxOpenFiles), filepath.Join(programs, program), "--config", path)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.command.Stdout = &p.log
	p.command.Stderr = &p.log
	if err := p.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	go func() {
		_ = p.command.Wait() // only that it has ended matters
		close(p.ended)
	}()
	go p.countDescriptors()
	d.t.Cleanup(func() {
		_ = p.command.Process.Kill() // it may have ended
		<-p.ended
		if d.t.Failed() {
			d.t.Logf("%s %s:\n%s", program, ip, p.log.String())
		}
	})
	return p
}

// waitFor polls until a condition holds, and fails the test after answerTimeout.
func (d *deployment) waitFor(what string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(answerTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			d.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// client returns an HTTP client with a connection of its own for each request.
func client() *http.Client {
	return &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// do sends a request and returns the status and the body. The status is 0 if there is none.
func do(request *http.Request) (status int, body []byte) {
	response, err := client().Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	if body, err = io.ReadAll(response.Body); err != nil {
		return 0, nil
	}
	return response.StatusCode, body
}

// call sends a call to a control-plane node.
func (d *deployment) call(ip, name, body string) (status int, answer []byte) {
	return d.post(d.address(ip, "control_plane"), "/api/rpc?call="+name, []byte(body))
}

// post sends a POST request.
func (d *deployment) post(address, path string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	return do(request)
}

// get sends a GET request and reports whether it was answered with 200.
func (d *deployment) get(address, path string) bool {
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	status, _ := do(request)
	return status == http.StatusOK
}

// takeNumber takes a number of a sequence at a control-plane node.
func (d *deployment) takeNumber(ip string) bool {
	status, _ := d.post(d.address(ip, "control_plane"), "/api/numbers/crowd", []byte("{}"))
	return status == http.StatusOK
}

// isCoreAnswering reports whether the core node serves small calls and reads of the configuration.
func (d *deployment) isCoreAnswering() bool {
	status, _ := d.call(coreIP, "configuration.read", "{}")
	return status == http.StatusOK && d.takeNumber(coreIP)
}

// isRelayAnswering reports whether the relay forwards calls.
func (d *deployment) isRelayAnswering() bool { return d.takeNumber(relayIP) }

// isProxyReady reports whether the readiness check of the proxy succeeds.
func (d *deployment) isProxyReady() bool {
	return d.get(d.address(proxyIP, "readiness"), "/api/readiness")
}

// isDirectoryAnswering reports whether the directory answers a look-up.
func (d *deployment) isDirectoryAnswering() bool {
	return d.get(d.address(coreIP, "directory"), "/api/resolve?name="+hostName)
}

// isOrdinaryAnswered reports whether a request through the proxy is answered by its endpoint.
func (d *deployment) isOrdinaryAnswered() bool {
	status, body := d.postThroughProxy("/ordinary/echo", []byte("hello"))
	return status == http.StatusOK && string(body) == "hello"
}

// postThroughProxy sends a request to the proxy.
func (d *deployment) postThroughProxy(path string, body []byte) (status int, answer []byte) {
	request, err := http.NewRequest(http.MethodPost, "http://"+d.address(proxyIP, "frontend")+path, bytes.NewReader(body))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", "ordinary")
	return do(request)
}

const (
	hostName = "crowd.example"
	// maxBodyBytes and maxHeaderBytes are limits of the configuration.
	maxBodyBytes   = 4 << 20
	maxHeaderBytes = 16384
	// endpointCapacity is the number of requests that an endpoint serves at once.
	endpointCapacity = 64
)

// configurationText returns a configuration with the given number of routes, two at least.
func configurationText(version, routes int) string {
	const rule = `{"name":%q,"route_type":"idempotent","target_latency_s":1,"priority":2,"match":{"path_prefix":"/%s/"},` +
		`"action":{"backend_service":%q,"timeout_s":20,"max_attempts":2}}`
	rules := []string{fmt.Sprintf(rule, "held", "held", "held"), fmt.Sprintf(rule, "ordinary", "ordinary", "ordinary")}
	for i := len(rules); i < routes; i++ {
		name := fmt.Sprint("r-", i)
		rules = append(rules, fmt.Sprintf(rule, name, name, "ordinary"))
	}
	return fmt.Sprintf(`{"config_version":%d,"limits":{"max_header_bytes":%d,"max_body_bytes":%d,"header_timeout_s":3,"idle_timeout_s":15},`+
		`"listeners":[{"hostname":%q,"rules":[%s]}],"clusters":[{"name":"held","health_check_path":"/health"},{"name":"ordinary","health_check_path":"/health"}]}`,
		version, maxHeaderBytes, maxBodyBytes, hostName, strings.Join(rules, ","))
}

// startEndpoint starts an endpoint of a service that runs until the end of the test.
func (d *deployment) startEndpoint(service, id string) {
	d.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(serveEndpoint), ReadHeaderTimeout: answerTimeout}
	go func() { _ = server.Serve(listener) }() // ends when the server is closed
	heartbeat := fmt.Sprintf(`{"address":%q,"info":{"backend_service":%q,"zone":"a","capacity":%d},"status":{"state":"ready","sequence":1}}`,
		listener.Addr(), service, endpointCapacity)
	d.waitFor("an endpoint", func() bool {
		status, _ := d.call(coreIP, "instances.heartbeat&of="+id, heartbeat)
		return status == http.StatusOK
	})
	stop := make(chan struct{})
	go d.sendHeartbeats(id, heartbeat, stop)
	d.t.Cleanup(func() {
		close(stop)
		server.Close()
	})
}

// sendHeartbeats renews the registration of an endpoint.
func (d *deployment) sendHeartbeats(id, heartbeat string, stop chan struct{}) {
	for sequence := 2; ; sequence++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
		d.call(coreIP, "instances.heartbeat&of="+id, strings.Replace(heartbeat, `"sequence":1`, fmt.Sprintf(`"sequence":%d`, sequence), 1))
	}
}

// largeResponseBytes is the size of the response to a request whose path ends in "/large". It is
// chunked and below what a proxy buffers of such a response.
const largeResponseBytes = 1<<20 - 1<<10

// serveEndpoint serves the requests of both endpoints.
func serveEndpoint(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Server-Signature", "signed")
	w.Header().Set("X-Instance-Id", r.Header.Get("X-Target-Instance"))
	switch {
	case strings.HasSuffix(r.URL.Path, "/large"):
		w.(http.Flusher).Flush() // so that the length is not known
		_, _ = w.Write(make([]byte, largeResponseBytes))
	case strings.HasSuffix(r.URL.Path, "/hold"):
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	default:
		body, err := io.ReadAll(r.Body)
		if err == nil {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
		}
	}
}
