package modelcheck_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	. "lichentray/raft/modelcheck"
)

var extraDepth = flag.Int("explore.depth", 0, "events to explore beyond the depth of each exploration")

// joinSteps returns the lines of a trace, which each part lists with commas between them.
func joinSteps(parts ...string) []string {
	var lines []string
	for _, part := range parts {
		for _, line := range strings.Split(part, ",") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// Parts of traces.
const (
	// Node 1 leads, and all nodes have the same log.
	leaderElected = "tick 1, settle, tick 1, settle"
	// Node 2 leads, and node 1, which led before, does not know it.
	leaderDeposed = "forget, tick 3, forget, tick 2, elect 2 3, settle 2 3"
	// Node 2 leads, and node 1 has an entry that no other node has.
	uncommittedTail = "propose 1, settle, tick 1, settle, propose 1, sync 1, forget, tick 3, forget, tick 2, elect 2 3"
	// Node 3 has an entry of term 2, and node 1 an older one, with which it leads in
	// term 3. Node 2 has taken the older one, its acknowledgement is in flight, and node
	// 3 asks it for its vote (the paper, figure 8).
	olderTermEntry = "propose 1, sync 1, forget, tick 2, forget, tick 3, elect 3 2, sync 3, forget, " +
		"tick 3, tick 3, forget, tick 1, tick 1, forget, tick 1, settle 1 2, forget, tick 1, elect 1 2 3, sync 1, " +
		"deliver append 1>2 term 3 at 2/1 commit 1 [3/3 ], deliver append-resp 2>1 term 3 at 2/0 hint 1 reject, " +
		"deliver append 1>2 term 3 at 1/1 commit 1 [2/1 v1], sync 2, tick 2, tick 3, " +
		"deliver prevote 3>2 term 4 at 2/2, deliver prevote-resp 2>3 term 4 at 0/0, sync 3"
)

var explorations = []struct {
	name string
	Exploration
}{
	{"election", Exploration{Voters: 3, Depth: 8, Budget: Budget{Tick: 3, Crash: 1, Duplicate: 1}}},
	{"pair", Exploration{Voters: 2, Learners: 1, Start: joinSteps(leaderElected), Depth: 8, Budget: Budget{Tick: 2, Crash: 1, Propose: 1}}},
	{"rivals", Exploration{Voters: 3, Start: joinSteps("tick 1, tick 2, tick 3, settle 1 3"), Depth: 6, Budget: Budget{Tick: 2, Crash: 1, Propose: 1}}},
	{"late candidate", Exploration{Voters: 3, Start: joinSteps(leaderElected, "tick 2, forget, tick 3, settle 2, deliver prevote 3>2 term 2 at 1/1, propose 1, settle 1 2, tick 2"), Depth: 6, Budget: Budget{Tick: 1, Crash: 1}}},
	{"tail", Exploration{Voters: 3, Start: joinSteps(leaderElected, uncommittedTail), Depth: 5, Budget: Budget{Tick: 2, Crash: 1, Propose: 1}}},
	{"tail behind", Exploration{Voters: 3, Start: joinSteps(leaderElected, uncommittedTail, "settle 2 3"), Depth: 5, Budget: Budget{Tick: 2, Crash: 1, ReadIndex: 1}}},
	{"older term", Exploration{Voters: 3, Start: joinSteps(leaderElected, olderTermEntry), Depth: 5, Budget: Budget{Tick: 1, Crash: 1}}},
	{"deposed", Exploration{Voters: 3, Start: joinSteps(leaderElected, "propose 1, sync 1", leaderDeposed), Depth: 5, Budget: Budget{Tick: 1, Crash: 1, Propose: 1, ReadIndex: 2}}},
	{"members", Exploration{Voters: 3, Learners: 1, Start: joinSteps(leaderElected, "voter 1 4"), Depth: 6, Budget: Budget{Tick: 2, Crash: 1, ConfChange: 2}}},
	{"snapshot", Exploration{Voters: 3, Learners: 1, Start: joinSteps(leaderElected, "voter 1 4, settle 1 2 4, propose 1, settle 1 2 4, compact 1, sync 1, forget, tick 1"), Depth: 5, Budget: Budget{Tick: 2, Crash: 1, Compact: 1, Propose: 1}}},
	{"lost disk", Exploration{Voters: 3, Start: joinSteps(leaderElected, "propose 1, settle 1 2, lose 3, learner 1 4"), Depth: 6, Budget: Budget{Tick: 2, Crash: 1, ConfChange: 2, LoseDisk: 1, Compact: 1}}},
	{"transfer", Exploration{Voters: 3, Start: joinSteps(leaderElected), Depth: 7, Budget: Budget{Tick: 1, Crash: 1, Propose: 1, TransferLeadership: 1, ReadIndex: 1}}},
	{"alone", Exploration{Voters: 1, Learners: 1, Depth: 8, Budget: Budget{Tick: 3, Crash: 2, Propose: 2, ConfChange: 1, ReadIndex: 1}}},
}

// TestExplorationsFindNoViolation checks the invariants in all states within the bounds
// of each exploration.
func TestExplorationsFindNoViolation(t *testing.T) {
	for _, x := range explorations {
		t.Run(x.name, func(t *testing.T) {
			x.Depth += *extraDepth
			startedAt := time.Now()
			got, err := x.Run()
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("depth %d, %d states, %d transitions, %v", got.Depth, got.States, got.Transitions, time.Since(startedAt).Round(10*time.Millisecond))
			if got.Violation != "" {
				t.Errorf("%s\n\t%s", got.Violation, strings.Join(got.Trace, "\n\t"))
			}
		})
	}
}

// TestExplorerDetectsReusedIdentity: a node that lost its disk and returns under its
// former ID has forgotten its vote. The explorer finds the second vote, and its trace can
// be replayed.
func TestExplorerDetectsReusedIdentity(t *testing.T) {
	x := Exploration{Voters: 3, Start: joinSteps("tick 1, tick 2, tick 3, settle 1 3"), Depth: 7, Budget: Budget{Tick: 1, ReuseDisk: 1}}
	got, err := x.Run()
	if err != nil || got.Violation == "" {
		t.Fatalf("%+v %v", got, err)
	}
	if replayed, err := x.Replay(got.Trace); replayed != got.Violation || err != nil {
		t.Errorf("%q replayed gives %q, %v", got.Violation, replayed, err)
	}
	t.Log(got.Violation, "after", strings.Join(got.Trace, ", "))
}
