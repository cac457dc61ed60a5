package controlplane

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
)

// isMember reports whether a node counts itself as a member of its group, which has others.
func isMember(n *Node) bool {
	members := n.Status().Members
	for _, m := range members {
		if m.ID == formatMemberID(n.self.ID) {
			return len(members) > 1
		}
	}
	return false
}

// TestJoinThroughAnnouncement: a new node whose seeds do not run joins all the same where the
// members name it as a seed: they tell it where the core is.
func TestJoinThroughAnnouncement(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	const deadSeed, joins = "127.0.0.28", "127.0.0.29"
	set := controlplanetest.Settings(t, joins, t.TempDir(), cluster.controlPort, cluster.internalPort, []string{deadSeed}, false)
	node, err := Start(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	for _, n := range cluster.nodes {
		n.SetSeeds([]string{fmt.Sprintf("%s:%d", joins, cluster.controlPort)})
	}
	eventually(t, "the node is a member", func() bool { return isMember(node) })
}

// TestNodeWithEmptiedDiskJoinsThroughPeers: a member that lost its disk and has no seed that runs
// joins anew, as the other members still connect to it.
func TestNodeWithEmptiedDiskJoinsThroughPeers(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	eventually(t, "a leader", func() bool { return cluster.leader() != nil })
	cluster.nodes[0].Close()
	if err := os.RemoveAll(cluster.dataDirectory(0)); err != nil {
		t.Fatal(err)
	}
	cluster.configure = func(set *settings.Settings) {
		set.SeedNodes = []string{fmt.Sprintf("127.0.0.28:%d", cluster.controlPort)}
	}
	cluster.start(0, false)
	eventually(t, "the node is a member again", func() bool { return isMember(cluster.nodes[0]) })
}
