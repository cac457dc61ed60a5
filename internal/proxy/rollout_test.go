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

// applyTestRollout applies a rollout of service s.
func (p *Proxy) applyTestRollout(r rollout.Rollout) {
	p.applyObject(registry.Object{Key: registry.RolloutPrefix + "s", Value: r.Encode()}, true)
}

// addVersionedEndpoint adds an endpoint of a version to service s.
func (p *Proxy) addVersionedEndpoint(id, version string, e *stubEndpoint) {
	x := registry.Endpoint{ID: id, Service: "s", Version: version, Address: e.listener.Addr().String(), Zone: "a", Capacity: 40}
	p.applyObject(registry.Object{Key: x.Key(), Value: x.Encode()}, true)
}

// TestRolloutDecidesVersion checks which version a proxy sends requests to in each state of a
// rollout: without a rollout, after a rollback and without recent bookmarks, all to the base
// version; in the canary stage, a small share to the target version; in the final stage, all. An
// idempotent request that fails on the target version is retried on the base version. A request
// still succeeds in the final stage if the base version was stopped and its removal is not known
// yet.
func TestRolloutDecidesVersion(t *testing.T) {
	failing := "HTTP/1.1 500 Broken\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nContent-Length: 0\r\n\r\n"
	base := newStubEndpoint(t, func(int, string) string { return okResponse("old") })
	var isRepaired atomic.Bool
	target := newStubEndpoint(t, func(int, string) string {
		if isRepaired.Load() {
			return okResponse("new")
		}
		return failing
	})
	p, f := startFrontend(t)
	// The requests are sent sequentially, so the seed determines the version of each.
	p.random = rand.New(rand.NewSource(1)).Float64
	p.settings.Guarantees = []string{"rollout"}
	addr := f.listener.Addr().String()
	p.addVersionedEndpoint("i-old", "v1", base)
	p.addVersionedEndpoint("i-new", "v2", target)
	setLastBookmark := func(isRecent bool) {
		p.lastBookmarkAt.Store(int64(p.now()))
		if !isRecent {
			p.lastBookmarkAt.Store(-int64(p.timeouts.rolloutLease) * 2)
		}
	}
	inProgress := func(stage int) rollout.Rollout {
		return rollout.Rollout{Base: "v1", OrderNumber: 1, Target: "v2", State: rollout.InProgress, Stage: stage, DeadlineSeconds: 15}
	}
	const n = 300
	for _, c := range []struct {
		name              string
		r                 rollout.Rollout
		hasRecentBookmark bool
		minTarget         int // requests sent to the target version
		maxTarget         int
		wantFailures      bool // of non-idempotent requests
	}{
		{"no rollout", rollout.Rollout{Base: "v1"}, true, 0, 0, false},
		{"canary stage", inProgress(0), true, 1, n / 5, true},
		{"canary stage without recent bookmark", inProgress(0), false, 0, 0, false},
		{"final stage", inProgress(3), true, n, n, true},
		{"final stage without recent bookmark", inProgress(3), false, 0, 0, false},
		{"rolled back", rollout.Rollout{Base: "v1", OrderNumber: 1, Target: "v2", State: rollout.RolledBack, Stage: 3}, true, 0, 0, false},
	} {
		p.applyTestRollout(c.r)
		for _, path := range []string{"/safe/a", "/once/a"} {
			before, failed := len(target.requests()), 0
			for range n {
				setLastBookmark(c.hasRecentBookmark)
				for range 5 { // keeps the retry budget from running out
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
					t.Fatalf("%s: status of %s = %d", c.name, path, s)
				}
			}
			got := len(target.requests()) - before
			if got < c.minTarget || got > c.maxTarget || (path == "/once/a" && (failed > 0) != c.wantFailures) {
				t.Errorf("%s: %s: target version received %d of %d requests, %d failed", c.name, path, got, n, failed)
			}
		}
		if c.r.State == rollout.InProgress {
			report := p.rolloutReports()["s"]
			sum := rollout.Counts{}
			for _, counts := range report.Evidence {
				sum = sum.Add(counts.Target)
			}
			if report.Order != 1 || sum.Failed != sum.Answers || (sum.Failed > 0) != (c.minTarget > 0) {
				t.Errorf("%s: report = %+v", c.name, report)
			}
		}
	}
	// The final stage is reached, the base endpoint is stopped, and this node has no recent bookmark.
	isRepaired.Store(true)
	p.applyTestRollout(inProgress(3))
	setLastBookmark(false)
	base.listener.Close()
	p.services["s"].connPools[p.services["s"].pool.Endpoints()[0]].closeIdle()
	if s := statusOf(sendRaw(t, addr, postRequest("/once/a"), 1)); s != 200 {
		t.Errorf("status after the base endpoint was stopped = %d, want 200", s)
	}
}

// TestCanaryUsesEndpointSubset checks that, while the target version's traffic share is small, all
// proxy nodes use the same few of its endpoints, but more than one, and in the final stage all of
// them.
func TestCanaryUsesEndpointSubset(t *testing.T) {
	for _, c := range []struct{ endpoints, stage, wantSubset int }{{300, 0, 5}, {300, 1, 20}, {300, 3, 300}, {5, 0, 4}, {2, 0, 2}} {
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
			var subset []string
			for _, e := range pool.Endpoints() {
				if e.VersionGroup != loadbalance.TargetVersion {
					t.Fatalf("endpoint %s is not of the target version", e.ID)
				}
				if e.InRolloutSubset {
					subset = append(subset, e.ID)
				}
			}
			if got := strings.Join(subset, " "); len(subset) != c.wantSubset || first != "" && got != first {
				t.Errorf("%+v: subset has %d endpoints: %s", c, len(subset), got)
			} else {
				first = got
			}
		}
	}
}
