package soak

import "testing"

// TestUnansweredRequest checks that a request whose connection ended without a response counts as a
// violation only if an endpoint executed it.
func TestUnansweredRequest(t *testing.T) {
	for _, test := range []struct {
		name   string
		hasRun bool
		want   int
	}{
		{"executed by an endpoint", true, 1},
		{"sent while the connection was being closed", false, 0},
	} {
		c := newChecks()
		if test.hasRun {
			c.recordRun("r")
		}
		if c.recordUnanswered("r", "proxy"); len(c.result()) != test.want {
			t.Errorf("%s: violations = %q", test.name, c.result())
		}
	}
}
