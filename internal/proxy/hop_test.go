package proxy

import (
	"testing"

	"lichentray/internal/apierror"
)

// TestHops holds the table against the rules for every phase and every state of a
// request.
func TestHops(t *testing.T) {
	for p := waiting; p < phases; p++ {
		for bits := range 1 << 6 {
			on := func(i int) bool { return bits>>i&1 == 1 }
			s := state{on(0), on(1), on(2), on(3), on(4), on(5)}
			d := p.next(s)
			left := p >= sentPart && p != turnedAway
			whole := p >= turnedAway
			promise := d.kind == apierror.Unavailable || d.kind.Status() == 408 || d.kind.Status() == 429
			switch {
			case d.ran != (s.ran || left):
				t.Errorf("%d %+v: ran %v", p, s, d.ran)
			case hops[p].reuse && !whole:
				t.Errorf("%d: a connection is kept without a whole answer", p)
			case d.next == elsewhere && (p == waiting || p >= answered || !s.inTime || !s.tries || s.consumed || left && !s.repeatable):
				t.Errorf("%d %+v: sent again", p, s)
			case d.next == pass && p < failed:
				t.Errorf("%d %+v: passes an answer that is none", p, s)
			case d.next == giveUp && (p >= failed || promise == d.ran):
				t.Errorf("%d %+v: given up with %v", p, s, d.kind)
			}
			// What may be tried again is, so that no rule is kept by doing nothing.
			may := s.inTime && s.tries && !s.consumed && p != waiting && p < answered
			if may && (!left || s.repeatable && (s.budget || p != failed)) != (d.next == elsewhere) {
				t.Errorf("%d %+v: %v", p, s, d)
			}
		}
	}
	for status, want := range map[int]int{200: 200, 400: 400, 408: 502, 429: 502, 500: 500, 503: 502, 504: 504} {
		if passed(status, false) != want || passed(status, true) != status {
			t.Errorf("%d is passed as %d and %d", status, passed(status, false), passed(status, true))
		}
	}
}
