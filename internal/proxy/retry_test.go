package proxy

import (
	"testing"

	"lichentray/internal/apierror"
)

// TestRetryTable checks the retry table against the rules, for every phase and every state of a
// request.
func TestRetryTable(t *testing.T) {
	for p := phaseQueued; p < phaseCount; p++ {
		for bits := range 1 << 6 {
			on := func(i int) bool { return bits>>i&1 == 1 }
			s := retryState{on(0), on(1), on(2), on(3), on(4), on(5)}
			d := p.decide(s)
			left := p >= phasePartlySent && p != phaseUnprocessed
			whole := p >= phaseUnprocessed
			promise := d.errorKind == apierror.Unavailable || d.errorKind.Status() == 408 || d.errorKind.Status() == 429
			switch {
			case d.mayHaveExecuted != (s.mayHaveExecuted || left):
				t.Errorf("%d %+v: ran %v", p, s, d.mayHaveExecuted)
			case retryTable[p].reusesConnection && !whole:
				t.Errorf("%d: a connection is kept without a whole answer", p)
			case d.action == actionRetry && (p == phaseQueued || p >= phaseAnswered || !s.beforeDeadline || !s.attemptsLeft || s.bodyConsumed || left && !s.isIdempotent):
				t.Errorf("%d %+v: sent again", p, s)
			case d.action == actionRelay && p < phaseFailed:
				t.Errorf("%d %+v: passes an answer that is none", p, s)
			case d.action == actionFail && (p >= phaseFailed || promise == d.mayHaveExecuted):
				t.Errorf("%d %+v: given up with %v", p, s, d.errorKind)
			}
			// What may be tried again is, so that no rule is kept by doing nothing.
			may := s.beforeDeadline && s.attemptsLeft && !s.bodyConsumed && p != phaseQueued && p < phaseAnswered
			if may && (!left || s.isIdempotent && (s.budgetLeft || p != phaseFailed)) != (d.action == actionRetry) {
				t.Errorf("%d %+v: %v", p, s, d)
			}
		}
	}
	for status, want := range map[int]int{200: 200, 400: 400, 408: 502, 429: 502, 500: 500, 503: 502, 504: 504} {
		if relayedStatus(status, false) != want || relayedStatus(status, true) != status {
			t.Errorf("%d is passed as %d and %d", status, relayedStatus(status, false), relayedStatus(status, true))
		}
	}
}
