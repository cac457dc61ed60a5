package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const validConfiguration = `{"config_version":3,"listeners":[],"clusters":[{"name":"s"}]}`

// TestCommandsPrintResultAndExitCode runs each command against a fake node that responds with the
// given status, and checks the output and the exit code. A command with an invalid input file must
// not call the node.
func TestCommandsPrintResultAndExitCode(t *testing.T) {
	status := 200
	calls := 0
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls++
		w.WriteHeader(status)
		switch {
		case r.URL.Path == "/api/status":
			fmt.Fprint(w, `{"node":"n1","id":"0a","role":"leader","term":4,"revision":9,"members":[{"id":"0a","voter":true}],"proxies":[{"node":"p1","revision":9}],"zones":{"z1":"evacuated"},"services":{"s":{"rollout":{"base":"v1","target":"v2","state":"in_progress"},"endpoints":{"v1":3}}},"registered":[{"name":"p7","address":"10.0.0.7:80","zone":"z1"}]}`)
		case r.URL.Query().Get("call") == "evacuations.read":
			fmt.Fprint(w, `{"zones":{"z1":"evacuated"}}`)
		case r.URL.Query().Get("call") == "accounts.read":
			fmt.Fprint(w, `{"failures":[{"tenant":"museum","request":"q1","kind":"doubled","at_ms":5,"tries":[{"node":"p1","kind":"ran","status":200},{"node":"p2","kind":"ran","status":200}]}],"sums":{"museum":{"doubled":1}},"gaps":{"p3-x":{"node":"p3","gap":true,"may_miss":7}}}`)
		case r.URL.Query().Get("call") == "rollouts.read":
			fmt.Fprint(w, `{"state":"rolled_back","target_version":"v2","base_version":"v1","share":0,"why":"answers fail"}`)
		case r.URL.Query().Get("call") == "configuration.read":
			fmt.Fprint(w, validConfiguration)
		}
	}))
	defer node.Close()
	addr := strings.TrimPrefix(node.URL, "http://")
	relay := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Location", node.URL+r.URL.RequestURI())
		w.WriteHeader(307)
	}))
	defer relay.Close()
	dir := t.TempDir()
	writeFile := func(name, text string) string {
		p := filepath.Join(dir, name)
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return p
	}
	validFile, invalidFile := writeFile("good.json", validConfiguration), writeFile("bad.json", `{"config_version":3,"listeners":[],"clusters":[{}]}`)
	for _, test := range []struct {
		args       string
		status     int
		wantCode   int
		wantOutput string
	}{
		{"--help", 200, exitOK, "Exit codes"},
		{"version", 200, exitOK, "lichentrayctl "},
		{"config check " + validFile, 200, exitOK, "valid: version 3"},
		{"config check " + invalidFile, 200, exitInvalid, "clusters.0"},
		{"config check " + validFile + " --output json", 200, exitOK, `"valid": true`},
		{"config check", 200, exitUsage, "one file"},
		{"config read --nodes " + addr, 200, exitOK, validConfiguration},
		{"config replace " + validFile + " --nodes " + addr, 200, exitOK, "acknowledged by"},
		{"config replace " + validFile + " --nodes " + addr, 400, exitInvalid, "rejected the request with status 400"},
		{"config replace " + validFile + " --timeout 50ms --nodes " + addr, 503, exitFailed, "no node accepted"},
		{"evac list --nodes " + addr, 200, exitOK, "z1  evacuated"},
		{"evac begin z1 --nodes " + addr, 200, exitOK, "acknowledged by"},
		{"evac finish z1 --nodes " + addr, 400, exitInvalid, "rejected the request with status 400"},
		{"evac finish z1 --timeout 50ms --nodes " + addr, 504, exitOutcomeUnknown, "may or may not"},
		{"evac begin", 200, exitUsage, "one zone"},
		{"status --nodes " + addr, 200, exitOK, "p7"},
		{"config replace " + validFile + " --timeout 50ms --nodes " + addr, 504, exitOutcomeUnknown, "may or may not"},
		{"config replace " + invalidFile + " --nodes " + addr, 200, exitInvalid, "clusters.0"},
		{"status --nodes " + addr, 200, exitOK, "p1"},
		{"status --nodes " + addr, 500, exitFailed, "no node answered"},
		{"status --output xml --nodes " + addr, 200, exitUsage, "text or json"},
		{"settings check " + invalidFile, 200, exitInvalid, "TOML"},
		{"status --nodes " + addr, 200, exitOK, "service s: in use v1, endpoints by version map[v1:3]; to v2: in_progress"},
		{"rollout begin s v2 12s --nodes " + addr, 200, exitOK, "s moves to v2"},
		{"rollout begin s v2 12s --nodes " + strings.TrimPrefix(relay.URL, "http://"), 200, exitOK, "s moves to v2"},
		{"rollout begin s v2 12s --nodes " + addr, 409, exitInvalid, "rejected the request with status 409"},
		{"rollout begin s v2 12 --nodes " + addr, 200, exitUsage, "not a positive duration"},
		{"rollout begin s v2", 200, exitUsage, "a service, a version and a duration"},
		{"rollout read s --nodes " + addr, 200, exitOK, "answers fail"},
		{"rollout read s --nodes " + addr, 404, exitFailed, "returned not found"},
		{"account --nodes " + addr, 200, exitOK, "ran at p1 (200, 0 ms), ran at p2"},
		{"account --tenant museum --since 90m --nodes " + addr, 200, exitOK, "p3-x (p3) ended unseen, up to 7 requests are missing"},
		{"account --output json --nodes " + addr, 200, exitOK, `"doubled": 1`},
		{"account --kind slow --nodes " + addr, 200, exitUsage, "--kind"},
		{"account --since yesterday --nodes " + addr, 200, exitUsage, "--since"},
		{"account --since 1m --until 5m --nodes " + addr, 200, exitUsage, "--until"},
		{"account --most -1 --nodes " + addr, 200, exitUsage, "--most"},
		{"account all --nodes " + addr, 200, exitUsage, "flags only"},
		{"account --nodes " + addr, 404, exitFailed, "returned not found"},
		{"nonsense", 200, exitUsage, "unknown command"},
	} {
		status, calls = test.status, 0
		var out bytes.Buffer
		if code := run(strings.Fields(test.args), nil, &out, &out); code != test.wantCode || !strings.Contains(out.String(), test.wantOutput) {
			t.Errorf("lichentrayctl %s (status %d of the node): exit code %d, want %d; output %q", test.args, test.status, code, test.wantCode, out.String())
		}
		if strings.Contains(test.args, invalidFile) && calls > 0 {
			t.Errorf("lichentrayctl %s called the node, want no call for an invalid file", test.args)
		}
	}
	var out bytes.Buffer
	if run([]string{"status", "--nodes", addr, "--output", "json"}, nil, &out, &out); !json.Valid(out.Bytes()) {
		t.Errorf("output of status --output json = %s, want valid JSON", out.String())
	}
}
