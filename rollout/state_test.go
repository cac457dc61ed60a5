package rollout_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lichentray/rollout"
)

const deadline = 15 * time.Second

// startedRollout returns a rollout from v1 to v2 in its initial state.
func startedRollout(t *testing.T) rollout.Rollout {
	t.Helper()
	r, err := rollout.Rollout{Base: "v1"}.Start("v2", deadline)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestStart checks the outcome of an order in every state. A retried order must not start a
// second rollout, and a conflicting one must be rejected. It also checks that the resulting
// states survive encoding and decoding.
func TestStart(t *testing.T) {
	in := func(s rollout.State) rollout.Rollout {
		r := rollout.Rollout{Base: "v1", OrderNumber: 1, Target: "v2", State: s, DeadlineSeconds: 15}
		if s == rollout.Succeeded {
			r.Base = "v2"
		}
		return r
	}
	const (
		inProgress = rollout.InProgress
		succeeded  = rollout.Succeeded
		rolledBack = rollout.RolledBack
	)
	for _, test := range []struct {
		name        string
		from        rollout.Rollout
		target      string
		deadline    time.Duration
		state       rollout.State
		orderNumber uint64
		rejected    bool
	}{
		{"no endpoint", rollout.Rollout{}, "v2", deadline, "", 0, true},
		{"first order", rollout.Rollout{Base: "v1"}, "v2", deadline, inProgress, 1, false},
		{"first order, version in use", rollout.Rollout{Base: "v1"}, "v1", deadline, succeeded, 1, false},
		{"in progress, same version", in(inProgress), "v2", deadline, inProgress, 1, false},
		{"in progress, other version", in(inProgress), "v3", deadline, inProgress, 1, true},
		{"succeeded, same version", in(succeeded), "v2", deadline, succeeded, 1, false},
		{"succeeded, next version", in(succeeded), "v3", deadline, inProgress, 2, false},
		{"succeeded, previous version", in(succeeded), "v1", deadline, inProgress, 2, false},
		{"rolled back, same order repeated", in(rolledBack), "v2", deadline, rolledBack, 1, false},
		{"rolled back, same version, new order", in(rolledBack), "v2", 2 * deadline, rolledBack, 1, true},
		{"rolled back, next version", in(rolledBack), "v3", deadline, inProgress, 2, false},
		{"rolled back, version in use", in(rolledBack), "v1", deadline, succeeded, 2, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			got, err := test.from.Start(test.target, test.deadline)
			var rejection rollout.RejectedError
			if errors.As(err, &rejection) != test.rejected || got.State != test.state || got.OrderNumber != test.orderNumber {
				t.Errorf("%+v.Start(%s) = %+v, %v, want the outcome of the test case", test.from, test.target, got, err)
			}
			if back, err := rollout.Decode(got.Encode()); err != nil || back != got {
				t.Errorf("Decode(Encode(%+v)) = %+v, %v, want the same value", got, back, err)
			}
		})
	}
	if _, err := rollout.Decode([]byte(`{"base":`)); err == nil {
		t.Error("Decode of a truncated value succeeded, want an error")
	}
}

// storedRollout is a rollout's object in the registry. A write succeeds only at the revision
// that was read.
type storedRollout struct {
	rollout  rollout.Rollout
	revision int
}

func (s *storedRollout) compareAndSet(r rollout.Rollout, readRevision int) bool {
	if readRevision != s.revision {
		return false
	}
	s.rollout = r
	s.revision++
	return true
}

// TestSingleDecision guards against a rollout whose outcome changes after it was decided, as
// when two leaders decide differently on what they have read. It runs all sequences of six
// steps of two leaders, one that finds the target good and one that finds it bad, an operator
// who repeats the order or sends another one, and a restart of a leader. The first outcome of
// each order must never change.
func TestSingleDecision(t *testing.T) {
	good := rollout.Observation{
		Elapsed:            deadline,
		StageElapsed:       time.Second,
		StageTargetAnswers: 50,
		TargetAnswers:      500,
		BaseCapacity:       10,
		TargetCapacity:     10,
		TrafficShifted:     true,
		PropagationDelay:   time.Second,
	}
	bad := good
	bad.Verdict.Bad = true
	steps := []string{"A reads", "B reads", "A finds target good", "B finds target bad", "same order", "other order", "A restarts"}
	outcomes := map[rollout.State]int{}
	// stored is the object in the registry, a and b are the copies that the two leaders have
	// read, and decided is the outcome of the newest order that has one.
	var run func(stored, a, b storedRollout, decided map[uint64]rollout.State, depth int, path string)
	run = func(stored, a, b storedRollout, decided map[uint64]rollout.State, depth int, path string) {
		r := stored.rollout
		if outcome, done := decided[r.OrderNumber]; done && (r.State != outcome || r.Target == "") {
			t.Fatalf("%s: outcome of order %d changed from %s to %s", path, r.OrderNumber, outcome, r.State)
		}
		if r.State == rollout.Succeeded || r.State == rollout.RolledBack {
			decided = map[uint64]rollout.State{r.OrderNumber: r.State}
			base := map[rollout.State]string{rollout.Succeeded: r.Target, rollout.RolledBack: "v1"}[r.State]
			if r.OrderNumber == 1 && r.Base != base {
				t.Fatalf("%s: state %s has the wrong base %s", path, r.State, r.Base)
			}
			outcomes[r.State]++
		}
		if depth == 0 {
			return
		}
		for _, step := range steps {
			stored, a, b := stored, a, b
			switch step {
			case "A reads":
				a = stored
			case "B reads":
				b = stored
			case "A finds target good":
				if next, changed := a.rollout.Advance(good); changed {
					stored.compareAndSet(next, a.revision)
				}
			case "B finds target bad":
				if next, changed := b.rollout.Advance(bad); changed {
					stored.compareAndSet(next, b.revision)
				}
			case "same order", "other order":
				target := map[string]string{"same order": "v2", "other order": "v3"}[step]
				if next, err := r.Start(target, deadline); err == nil && next != r {
					if r.State == rollout.InProgress {
						t.Fatalf("%s: a second order was accepted while one is in progress", path)
					}
					stored.compareAndSet(next, stored.revision)
				}
			case "A restarts":
				a = storedRollout{}
			}
			run(stored, a, b, decided, depth-1, path+", "+step)
		}
	}
	first := startedRollout(t)
	first.Stage = 3
	start := storedRollout{first, 1}
	run(start, start, start, map[uint64]rollout.State{}, 6, "started")
	if outcomes[rollout.Succeeded] == 0 || outcomes[rollout.RolledBack] == 0 {
		t.Errorf("outcomes = %v, want both succeeded and rolled back", outcomes)
	}
}

// TestInsufficientEvidenceRollsBack guards against the promotion of a target that could not be
// evaluated. If there are too few answers or endpoints by the deadline, or the target is
// suspect, the rollout must be rolled back with the matching reason.
func TestInsufficientEvidenceRollsBack(t *testing.T) {
	for _, test := range []struct {
		name        string
		observation rollout.Observation
		reason      string
	}{
		{
			name:   "no endpoint",
			reason: "no endpoint of the version came",
		},
		{
			name:        "few answers",
			observation: rollout.Observation{TargetCapacity: 10, BaseCapacity: 10, TargetAnswers: 3, StageTargetAnswers: 3},
			reason:      "too few answers to judge by",
		},
		{
			name:        "little capacity",
			observation: rollout.Observation{TargetCapacity: 6, BaseCapacity: 10, TargetAnswers: 300, StageTargetAnswers: 300},
			reason:      "too few endpoints of the version to carry the traffic",
		},
		{
			name: "suspect",
			observation: rollout.Observation{
				TargetCapacity: 10, BaseCapacity: 10, TargetAnswers: 300, StageTargetAnswers: 300,
				Verdict: rollout.Verdict{Suspect: true},
			},
			reason: "suspect until the term",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := startedRollout(t)
			o := test.observation
			o.StageElapsed = time.Hour
			o.AnalysisDelay = time.Second
			o.PropagationDelay = time.Second
			for at := time.Duration(0); at <= deadline; at += reportInterval {
				o.Elapsed = at
				r, _ = r.Advance(o)
			}
			if r.State != rollout.RolledBack || r.Reason != test.reason || r.Base != "v1" {
				t.Errorf("rollout with observation %+v ended as %+v, want it rolled back with the reason of the test case", o, r)
			}
		})
	}
}

// Example advances a rollout of a good version through its stages.
func Example() {
	r, _ := rollout.Rollout{Base: "v1"}.Start("v2", 10*time.Second)
	analyzer := rollout.NewAnalyzer()
	evidence := rollout.Evidence{}
	for at := time.Duration(0); r.State == rollout.InProgress; at += time.Second {
		evidence.Add(rollout.Evidence{"route": {Base: rollout.Counts{Answers: 100}, Target: rollout.Counts{Answers: 50}}})
		next, changed := r.Advance(rollout.Observation{
			Elapsed:            at,
			StageElapsed:       time.Second,
			AnalysisDelay:      time.Second,
			PropagationDelay:   time.Second / 2,
			Verdict:            analyzer.Analyze(evidence, 8),
			StageTargetAnswers: 50,
			TargetAnswers:      evidence.TargetAnswers(),
			BaseCapacity:       8,
			TargetCapacity:     8,
			TrafficShifted:     true,
		})
		r = next
		if changed {
			fmt.Printf("%v %s, share %g, base %s\n", at, r.State, r.TrafficShare(), r.Base)
		}
	}
	// Output:
	// 6s in_progress, share 0.08, base v1
	// 7s in_progress, share 0.25, base v1
	// 8s in_progress, share 1, base v1
	// 9s succeeded, share 0, base v2
}
