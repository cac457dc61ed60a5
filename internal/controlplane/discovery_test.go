package controlplane

import (
	"fmt"
	"os"
	"testing"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/settings"
)

// isMember reports whether a node is a member of a group with other members, according to its
// own state.
func isMember(n *Node) bool {
	members := n.Status().Members
	for _, m := range members {
		if m.ID == formatMemberID(n.self.ID) {
			return len(members) > 1
		}
	}
	return false
}

// TestJoinThroughAnnouncement guards against a new node that cannot join because none of its
// seeds runs. Here the members have the node as a seed and announce the group to it.
func TestJoinThroughAnnouncement(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	const deadSeedIP, joinerIP = "127.0.0.28", "127.0.0.29"
	set := controlplanetest.Settings(t, joinerIP, t.TempDir(), cluster.controlPort, cluster.internalPort, []string{deadSeedIP}, false)
	node, err := startForTest(set)
	if err != nil {
		t.Fatal(err)
	}
	defer node.Close()
	for _, n := range cluster.nodes {
		n.SetSeeds([]string{fmt.Sprintf("%s:%d", joinerIP, cluster.controlPort)})
	}
	eventually(t, "the node is a member", func() bool { return isMember(node) })
}

// TestNodeWithEmptiedDiskJoinsThroughPeers guards against a member that lost its disk and
// cannot rejoin because none of its seeds runs. It learns the addresses of the other members
// from their connections to it.
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
