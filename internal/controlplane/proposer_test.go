package controlplane

import (
	"testing"
	"time"

	"lichentray/internal/apierror"
	"lichentray/internal/transport"
	"lichentray/raft"
	"lichentray/registry"
)

// newTestProposer returns a proposer with a running event loop but without consensus or peers.
func newTestProposer(t *testing.T) *proposer {
	t.Helper()
	env := newTestEnvironment(t)
	return &proposer{
		environment: env,
		loop:        startTestLoop(env),
		consensus:   &consensusView{env: env},
	}
}

// scriptedCall is a leaderCall whose attempts have scripted results.
type scriptedCall struct {
	self     string
	attempts []scriptedAttempt
	started  int
	finished []outcome
}

type scriptedAttempt struct {
	isLocal bool
	outcome *outcome // nil if there is none
}

func (c *scriptedCall) start(_ *loopState, done chan<- outcome) string {
	attempt := c.attempts[min(c.started, len(c.attempts)-1)]
	c.started++
	if !attempt.isLocal {
		return ""
	}
	if attempt.outcome != nil {
		done <- *attempt.outcome
	}
	return c.self
}

func (c *scriptedCall) request(time.Duration) (*transport.Request, time.Duration) {
	panic("unexpected forwarded request")
}

func (c *scriptedCall) finishLocal(o outcome) bool {
	c.finished = append(c.finished, o)
	return o.err == nil
}

func (c *scriptedCall) finishForwarded(*transport.Response, bool, error) bool {
	panic("unexpected forwarded request")
}

func TestCallLeader(t *testing.T) {
	success := &outcome{result: registry.Result{Revision: 7}}
	rejected := &outcome{err: ErrNotLeader}
	for _, c := range []struct {
		name         string
		attempts     []scriptedAttempt
		timeout      time.Duration
		isFinal      bool
		wantFinished int
		wantLastKind apierror.Kind
	}{
		{"first attempt succeeds", []scriptedAttempt{{true, success}}, time.Second, true, 1, 0},
		{"leader found at third attempt", []scriptedAttempt{{}, {}, {true, success}}, time.Second, true, 1, 0},
		{"leadership lost and regained", []scriptedAttempt{{true, rejected}, {true, success}}, time.Second, true, 2, 0},
		{"no time for a second attempt", []scriptedAttempt{{}}, 100 * time.Millisecond, false, 0, 0},
		{"no outcome in time", []scriptedAttempt{{true, nil}}, 50 * time.Millisecond, false, 1, apierror.UnknownOutcome},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestProposer(t)
			call := &scriptedCall{self: p.self.Addr, attempts: c.attempts}
			isFinal, err := p.callLeader(call, time.Now().Add(c.timeout))
			if err != nil || isFinal != c.isFinal || len(call.finished) != c.wantFinished {
				t.Fatalf("callLeader() = %v, %v; outcomes %+v", isFinal, err, call.finished)
			}
			if c.wantLastKind != 0 {
				if last := call.finished[len(call.finished)-1]; apierror.KindOf(last.err) != c.wantLastKind {
					t.Errorf("last outcome: error %v", last.err)
				}
			}
		})
	}
}

// TestAwaitOutcomeOfDeposedLeader guards against a deposed leader that waits until the
// deadline: it must wait only one election timeout longer for the next leader's log.
func TestAwaitOutcomeOfDeposedLeader(t *testing.T) {
	p := newTestProposer(t)
	leaderChanged := make(chan struct{})
	close(leaderChanged)
	o := p.awaitOutcome(make(chan outcome), leaderChanged, time.Now().Add(time.Hour))
	if apierror.KindOf(o.err) != apierror.UnknownOutcome {
		t.Errorf("awaitOutcome() error = %v, want kind UnknownOutcome", o.err)
	}
}

// TestForwardedProposal checks which responses of a leader on another node are final, and which
// leave it unknown whether the command is applied.
func TestForwardedProposal(t *testing.T) {
	failed := func(kind apierror.Kind) *transport.Response {
		return &transport.Response{Failed: true, Kind: kind, Detail: "detail"}
	}
	for _, c := range []struct {
		name           string
		response       *transport.Response
		mayHaveArrived bool
		err            error
		isFinal        bool
		mayBeApplied   bool
		kind           apierror.Kind
	}{
		{"applied", &transport.Response{Result: registry.Result{Revision: 3}}, true, nil, true, false, 0},
		{"rejected permanently", failed(apierror.BadRequest), true, nil, true, false, apierror.BadRequest},
		{"no longer the leader", failed(apierror.Unavailable), true, nil, false, false, 0},
		{"outcome unknown to the leader", failed(apierror.UnknownOutcome), true, nil, false, true, 0},
		{"not sent", nil, false, errPeerNotConnected, false, false, 0},
		{"sent, no response", nil, true, errPeerTimeout, false, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			call := &proposalCall{proposer: newTestProposer(t)}
			if isFinal := call.finishForwarded(c.response, c.mayHaveArrived, c.err); isFinal != c.isFinal {
				t.Errorf("finishForwarded() = %v", isFinal)
			}
			if call.mayBeApplied != c.mayBeApplied {
				t.Errorf("mayBeApplied = %v", call.mayBeApplied)
			}
			if c.kind != 0 && apierror.KindOf(call.err) != c.kind {
				t.Errorf("call error = %v", call.err)
			}
		})
	}
}

func TestPendingRequests(t *testing.T) {
	pending := newPendingRequests()
	propose := func(index, term uint64) chan outcome {
		done := make(chan outcome, 1)
		pending.addProposal(index, term, done)
		return done
	}
	own := propose(5, 2)
	overwritten := propose(6, 2)
	covered := propose(7, 2)
	result := registry.Result{Revision: 9}
	pending.resolveEntry(raft.Entry{Index: 5, Term: 2}, result, true)
	if o := <-own; o.err != nil || o.result.Revision != 9 {
		t.Errorf("applied entry: outcome %+v", o)
	}
	pending.resolveEntry(raft.Entry{Index: 6, Term: 3}, result, true)
	if o := <-overwritten; apierror.KindOf(o.err) != apierror.Unavailable {
		t.Errorf("overwritten entry: outcome %+v, want kind Unavailable", o)
	}
	notDurable := propose(8, 3)
	pending.resolveEntry(raft.Entry{Index: 8, Term: 3}, result, false)
	if o := <-notDurable; apierror.KindOf(o.err) != apierror.UnknownOutcome {
		t.Errorf("entry that is not durable: outcome %+v, want kind UnknownOutcome", o)
	}
	pending.failThrough(7)
	if o := <-covered; apierror.KindOf(o.err) != apierror.UnknownOutcome {
		t.Errorf("entry covered by a snapshot: outcome %+v, want kind UnknownOutcome", o)
	}
	if len(pending.proposals) != 0 {
		t.Errorf("%d proposals left, want 0", len(pending.proposals))
	}

	for _, isConfirmed := range []bool{true, false} {
		done := make(chan outcome, 1)
		id := pending.addRead(done)
		pending.resolveRead(raft.ReadState{RequestID: id, Index: 4, Confirmed: isConfirmed})
		o := <-done
		if (o.err == nil) != isConfirmed || o.readIndex != 4 {
			t.Errorf("read with confirmed = %v: outcome %+v", isConfirmed, o)
		}
	}
}

// TestProposalFinalResult guards against a caller that is told that nothing was done although
// an attempt may have applied the command, whatever ended the attempts.
func TestProposalFinalResult(t *testing.T) {
	for _, c := range []struct {
		name         string
		mayBeApplied bool
		isFinal      bool
		err          error
		want         apierror.Kind
	}{
		{"no leader in time", false, false, nil, apierror.Unavailable},
		{"no leader in time, a response was lost", true, false, nil, apierror.UnknownOutcome},
		{"node closes", false, false, errStopping, apierror.Unavailable},
		{"node closes, a response was lost", true, false, errStopping, apierror.UnknownOutcome},
	} {
		call := &proposalCall{proposer: &proposer{environment: newTestEnvironment(t)}, mayBeApplied: c.mayBeApplied}
		if _, err := call.finalResult(c.isFinal, c.err); apierror.KindOf(err) != c.want {
			t.Errorf("%s: finalResult() error = %v", c.name, err)
		}
	}
	call := &proposalCall{result: registry.Result{Revision: 7}, mayBeApplied: true}
	if result, err := call.finalResult(true, nil); err != nil || result.Revision != 7 {
		t.Errorf("finalResult(final) = %+v, %v", result, err)
	}
}
