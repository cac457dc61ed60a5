package proxy

import (
	"fmt"
	"math/rand"
	"strings"
	"sync/atomic"
	"testing"

	"lichentray/loadbalance"
	"lichentray/registry"
	"lichentray/rollout"
)

// applyTestRollout applies a roll-out of service s.
func (p *Proxy) applyTestRollout(r rollout.Rollout) {
	p.applyObject(registry.Object{Key: registry.RolloutPrefix + "s", Value: r.Encode()}, true)
}

// addVersionedEndpoint adds an endpoint of a version to service s.
func (p *Proxy) addVersionedEndpoint(id, version string, e *stubEndpoint) {
	x := registry.Endpoint{ID: id, Service: "s", Version: version, Address: e.listener.Addr().String(), Zone: "a", Capacity: 40}
	p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, true)
}

// TestRolloutDecidesVersion: where a proxy sends requests in each state of a roll-out. Without an
// order, after a rollback, and without news, all go to the base version; in the canary a small
// share to the target; at the end all. A request that failed at the target is retried at the base
// version if it is idempotent.
func TestRolloutDecidesVersion(t *testing.T) {
	failing := "HTTP/1.1 500 Broken\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nContent-Length: 0\r\n\r\n"
	old := newStubEndpoint(t, func(int, string) string { return okResponse("old") })
	var isRepaired atomic.Bool
	fresh := newStubEndpoint(t, func(int, string) string {
		if isRepaired.Load() {
			return okResponse("new")
		}
		return failing
	})
	p, f := startFrontend(t)
	// The requests come one after the other, so the seed decides where each goes.
	p.random = rand.New(rand.NewSource(1)).Float64
	p.settings.Guarantees = []string{"rollout"}
	addr := f.listener.Addr().String()
	p.addVersionedEndpoint("i-old", "v1", old)
	p.addVersionedEndpoint("i-new", "v2", fresh)
	heard := func(on bool) {
		p.lastBookmarkAt.Store(int64(p.now()))
		if !on {
			p.lastBookmarkAt.Store(-int64(p.timeouts.rolloutLease) * 2)
		}
	}
	trial := func(stage int) rollout.Rollout {
		return rollout.Rollout{Base: "v1", OrderNumber: 1, Target: "v2", State: rollout.InProgress, Stage: stage, DeadlineSeconds: 15}
	}
	const n = 300
	for _, c := range []struct {
		what     string
		r        rollout.Rollout
		heard    bool
		least    int // requests at the target
		most     int
		failures bool // of requests that may run once
	}{
		{"no order", rollout.Rollout{Base: "v1"}, true, 0, 0, false},
		{"canary", trial(0), true, 1, n / 5, true},
		{"canary without news", trial(0), false, 0, 0, false},
		{"all", trial(3), true, n, n, true},
		{"all, without news", trial(3), false, 0, 0, false},
		{"rolled back", rollout.Rollout{Base: "v1", OrderNumber: 1, Target: "v2", State: rollout.RolledBack, Stage: 3}, true, 0, 0, false},
	} {
		p.applyTestRollout(c.r)
		for _, path := range []string{"/safe/a", "/once/a"} {
			before, failed := len(fresh.requests()), 0
			for range n {
				heard(c.heard)
				for range 5 { // a budget in hand
					p.services["s"].retryBudget.Deposit()
				}
				request := getRequest(path)
				if path == "/once/a" {
					request = postRequest(path)
				}
				switch s := statusOf(sendRaw(t, addr, request, 1)); {
				case s == 500 && path == "/once/a":
					failed++
				case s != 200:
					t.Fatalf("%s: %s got %d", c.what, path, s)
				}
			}
			got := len(fresh.requests()) - before
			if got < c.least || got > c.most || (path == "/once/a" && (failed > 0) != c.failures) {
				t.Errorf("%s: %s sent %d of %d to the target, %d failed", c.what, path, got, n, failed)
			}
		}
		if c.r.State == rollout.InProgress {
			report := p.rolloutReports()["s"]
			sum := rollout.Counts{}
			for _, a := range report.Evidence {
				sum = sum.Add(a.Target)
			}
			if report.Order != 1 || sum.Failed != sum.Answers || (sum.Failed > 0) != (c.least > 0) {
				t.Errorf("%s: reported %+v", c.what, report)
			}
		}
	}
	// All have moved, the old endpoints are stopped, and this node has not heard.
	isRepaired.Store(true)
	p.applyTestRollout(trial(3))
	heard(false)
	old.listener.Close()
	p.services["s"].connPools[p.services["s"].pool.Endpoints()[0]].closeIdle()
	if s := statusOf(sendRaw(t, addr, postRequest("/once/a"), 1)); s != 200 {
		t.Errorf("after the old endpoints were stopped unheard: %d", s)
	}
}

// TestCanaryIsConcentrated: all nodes pick the same few endpoints for a small share, several at
// least, and all of them at the end.
func TestCanaryIsConcentrated(t *testing.T) {
	for _, c := range []struct{ endpoints, stage, front int }{{300, 0, 5}, {300, 1, 20}, {300, 3, 300}, {5, 0, 4}, {2, 0, 2}} {
		var first string
		for range 2 {
			p, _ := startFrontend(t)
			e := newStubEndpoint(t, func(int, string) string { return okResponse("x") })
			for i := range c.endpoints {
				p.addVersionedEndpoint(fmt.Sprint("i-", i), "v2", e)
			}
			p.applyTestRollout(rollout.Rollout{Base: "v1", OrderNumber: 1, Target: "v2", State: rollout.InProgress, Stage: c.stage})
			pool := p.services["s"].pool
			pool.Pick(p.now(), func() float64 { return 0.5 }, nil)
			var front []string
			for _, e := range pool.Endpoints() {
				if e.VersionGroup != loadbalance.TargetVersion {
					t.Fatalf("%s is not under trial", e.ID)
				}
				if e.InRolloutSubset {
					front = append(front, e.ID)
				}
			}
			if got := strings.Join(front, " "); len(front) != c.front || first != "" && got != first {
				t.Errorf("%+v: %d of them in front: %s", c, len(front), got)
			} else {
				first = got
			}
		}
	}
}
