package proxy

import (
	"testing"

	"lichentray/internal/apierror"
)

// TestRetryTable checks the decisions by the retry table against the rules for retries, for every
// phase and every state of a request.
func TestRetryTable(t *testing.T) {
	for p := phaseQueued; p < phaseCount; p++ {
		for bits := range 1 << 6 {
			bit := func(i int) bool { return bits>>i&1 == 1 }
			s := retryState{bit(0), bit(1), bit(2), bit(3), bit(4), bit(5)}
			d := p.decide(s)
			mayExecute := p >= phasePartlySent && p != phaseUnprocessed
			isComplete := p >= phaseUnprocessed
			guaranteesUnexecuted := d.errorKind == apierror.Unavailable || d.errorKind.Status() == 408 || d.errorKind.Status() == 429
			switch {
			case d.mayHaveExecuted != (s.mayHaveExecuted || mayExecute):
				t.Errorf("phase %d, %+v: mayHaveExecuted = %v", p, s, d.mayHaveExecuted)
			case retryTable[p].reusesConnection && !isComplete:
				t.Errorf("phase %d: connection is reused without a complete response", p)
			case d.action == actionRetry && (p == phaseQueued || p >= phaseAnswered || !s.beforeDeadline || !s.attemptsLeft || s.bodyConsumed || mayExecute && !s.isIdempotent):
				t.Errorf("phase %d, %+v: request is retried", p, s)
			case d.action == actionRelay && p < phaseFailed:
				t.Errorf("phase %d, %+v: relays without a valid response", p, s)
			case d.action == actionFail && (p >= phaseFailed || guaranteesUnexecuted == d.mayHaveExecuted):
				t.Errorf("phase %d, %+v: fails with %v", p, s, d.errorKind)
			}
			// A retry that is permitted must be made; otherwise a table without retries would pass.
			isRetryable := s.beforeDeadline && s.attemptsLeft && !s.bodyConsumed && p != phaseQueued && p < phaseAnswered
			if isRetryable && (!mayExecute || s.isIdempotent && (s.budgetLeft || p != phaseFailed)) != (d.action == actionRetry) {
				t.Errorf("phase %d, %+v: decide() = %v", p, s, d)
			}
		}
	}
	for status, want := range map[int]int{200: 200, 400: 400, 408: 502, 429: 502, 500: 500, 503: 502, 504: 504} {
		if relayedStatus(status, false) != want || relayedStatus(status, true) != status {
			t.Errorf("relayedStatus(%d) = %d if non-idempotent and %d if idempotent", status, relayedStatus(status, false), relayedStatus(status, true))
		}
	}
}
