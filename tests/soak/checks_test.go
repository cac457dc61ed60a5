package soak

import "testing"

// TestCutOffRequest checks that a request whose connection ended without an answer counts only if an
// endpoint ran it.
func TestCutOffRequest(t *testing.T) {
	for _, test := range []struct {
		name   string
		hasRun bool
		want   int
	}{
		{"one that an endpoint ran", true, 1},
		{"one that crossed the end of its connection", false, 0},
	} {
		c := newChecks()
		if test.hasRun {
			c.recordRun("r")
		}
		if c.recordCutOff("r", "proxy"); len(c.result()) != test.want {
			t.Errorf("%s: %q", test.name, c.result())
		}
	}
}
