package rollout_test

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"lichentray/rollout"
)

const term = 15 * time.Second

func begun(t *testing.T) rollout.Rollout {
	t.Helper()
	r, err := rollout.Rollout{Base: "v1"}.Begin("v2", term)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestOrders: what an order does in each state, by a table written out by hand.
func TestOrders(t *testing.T) {
	in := func(s rollout.State) rollout.Rollout {
		r := rollout.Rollout{Base: "v1", Order: 1, Target: "v2", State: s, DeadlineS: 15}
		if s == rollout.Succeeded {
			r.Base = "v2"
		}
		return r
	}
	for _, c := range []struct {
		from    rollout.Rollout
		target  string
		term    time.Duration
		state   rollout.State
		order   uint64
		refused bool
	}{
		{rollout.Rollout{}, "v2", term, "", 0, true},
		{rollout.Rollout{Base: "v1"}, "v2", term, rollout.InProgress, 1, false},
		{rollout.Rollout{Base: "v1"}, "v1", term, rollout.Succeeded, 1, false},
		{in(rollout.InProgress), "v2", term, rollout.InProgress, 1, false},
		{in(rollout.InProgress), "v3", term, rollout.InProgress, 1, true},
		{in(rollout.Succeeded), "v2", term, rollout.Succeeded, 1, false},
		{in(rollout.Succeeded), "v3", term, rollout.InProgress, 2, false},
		{in(rollout.Succeeded), "v1", term, rollout.InProgress, 2, false},
		{in(rollout.RolledBack), "v2", term, rollout.RolledBack, 1, false}, // the same order, sent again
		{in(rollout.RolledBack), "v2", 2 * term, rollout.RolledBack, 1, true},
		{in(rollout.RolledBack), "v3", term, rollout.InProgress, 2, false},
		{in(rollout.RolledBack), "v1", term, rollout.Succeeded, 2, false},
	} {
		got, err := c.from.Begin(c.target, c.term)
		var refusal rollout.Refusal
		if errors.As(err, &refusal) != c.refused || got.State != c.state || got.Order != c.order {
			t.Errorf("%+v ordered to %s: %+v, %v", c.from, c.target, got, err)
		}
		if back, err := rollout.Decode(got.Encode()); err != nil || back != got {
			t.Errorf("%+v comes back as %+v, %v", got, back, err)
		}
	}
	if _, err := rollout.Decode([]byte(`{"base":`)); err == nil {
		t.Error("a value cut short was read")
	}
}

// cell is the registry's object: a write holds only under the revision read.
type cell struct {
	r        rollout.Rollout
	revision int
}

func (c *cell) write(r rollout.Rollout, read int) bool {
	if read != c.revision {
		return false
	}
	c.r, c.revision = r, c.revision+1
	return true
}

// TestOneDecision plays all interleavings of eight steps: two leaders that read and
// decide on what they read, one finding the version good and one bad, the operator
// who repeats the order or gives another, and a restart that forgets what was read.
// A plain model beside it holds the outcome that each order came to first.
func TestOneDecision(t *testing.T) {
	good := rollout.Facts{Spent: term, InStage: time.Second, Verdict: rollout.Verdict{}, StageAnswers: 50, Answers: 500, BaseSlots: 10, TargetSlots: 10, Moved: true, Commit: time.Second}
	bad := good
	bad.Verdict.Bad = true
	actions := []string{"A reads", "B reads", "A finds it good", "B finds it bad", "same order", "other order", "A restarts"}
	outcomes := map[rollout.State]int{}
	var play func(c cell, a, b cell, decided map[uint64]rollout.State, depth int, path string)
	play = func(c cell, a, b cell, decided map[uint64]rollout.State, depth int, path string) {
		if was, done := decided[c.r.Order]; done && (c.r.State != was || c.r.Target == "") {
			t.Fatalf("%s: order %d was %s and is %s", path, c.r.Order, was, c.r.State)
		}
		if c.r.State == rollout.Succeeded || c.r.State == rollout.RolledBack {
			decided = map[uint64]rollout.State{c.r.Order: c.r.State}
			if base := map[rollout.State]string{rollout.Succeeded: c.r.Target, rollout.RolledBack: "v1"}[c.r.State]; c.r.Order == 1 && c.r.Base != base {
				t.Fatalf("%s: %s with base %s", path, c.r.State, c.r.Base)
			}
			outcomes[c.r.State]++
		}
		if depth == 0 {
			return
		}
		for _, act := range actions {
			c, a, b := c, a, b
			switch act {
			case "A reads":
				a = c
			case "B reads":
				b = c
			case "A finds it good", "B finds it bad":
				who, f := a, good
				if act == "B finds it bad" {
					who, f = b, bad
				}
				if next, changed := who.r.Next(f); changed {
					c.write(next, who.revision)
				}
			case "same order", "other order":
				to := map[string]string{"same order": "v2", "other order": "v3"}[act]
				if next, err := c.r.Begin(to, term); err == nil && next != c.r {
					if c.r.State == rollout.InProgress {
						t.Fatalf("%s: a second order began while one is under way", path)
					}
					c.write(next, c.revision)
				}
			case "A restarts":
				a = cell{}
			}
			play(c, a, b, decided, depth-1, path+", "+act)
		}
	}
	first := begun(t)
	first.Stage = 3
	start := cell{first, 1}
	play(start, start, start, map[uint64]rollout.State{}, 6, "begun")
	if outcomes[rollout.Succeeded] == 0 || outcomes[rollout.RolledBack] == 0 {
		t.Errorf("outcomes met: %v", outcomes)
	}
}

// world is a service's traffic as the proxies see it, in steps of reports.
type world struct {
	rnd                *rand.Rand
	fail, slow, broken float64                                                                 // of ordinary answers, both versions
	bad                func(at time.Duration, route string, load float64) (fail, slow float64) // of the target's
	burst              func(at time.Duration) float64                                          // broken attempts at both
	silent             func(at time.Duration) bool                                             // no leader judges
	grey               bool                                                                    // one of the target's few endpoints is ill
	perS               float64
}

type played struct {
	state    rollout.State
	why      string
	exposure float64       // of all requests until the term
	after    time.Duration // from the 50th bad answer to the last request
	spent    time.Duration
}

const tick = 300 * time.Millisecond

// play runs one order. What is decided reaches the proxies a tick later, and what
// they saw reaches the judge a tick later.
func (w *world) play(t *testing.T) played {
	r := begun(t)
	judge := rollout.NewJudge()
	sum, late := rollout.Evidence{}, rollout.Evidence{}
	var strata rollout.Strata
	share, entered, stage, answersAt := 0.0, time.Duration(0), 0, 0
	var got played
	sent, total, badSeen := 0.0, 0.0, 0
	var fiftieth, last time.Duration
	poisson := func(x float64) int {
		n, l, p := 0, math.Exp(-x), 1.0
		for p *= w.rnd.Float64(); p > l; p *= w.rnd.Float64() {
			n++
		}
		return n
	}
	for at := time.Duration(0); at < term; at += tick {
		sum.Add(late)
		late = rollout.Evidence{}
		strata.Fade()
		for i, part := range []float64{0.6, 0.3, 0.1} {
			route := []string{"lookup", "reserve", "sheet"}[i]
			n := poisson(w.perS * part * tick.Seconds())
			total += float64(n)
			for range n {
				strata.Arrive(i)
				target, end := w.rnd.Float64() < strata.Share(share, i), 0
				fail, slow, broken := w.fail, w.slow, w.broken
				if w.burst != nil {
					broken += w.burst(at)
				}
				if target {
					sent++
					last = at
					load := 1.0
					if share < 1 {
						load = 1.25
					}
					if w.bad != nil {
						f, s := w.bad(at, route, load)
						fail, slow = fail+f, slow+s
					}
					if end = w.rnd.Intn(6); w.grey && share < 0.1 && end == 0 {
						fail += 0.4
					}
				}
				c := rollout.Count{Answers: 1, Timed: 1}
				switch x := w.rnd.Float64(); {
				case x < broken:
					c = rollout.Count{Broken: 1}
				case x < broken+fail:
					c.Failed, c.Timed = 1, 0
				case x < broken+fail+slow:
					c.Slow = 1
				}
				if target {
					late.Add(rollout.Evidence{route: rollout.OfTarget(fmt.Sprint(end), c)})
					if c.Failed+c.Slow > 0 && w.bad != nil {
						if badSeen++; badSeen == 50 {
							fiftieth = at
						}
					}
				} else {
					late.Add(rollout.Evidence{route: rollout.OfBase(c)})
				}
			}
		}
		share = 0
		if r.State == rollout.InProgress && at > time.Second {
			share = r.Share()
		}
		if r.State == rollout.Succeeded {
			share = 1
		}
		if w.silent != nil && w.silent(at) {
			if share < 1 || r.State == rollout.InProgress {
				share = 0 // the lease is out
			}
			continue
		}
		if r.Stage != stage {
			stage, entered, answersAt = r.Stage, at, sum.Answers()
		}
		next, changed := r.Next(rollout.Facts{
			Spent: at, InStage: at - entered, Pause: time.Second, Commit: 800 * time.Millisecond, Verdict: judge.See(sum, 6),
			All: sum.All(), Answers: sum.Answers(), StageAnswers: sum.Answers() - answersAt, BaseSlots: 100, TargetSlots: 100, Moved: at-entered > 2*time.Second,
		})
		if changed {
			r = next
			if r.State != rollout.InProgress {
				got.spent = at
			}
		}
	}
	got.state, got.why, got.exposure = r.State, r.Why, sent/total
	if badSeen >= 50 {
		got.after = last - fiftieth
	}
	return got
}

// TestVerdicts counts wrong verdicts over many seeds, and what a bad version got of
// the traffic, against stated bounds.
func TestVerdicts(t *testing.T) {
	always := func(f, s float64) func(time.Duration, string, float64) (float64, float64) {
		return func(time.Duration, string, float64) (float64, float64) { return f, s }
	}
	from := func(since time.Duration, f float64) func(time.Duration, string, float64) (float64, float64) {
		return func(at time.Duration, _ string, _ float64) (float64, float64) {
			if at < since {
				return 0, 0
			}
			return f, 0
		}
	}
	crash := func(at time.Duration) float64 {
		if at > 6*time.Second && at < 8*time.Second {
			return 0.15
		}
		return 0
	}
	cut := func(at time.Duration) bool { return at > 4*time.Second && at < 7*time.Second }
	for _, c := range []struct {
		name  string
		w     world
		good  bool
		wrong int // of the plays, at the most
	}{
		{"good", world{}, true, 0},
		{"good, few requests", world{perS: 120}, true, 1},
		{"good, hardly any requests", world{perS: 25}, true, 3},
		{"good, crashes among both versions", world{burst: crash}, true, 0},
		{"good, one of its few endpoints ill", world{grey: true}, true, 2},
		{"good, answers lost at both", world{broken: 0.05}, true, 0},
		{"good, both fail often", world{fail: 0.05, slow: 0.06}, true, 0},
		{"good, no leader for three seconds", world{silent: cut}, true, 0},
		{"slightly worse than the base's own errors", world{fail: 0.02, bad: always(0.01, 0)}, true, 1},
		{"bad at once", world{bad: always(0.43, 0)}, false, 0},
		{"a fifth fails", world{bad: always(0.2, 0)}, false, 0},
		{"slow", world{bad: always(0, 0.4)}, false, 0},
		{"late", world{bad: from(3500*time.Millisecond, 0.41)}, false, 0},
		{"late, as all moves", world{bad: from(10400*time.Millisecond, 0.41)}, false, 0},
		{"one route", world{bad: func(_ time.Duration, r string, _ float64) (float64, float64) {
			if r == "sheet" {
				return 0.43, 0
			}
			return 0, 0
		}}, false, 0},
		{"under load", world{bad: func(_ time.Duration, _ string, load float64) (float64, float64) {
			if load >= 1 {
				return 0.43, 0
			}
			return 0, 0
		}}, false, 0},
		{"bad at once, no leader for three seconds", world{silent: cut, bad: from(4*time.Second, 0.43)}, false, 0},
		{"bad, crashes among both versions", world{burst: crash, bad: from(6*time.Second, 0.43)}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			const plays = 60
			wrong, worst := 0, played{}
			for seed := range int64(plays) {
				w := c.w
				w.rnd = rand.New(rand.NewSource(seed))
				if w.perS == 0 {
					w.perS = 600
				}
				w.fail, w.slow = w.fail+0.004, w.slow+0.02
				got := w.play(t)
				if good := got.state == rollout.Succeeded; good != c.good {
					wrong++
					t.Logf("seed %d: %s after %v, %s", seed, got.state, got.spent, got.why)
				}
				worst.exposure, worst.after = max(worst.exposure, got.exposure), max(worst.after, got.after)
			}
			if wrong > c.wrong {
				t.Errorf("%d of %d verdicts wrong", wrong, plays)
			}
			if !c.good && (worst.exposure > 0.1 || worst.after > 4*time.Second) {
				t.Errorf("a bad version got %.3f of the requests, the last %v after its 50th bad answer", worst.exposure, worst.after)
			}
			t.Logf("wrong %d, exposure %.3f, %v after the 50th", wrong, worst.exposure, worst.after)
		})
	}
}

// TestShort: with too few answers, too few endpoints or none, the term ends in a
// roll-back that says so.
func TestShort(t *testing.T) {
	for _, c := range []struct {
		f    rollout.Facts
		says string
	}{
		{rollout.Facts{}, "no endpoint of the version came"},
		{rollout.Facts{TargetSlots: 10, BaseSlots: 10, Answers: 3, StageAnswers: 3}, "too few answers to judge by"},
		{rollout.Facts{TargetSlots: 6, BaseSlots: 10, Answers: 300, StageAnswers: 300}, "too few endpoints of the version to carry the traffic"},
		{rollout.Facts{TargetSlots: 10, BaseSlots: 10, Answers: 300, StageAnswers: 300, Verdict: rollout.Verdict{Suspect: true}}, "suspect until the term"},
	} {
		r := begun(t)
		for at := time.Duration(0); at <= term; at += tick {
			c.f.Spent, c.f.InStage, c.f.Pause, c.f.Commit = at, time.Hour, time.Second, time.Second
			r, _ = r.Next(c.f)
		}
		if r.State != rollout.RolledBack || r.Why != c.says || r.Base != "v1" {
			t.Errorf("%+v ends as %+v", c.f, r)
		}
	}
}

// Example follows a version that proves good through its stages.
func Example() {
	r, _ := rollout.Rollout{Base: "v1"}.Begin("v2", 10*time.Second)
	judge, seen := rollout.NewJudge(), rollout.Evidence{}
	for at := time.Duration(0); r.State == rollout.InProgress; at += time.Second {
		seen.Add(rollout.Evidence{"route": {Base: rollout.Count{Answers: 100}, Target: rollout.Count{Answers: 50}}})
		next, changed := r.Next(rollout.Facts{Spent: at, InStage: time.Second, Pause: time.Second, Commit: time.Second / 2, Moved: true,
			Verdict: judge.See(seen, 8), Answers: seen.Answers(), StageAnswers: 50, BaseSlots: 8, TargetSlots: 8})
		if r = next; changed {
			fmt.Printf("%v %s, share %g, base %s\n", at, r.State, r.Share(), r.Base)
		}
	}
	// Output:
	// 6s in_progress, share 0.08, base v1
	// 7s in_progress, share 0.25, base v1
	// 8s in_progress, share 1, base v1
	// 9s succeeded, share 0, base v2
}
