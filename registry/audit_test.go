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
	ran, unsure := 0, 0
	for _, c := range attempts {
		if c.Kind == audit.Executed {
			ran++
		}
		if c.Kind == audit.MaybeExecuted {
			unsure++
		}
	}
	switch {
	case ran >= 2:
		return audit.Duplicated
	case ran == 1 && unsure >= 1:
		return audit.MaybeDuplicated
	case ran == 1:
		return ""
	case unsure >= 1:
		return audit.Indeterminate
	}
	return audit.Lost
}

func runAuditSimulation(t *testing.T, seed int64) {
	const proxies, perBatch = 6, 20
	c := rafttest.NewCluster(seed, 3, func() rafttest.StateMachine {
		return newSimulatedStore(func() time.Duration { return 0 })
	})
	c.Run(time.Second)
	type proxy struct {
		recorder    *audit.Recorder
		incarnation string
		n           int
		// known says that the log knows the incarnation: before, it takes no requests.
		known bool
	}
	var all [proxies]*proxy
	open := func(i int) {
		n := 0
		if all[i] != nil {
			n = all[i].n + 1
		}
		incarnation := fmt.Sprintf("p%d-%d", i, n)
		all[i] = &proxy{recorder: audit.NewRecorder(incarnation, fmt.Sprint("p", i), 10000), incarnation: incarnation, n: n}
	}
	for i := range all {
		open(i)
	}
	ms := func() int64 { return c.Now.Milliseconds() }
	send := func(p *proxy, closed bool) {
		b := p.recorder.NextBatch(ms(), perBatch)
		b.PerS, b.Out, b.Closed, b.Most = 100, 2, closed && len(b.Records) < perBatch, 100000
		data := registry.EncodeCommand(registry.Command{Audit: &b})
		ids := c.IDs()
		id := ids[c.Rand.Intn(len(ids))]
		if l := c.Leader(); l != nil && c.Rand.Intn(4) > 0 {
			id = l.ID
		}
		lost := c.Rand.Intn(4) == 0
		done := func(res any, ok bool) {
			if r, is := res.(registry.Result); ok && is && !lost {
				p.recorder.Acknowledge(p.incarnation, r.Account)
				p.known = true
			}
		}
		c.Propose(id, data, done)
		if c.Rand.Intn(5) == 0 { // the batch comes twice
			c.Propose(id, data, done)
		}
	}
	var truth []causedAttempt
	unacknowledged := map[string][]causedAttempt{} // by killed incarnation, what was not acknowledged
	kinds := []audit.Kind{audit.MissedLatencyTarget, audit.Failed, audit.Truncated}
	evidence := []audit.Kind{audit.Executed, audit.Executed, audit.MaybeExecuted, audit.NotExecuted}
	at := 0
	record := func(p *proxy, r audit.Record) {
		if !p.known {
			return
		}
		at++
		r.Attempt, r.AtMS, r.Route = fmt.Sprint("a", at), ms(), "r"
		p.recorder.Append(r)
		truth = append(truth, causedAttempt{p.incarnation, r})
	}
	for round := range 160 {
		id := c.IDs()[c.Rand.Intn(3)]
		injectFault(c, id, 10)
		tenant := fmt.Sprint("t", c.Rand.Intn(3))
		for range c.Rand.Intn(3) {
			record(all[c.Rand.Intn(proxies)], audit.Record{Tenant: tenant, Request: fmt.Sprint("search", round), Kind: kinds[c.Rand.Intn(3)], Status: 502})
		}
		for range c.Rand.Intn(4) { // the attempts of one commitment
			record(all[c.Rand.Intn(proxies)], audit.Record{Tenant: tenant, Request: fmt.Sprint("commit", round), Kind: evidence[c.Rand.Intn(4)]})
		}
		for _, p := range all {
			if c.Rand.Intn(3) == 0 {
				send(p, false)
			}
		}
		if c.Rand.Intn(12) == 0 { // killed: what is pending is lost with it
			i := c.Rand.Intn(proxies)
			pending := all[i].recorder.NextBatch(ms(), 1<<30).Records
			for _, r := range pending {
				unacknowledged[all[i].incarnation] = append(unacknowledged[all[i].incarnation], causedAttempt{all[i].incarnation, r})
			}
			open(i)
		}
		c.Run(time.Duration(10+c.Rand.Intn(40)) * time.Millisecond)
		if c.Violation != "" {
			t.Fatal(c.Violation)
		}
	}
	c.Heal()
	for _, id := range c.IDs() {
		c.SetFrozen(id, false)
	}
	for range 300 {
		for _, p := range all {
			send(p, true)
		}
		c.Run(20 * time.Millisecond)
	}
	c.Run(time.Second)
	store := c.Nodes[1].StateMachine.(*simulatedStore).store
	for _, id := range c.IDs()[1:] {
		if got := c.Nodes[id].StateMachine.(*simulatedStore).store.AuditLog().Query(audit.Filter{}); !reflect.DeepEqual(got, store.AuditLog().Query(audit.Filter{})) {
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
	account := store.AuditLog().Query(audit.Filter{})
	// The log certainly holds all but what was not acknowledged to killed incarnations,
	// some of which may have been ingested without an answer.
	unknown := map[string]bool{}
	for incarnation, rs := range unacknowledged {
		for _, r := range rs {
			unknown[incarnation+r.Attempt] = true
		}
		if g, listed := account.Gaps[incarnation]; !listed || g.MayMiss < 2 {
			if len(rs) > 0 {
				t.Errorf("%s ended with %d records pending and the audit log says %+v", incarnation, len(rs), g)
			}
		}
	}
	in := map[string]bool{}
	for _, f := range account.Failures {
		for _, attempt := range f.Attempts {
			if in[attempt.Attempt] {
				t.Errorf("%s is there twice", attempt.Attempt)
			}
			in[attempt.Attempt] = true
		}
	}
	commits := map[string][]causedAttempt{}
	want := map[string]bool{}
	for _, x := range truth {
		if unknown[x.incarnation+x.Attempt] && !in[x.Attempt] {
			continue // lost with its proxy, within the gap
		}
		if x.Kind == audit.Executed || x.Kind == audit.MaybeExecuted || x.Kind == audit.NotExecuted {
			commits[x.Tenant+" "+x.Request] = append(commits[x.Tenant+" "+x.Request], x)
			continue
		}
		want[fmt.Sprint(x.Tenant, " ", x.Request, " ", x.Kind, " ", x.Attempt)] = true
	}
	doubtful := map[string]bool{} // commitments with an attempt that may not have been ingested
	for _, rs := range unacknowledged {
		for _, r := range rs {
			doubtful[r.Tenant+" "+r.Request] = true
		}
	}
	for key, attempts := range commits {
		if kind := expectedKind(attempts); kind != "" && !doubtful[key] {
			want[key+" "+string(kind)] = true
		}
	}
	got := map[string]bool{}
	for _, f := range account.Failures {
		key := f.Tenant + " " + f.Request
		switch f.Kind {
		case audit.MissedLatencyTarget, audit.Failed, audit.Truncated:
			got[fmt.Sprint(key, " ", f.Kind, " ", f.Attempts[0].Attempt)] = true
		default:
			if !doubtful[key] {
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
