package settings

import (
	"os"
	"strings"
	"testing"
)

// readSample returns the contents of a complete settings file.
func readSample(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("testdata/node.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestParse checks that settings are decoded, that unknown keys are ignored, and that errors name
// the invalid key.
func TestParse(t *testing.T) {
	s, err := Parse([]byte(readSample(t) + "\nsomething_new = 3\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.ContactWindow.Duration().Seconds() != 3 || s.InternalAddr("10.2.0.40:8166") != "10.2.0.40:7720" || !s.Bootstrap {
		t.Errorf("Parse of the sample returned %+v", s)
	}
	for _, test := range []struct{ name, old, new, wantInError string }{
		{"node name missing", `node_name = "edge-1"`, ``, "node_name"},
		{"bound missing", `contact_s = 3`, ``, "contact_s"},
		{"bound below 0", `contact_s = 3`, `contact_s = -1`, "bounds.contact_s"},
		{"bound not a number", `contact_s = 3`, `contact_s = "soon"`, "bounds.contact_s"},
		{"port range of one port", `internal_port_range = [7720,7735]`, `internal_port_range = [7720]`, "internal_port_range"},
		{"port range reversed", `internal_port_range = [7720,7735]`, `internal_port_range = [7735,7720]`, "internal_port_range"},
		{"address of a service missing", `control_plane = "10.1.0.10:8166"`, ``, "listen_addresses.control_plane"},
		{"memory limit of 0", `memory_mb = 284`, `memory_mb = 0`, "limits.memory_mb"},
		{"address not an IP address", `ip_address = "10.1.0.10"`, `ip_address = "here"`, "ip_address"},
		{"not TOML", `[zones]`, `[zones`, "TOML"},
	} {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(readSample(t), test.old, test.new, 1)
			if _, err := Parse([]byte(text)); err == nil {
				t.Errorf("Parse accepted %q in place of %q", test.new, test.old)
			} else if !strings.Contains(err.Error(), test.wantInError) {
				t.Errorf("%q: error does not name %s: %v", test.new, test.wantInError, err)
			}
		})
	}
}

// TestBoundsDefaults guards against bounds that are 0 because the file omits them: watches would have
// no history, and answers of the directory no lifetime.
func TestBoundsDefaults(t *testing.T) {
	text := readSample(t)
	given, err := Parse([]byte(text))
	if err != nil || given.Bounds.HistoryRetention != 20 {
		t.Fatalf("with history_retention_s = 20: HistoryRetention = %v, error %v", given.Bounds.HistoryRetention, err)
	}
	s, err := Parse([]byte(strings.Replace(text, "history_retention_s = 20\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.HistoryRetention != defaultHistoryRetention || s.Bounds.MaxTTL != s.Bounds.ContactWindow {
		t.Errorf("defaults: HistoryRetention = %v, MaxTTL = %v", s.Bounds.HistoryRetention, s.Bounds.MaxTTL)
	}
}
