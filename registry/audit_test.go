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

// TestAuditLogMatchesCausedFailures guards against audit records that are lost, duplicated
// or filed under the wrong tenant or request. Proxies record failures of every kind and
// attempts of non-idempotent requests at several proxies. They send their records to a
// cluster with crashes, freezes and partitions, while acknowledgements are lost, batches
// arrive twice or late, and proxies are killed or shut down gracefully. The audit log must
// match a list of everything recorded, and must report a gap for the records that a killed
// proxy had not sent.
func TestAuditLogMatchesCausedFailures(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) { runAuditSimulation(t, seed) })
	}
}

// causedAttempt is an attempt that the simulation caused.
type causedAttempt struct {
	incarnation string
	audit.Record
}

// expectedKind returns the kind that the audit log must report for all attempts of a
// non-idempotent request, or the empty string if the request succeeded.
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
		// isKnown reports whether the log has acknowledged the incarnation. Until then
		// the proxy serves no requests.
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
			if r, isResult := res.(registry.Result); ok && isResult && !isAckLost {
				p.recorder.Acknowledge(p.incarnation, r.Account)
				p.isKnown = true
			}
		}
		cluster.Propose(id, data, done)
		if cluster.Rand.Intn(5) == 0 { // the batch is sent twice
			cluster.Propose(id, data, done)
		}
	}
	var caused []causedAttempt
	unacknowledged := map[string][]causedAttempt{} // by killed incarnation
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
		for range cluster.Rand.Intn(4) { // the attempts of one non-idempotent request
			record(proxies[cluster.Rand.Intn(proxyCount)], audit.Record{Tenant: tenant, Request: fmt.Sprint("commit", round), Kind: evidence[cluster.Rand.Intn(4)]})
		}
		for _, p := range proxies {
			if cluster.Rand.Intn(3) == 0 {
				send(p, false)
			}
		}
		if cluster.Rand.Intn(12) == 0 { // a proxy is killed and loses its pending records
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
			t.Fatalf("the audit log of node %d differs from that of node 1", id)
		}
	}
	// A snapshot includes the audit log.
	image, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := registry.NewStore()
	if err := other.Restore(image); err != nil || !reflect.DeepEqual(other.AuditLog().Query(audit.Filter{}), store.AuditLog().Query(audit.Filter{})) {
		t.Fatalf("the audit log differs after a restore from its snapshot: %v", err)
	}
	result := store.AuditLog().Query(audit.Filter{})
	// The log must hold everything except records that were not acknowledged to a killed
	// incarnation. Some of those may have been ingested although the answer was lost.
	maybeMissing := map[string]bool{}
	for incarnation, records := range unacknowledged {
		for _, r := range records {
			maybeMissing[incarnation+r.Attempt] = true
		}
		if gap, listed := result.Gaps[incarnation]; !listed || gap.MayMiss < 2 {
			if len(records) > 0 {
				t.Errorf("%s was killed with %d pending records, but the audit log reports the gap %+v", incarnation, len(records), gap)
			}
		}
	}
	recorded := map[string]bool{}
	for _, f := range result.Failures {
		for _, attempt := range f.Attempts {
			if recorded[attempt.Attempt] {
				t.Errorf("attempt %s is listed twice", attempt.Attempt)
			}
			recorded[attempt.Attempt] = true
		}
	}
	nonIdempotent := map[string][]causedAttempt{}
	want := map[string]bool{}
	for _, x := range caused {
		if maybeMissing[x.incarnation+x.Attempt] && !recorded[x.Attempt] {
			continue // lost with its proxy and covered by the gap
		}
		if x.Kind == audit.Executed || x.Kind == audit.MaybeExecuted || x.Kind == audit.NotExecuted {
			nonIdempotent[x.Tenant+" "+x.Request] = append(nonIdempotent[x.Tenant+" "+x.Request], x)
			continue
		}
		want[fmt.Sprint(x.Tenant, " ", x.Request, " ", x.Kind, " ", x.Attempt)] = true
	}
	uncertain := map[string]bool{} // non-idempotent requests with an attempt that may be missing
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
		t.Errorf("the audit log differs from the caused failures: %v", diffSets(got, want))
	}
	if len(got) < 50 || len(unacknowledged) == 0 {
		t.Errorf("too few events: got %d failures and %d killed incarnations, want at least 50 and 1", len(got), len(unacknowledged))
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
