package modelcheck_test

import (
	"flag"
	"strings"
	"testing"
	"time"

	. "lichentray/raft/modelcheck"
)

var extraDepth = flag.Int("explore.depth", 0, "number of events to explore beyond the depth of each exploration")

// splitTrace returns the lines of a trace given in parts, each a comma-separated list.
func splitTrace(parts ...string) []string {
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
	// Node 1 is the leader, and all nodes have the same log.
	leaderElected = "tick 1, settle, tick 1, settle"
	// Node 2 is the leader, and node 1, the leader before, has not learned of it.
	leaderDeposed = "forget, tick 3, forget, tick 2, elect 2 3, settle 2 3"
	// Node 2 is the leader, and node 1 has an entry that no other node has.
	uncommittedTail = "propose 1, settle, tick 1, settle, propose 1, sync 1, forget, tick 3, forget, tick 2, elect 2 3"
	// Node 3 has an entry of term 2. Node 1 has an older one and is the leader of term 3.
	// Node 2 has received the older entry, its acknowledgement is in flight, and node 3
	// requests its vote (the paper, figure 8).
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
	{"two voters", Exploration{Voters: 2, Learners: 1, Start: splitTrace(leaderElected), Depth: 8, Budget: Budget{Tick: 2, Crash: 1, Propose: 1}}},
	{"competing candidates", Exploration{Voters: 3, Start: splitTrace("tick 1, tick 2, tick 3, settle 1 3"), Depth: 6, Budget: Budget{Tick: 2, Crash: 1, Propose: 1}}},
	{"late candidate", Exploration{Voters: 3, Start: splitTrace(leaderElected, "tick 2, forget, tick 3, settle 2, deliver prevote 3>2 term 2 at 1/1, propose 1, settle 1 2, tick 2"), Depth: 6, Budget: Budget{Tick: 1, Crash: 1}}},
	{"uncommitted tail", Exploration{Voters: 3, Start: splitTrace(leaderElected, uncommittedTail), Depth: 5, Budget: Budget{Tick: 2, Crash: 1, Propose: 1}}},
	{"uncommitted tail behind leader", Exploration{Voters: 3, Start: splitTrace(leaderElected, uncommittedTail, "settle 2 3"), Depth: 5, Budget: Budget{Tick: 2, Crash: 1, ReadIndex: 1}}},
	{"older term", Exploration{Voters: 3, Start: splitTrace(leaderElected, olderTermEntry), Depth: 5, Budget: Budget{Tick: 1, Crash: 1}}},
	{"deposed leader", Exploration{Voters: 3, Start: splitTrace(leaderElected, "propose 1, sync 1", leaderDeposed), Depth: 5, Budget: Budget{Tick: 1, Crash: 1, Propose: 1, ReadIndex: 2}}},
	{"membership change", Exploration{Voters: 3, Learners: 1, Start: splitTrace(leaderElected, "voter 1 4"), Depth: 6, Budget: Budget{Tick: 2, Crash: 1, ConfChange: 2}}},
	{"snapshot", Exploration{Voters: 3, Learners: 1, Start: splitTrace(leaderElected, "voter 1 4, settle 1 2 4, propose 1, settle 1 2 4, compact 1, sync 1, forget, tick 1"), Depth: 5, Budget: Budget{Tick: 2, Crash: 1, Compact: 1, Propose: 1}}},
	{"lost disk", Exploration{Voters: 3, Start: splitTrace(leaderElected, "propose 1, settle 1 2, lose 3, learner 1 4"), Depth: 6, Budget: Budget{Tick: 2, Crash: 1, ConfChange: 2, LoseDisk: 1, Compact: 1}}},
	{"leadership transfer", Exploration{Voters: 3, Start: splitTrace(leaderElected), Depth: 7, Budget: Budget{Tick: 1, Crash: 1, Propose: 1, TransferLeadership: 1, ReadIndex: 1}}},
	{"sole voter", Exploration{Voters: 1, Learners: 1, Depth: 8, Budget: Budget{Tick: 3, Crash: 2, Propose: 2, ConfChange: 1, ReadIndex: 1}}},
}

// TestExplorationsFindNoViolation checks the invariants in all states that are reachable
// within the bounds of each exploration.
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

// TestExplorerDetectsReusedIdentity checks that the explorer can find a violation, and that
// the trace can be replayed: a node that lost its disk and returns with the same ID does
// not know how it voted and can vote twice in one term.
func TestExplorerDetectsReusedIdentity(t *testing.T) {
	x := Exploration{Voters: 3, Start: splitTrace("tick 1, tick 2, tick 3, settle 1 3"), Depth: 7, Budget: Budget{Tick: 1, ReuseDisk: 1}}
	got, err := x.Run()
	if err != nil || got.Violation == "" {
		t.Fatalf("Run() = %+v, %v, want a violation", got, err)
	}
	if replayed, err := x.Replay(got.Trace); replayed != got.Violation || err != nil {
		t.Errorf("Replay() of the trace to %q = %q, %v", got.Violation, replayed, err)
	}
	t.Log(got.Violation, "after", strings.Join(got.Trace, ", "))
}
