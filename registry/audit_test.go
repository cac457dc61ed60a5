package registry_test

import (
	"fmt"
	"reflect"
	"sort"
	"testing"
	"time"

	"lichentray/audit"
	"lichentray/raft/rafttest"
	"lichentray/registry"
)

// TestAuditLogMatchesCausedFailures lets proxies cause failures of every kind, each
// attempt of a commitment at another proxy, and send their records to a cluster whose
// nodes crash, freeze and are partitioned, while acknowledgements are lost, batches come
// twice and late, and proxies are killed or shut down gracefully. The model is a plain
// list of what was caused. The audit log must hold that list: every failure under its
// tenant and request, none twice; and what a killed proxy had not sent must be within
// the gap that the log reports.
func TestAuditLogMatchesCausedFailures(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runAuditSimulation(t, seed) })
	}
}

// causedAttempt is one attempt as it truly was.
type causedAttempt struct {
	incarnation string
	audit.Record
}

// expectedKind is the model of what all attempts of one commitment amount to.
func expectedKind(attempts []causedAttempt) audit.Kind {
	executed, maybeExecuted := 0, 0
	for _, c := range attempts {
		if c.Kind == audit.Executed {
			executed++
		}
		if c.Kind == audit.MaybeExecuted {
			maybeExecuted++
		}
	}
	switch {
	case executed >= 2:
		return audit.Duplicated
	case executed == 1 && maybeExecuted >= 1:
		return audit.MaybeDuplicated
	case executed == 1:
		return ""
	case maybeExecuted >= 1:
		return audit.Indeterminate
	}
	return audit.Lost
}

func runAuditSimulation(t *testing.T, seed int64) {
	const proxyCount, perBatch = 6, 20
	cluster := rafttest.NewCluster(seed, 3, func() rafttest.StateMachine {
		return newSimulatedStore(func() time.Duration { return 0 })
	})
	cluster.Run(time.Second)
	type proxy struct {
		recorder    *audit.Recorder
		incarnation string
		restarts    int
		// isKnown says that the log knows the incarnation: before, it takes no requests.
		isKnown bool
	}
	var proxies [proxyCount]*proxy
	startProxy := func(i int) {
		n := 0
		if proxies[i] != nil {
			n = proxies[i].restarts + 1
		}
		incarnation := fmt.Sprintf("p%d-%d", i, n)
		proxies[i] = &proxy{recorder: audit.NewRecorder(incarnation, fmt.Sprint("p", i), 10000), incarnation: incarnation, restarts: n}
	}
	for i := range proxies {
		startProxy(i)
	}
	unixMS := func() int64 { return cluster.Now.Milliseconds() }
	send := func(p *proxy, closed bool) {
		batch := p.recorder.NextBatch(unixMS(), perBatch)
		batch.PerS, batch.Out, batch.Closed, batch.Most = 100, 2, closed && len(batch.Records) < perBatch, 100000
		data := registry.EncodeCommand(registry.Command{Audit: &batch})
		ids := cluster.IDs()
		id := ids[cluster.Rand.Intn(len(ids))]
		if l := cluster.Leader(); l != nil && cluster.Rand.Intn(4) > 0 {
			id = l.ID
		}
		isAckLost := cluster.Rand.Intn(4) == 0
		done := func(res any, ok bool) {
			if r, is := res.(registry.Result); ok && is && !isAckLost {
				p.recorder.Acknowledge(p.incarnation, r.Account)
				p.isKnown = true
			}
		}
		cluster.Propose(id, data, done)
		if cluster.Rand.Intn(5) == 0 { // the batch comes twice
			cluster.Propose(id, data, done)
		}
	}
	var caused []causedAttempt
	unacknowledged := map[string][]causedAttempt{} // by killed incarnation, what was not acknowledged
	kinds := []audit.Kind{audit.MissedLatencyTarget, audit.Failed, audit.Truncated}
	evidence := []audit.Kind{audit.Executed, audit.Executed, audit.MaybeExecuted, audit.NotExecuted}
	attemptCount := 0
	record := func(p *proxy, r audit.Record) {
		if !p.isKnown {
			return
		}
		attemptCount++
		r.Attempt, r.AtMS, r.Route = fmt.Sprint("a", attemptCount), unixMS(), "r"
		p.recorder.Append(r)
		caused = append(caused, causedAttempt{p.incarnation, r})
	}
	for round := range 160 {
		id := cluster.IDs()[cluster.Rand.Intn(3)]
		injectFault(cluster, id, 10)
		tenant := fmt.Sprint("t", cluster.Rand.Intn(3))
		for range cluster.Rand.Intn(3) {
			record(proxies[cluster.Rand.Intn(proxyCount)], audit.Record{Tenant: tenant, Request: fmt.Sprint("search", round), Kind: kinds[cluster.Rand.Intn(3)], Status: 502})
		}
		for range cluster.Rand.Intn(4) { // the attempts of one commitment
			record(proxies[cluster.Rand.Intn(proxyCount)], audit.Record{Tenant: tenant, Request: fmt.Sprint("commit", round), Kind: evidence[cluster.Rand.Intn(4)]})
		}
		for _, p := range proxies {
			if cluster.Rand.Intn(3) == 0 {
				send(p, false)
			}
		}
		if cluster.Rand.Intn(12) == 0 { // killed: what is pending is lost with it
			i := cluster.Rand.Intn(proxyCount)
			pending := proxies[i].recorder.NextBatch(unixMS(), 1<<30).Records
			for _, r := range pending {
				unacknowledged[proxies[i].incarnation] = append(unacknowledged[proxies[i].incarnation], causedAttempt{proxies[i].incarnation, r})
			}
			startProxy(i)
		}
		cluster.Run(time.Duration(10+cluster.Rand.Intn(40)) * time.Millisecond)
		if cluster.Violation != "" {
			t.Fatal(cluster.Violation)
		}
	}
	cluster.Heal()
	for _, id := range cluster.IDs() {
		cluster.SetFrozen(id, false)
	}
	for range 300 {
		for _, p := range proxies {
			send(p, true)
		}
		cluster.Run(20 * time.Millisecond)
	}
	cluster.Run(time.Second)
	store := cluster.Nodes[1].StateMachine.(*simulatedStore).store
	for _, id := range cluster.IDs()[1:] {
		if got := cluster.Nodes[id].StateMachine.(*simulatedStore).store.AuditLog().Query(audit.Filter{}); !reflect.DeepEqual(got, store.AuditLog().Query(audit.Filter{})) {
			t.Fatalf("node %d holds another audit log", id)
		}
	}
	// A snapshot includes the audit log.
	image, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := registry.NewStore()
	if err := other.Restore(image); err != nil || !reflect.DeepEqual(other.AuditLog().Query(audit.Filter{}), store.AuditLog().Query(audit.Filter{})) {
		t.Fatalf("the audit log does not come back from a snapshot: %v", err)
	}
	result := store.AuditLog().Query(audit.Filter{})
	// The log certainly holds all but what was not acknowledged to killed incarnations,
	// some of which may have been ingested without an answer.
	maybeMissing := map[string]bool{}
	for incarnation, records := range unacknowledged {
		for _, r := range records {
			maybeMissing[incarnation+r.Attempt] = true
		}
		if gap, listed := result.Gaps[incarnation]; !listed || gap.MayMiss < 2 {
			if len(records) > 0 {
				t.Errorf("%s ended with %d records pending and the audit log says %+v", incarnation, len(records), gap)
			}
		}
	}
	recorded := map[string]bool{}
	for _, f := range result.Failures {
		for _, attempt := range f.Attempts {
			if recorded[attempt.Attempt] {
				t.Errorf("%s is there twice", attempt.Attempt)
			}
			recorded[attempt.Attempt] = true
		}
	}
	nonIdempotent := map[string][]causedAttempt{}
	want := map[string]bool{}
	for _, x := range caused {
		if maybeMissing[x.incarnation+x.Attempt] && !recorded[x.Attempt] {
			continue // lost with its proxy, within the gap
		}
		if x.Kind == audit.Executed || x.Kind == audit.MaybeExecuted || x.Kind == audit.NotExecuted {
			nonIdempotent[x.Tenant+" "+x.Request] = append(nonIdempotent[x.Tenant+" "+x.Request], x)
			continue
		}
		want[fmt.Sprint(x.Tenant, " ", x.Request, " ", x.Kind, " ", x.Attempt)] = true
	}
	uncertain := map[string]bool{} // commitments with an attempt that may not have been ingested
	for _, records := range unacknowledged {
		for _, r := range records {
			uncertain[r.Tenant+" "+r.Request] = true
		}
	}
	for key, attempts := range nonIdempotent {
		if kind := expectedKind(attempts); kind != "" && !uncertain[key] {
			want[key+" "+string(kind)] = true
		}
	}
	got := map[string]bool{}
	for _, f := range result.Failures {
		key := f.Tenant + " " + f.Request
		switch f.Kind {
		case audit.MissedLatencyTarget, audit.Failed, audit.Truncated:
			got[fmt.Sprint(key, " ", f.Kind, " ", f.Attempts[0].Attempt)] = true
		default:
			if !uncertain[key] {
				got[key+" "+string(f.Kind)] = true
			}
		}
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("the audit log differs from what was caused: %v", diffSets(got, want))
	}
	if len(got) < 50 || len(unacknowledged) == 0 {
		t.Errorf("too little was tried: %d failures, %d killed incarnations", len(got), len(unacknowledged))
	}
}

func diffSets(got, want map[string]bool) (out []string) {
	for k := range got {
		if !want[k] {
			out = append(out, "not caused: "+k)
		}
	}
	for k := range want {
		if !got[k] {
			out = append(out, "missing: "+k)
		}
	}
	sort.Strings(out)
	return out
}
