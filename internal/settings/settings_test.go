package settings

import (
	"os"
	"strings"
	"testing"
)

func readSample(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("testdata/node.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestParse(t *testing.T) {
	s, err := Parse([]byte(readSample(t) + "\nsomething_new = 3\n"))
	if err != nil {
		t.Fatal(err)
	}
	if s.Bounds.ContactWindow.Duration().Seconds() != 3 || s.InternalAddr("10.2.0.40:8166") != "10.2.0.40:7720" || !s.Bootstrap {
		t.Errorf("read as %+v", s)
	}
	for _, c := range []struct{ old, new, field string }{
		{`node_name = "edge-1"`, ``, "node_name"},
		{`contact_s = 3`, ``, "contact_s"},
		{`contact_s = 3`, `contact_s = -1`, "bounds.contact_s"},
		{`contact_s = 3`, `contact_s = "soon"`, "bounds.contact_s"},
		{`internal_port_range = [7720,7735]`, `internal_port_range = [7720]`, "internal_port_range"},
		{`internal_port_range = [7720,7735]`, `internal_port_range = [7735,7720]`, "internal_port_range"},
		{`control_plane = "10.1.0.10:8166"`, ``, "listen_addresses.control_plane"},
		{`memory_mb = 284`, `memory_mb = 0`, "limits.memory_mb"},
		{`ip_address = "10.1.0.10"`, `ip_address = "here"`, "ip_address"},
		{`[zones]`, `[zones`, "TOML"},
	} {
		text := strings.Replace(readSample(t), c.old, c.new, 1)
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("%q instead of %q was accepted", c.new, c.old)
		} else if !strings.Contains(err.Error(), c.field) {
			t.Errorf("%q: the error does not name %s: %v", c.new, c.field, err)
		}
	}
}
