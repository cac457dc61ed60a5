package controlplane

import (
	"fmt"
	"testing"

	"lichentray/internal/settings"
)

// newClusterWithDisklessSeeds starts three seeds, the first disklessSeeds of which have no
// disk, and three further nodes with disks.
func newClusterWithDisklessSeeds(t *testing.T, disklessSeeds int) *testCluster {
	return newTestCluster(t, 6, func(s *settings.Settings) {
		for i := range disklessSeeds {
			if s.IPAddress == fmt.Sprint("127.0.0.", 11+i) {
				s.DataDirectory = ""
				s.QuorumMember = false
			}
		}
	})
}

// TestConfigurationOutlastsSeedsWithoutDisk guards against the loss of an acknowledged
// configuration, and of the group, when all processes are killed and seeds without a disk had
// kept their votes. It runs complete nodes; TestAcknowledgedChangeOutlastsSeedsWithoutDisk
// covers many orders of events in simulation.
func TestConfigurationOutlastsSeedsWithoutDisk(t *testing.T) {
	for disklessSeeds := 1; disklessSeeds <= 3; disklessSeeds++ {
		t.Run(fmt.Sprint(disklessSeeds, " seeds without a disk"), func(t *testing.T) {
			cluster := newClusterWithDisklessSeeds(t, disklessSeeds)
			eventually(t, "the configuration is acknowledged", func() bool {
				return cluster.nodes[5].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5)), nil) == nil
			})
			for _, node := range cluster.nodes {
				node.Close()
			}
			for i := disklessSeeds; i < 6; i++ {
				cluster.start(i, false)
			}
			eventually(t, "the configuration is read", func() bool {
				_, err := cluster.nodes[5].Configuration()
				return err == nil
			})
		})
	}
}

// TestSeedsWithoutDiskAreRejected guards against seeds without a disk that remain members
// beside nodes with disks. What they have acknowledged, and what they have announced of the
// group, would be lost with their processes.
func TestSeedsWithoutDiskAreRejected(t *testing.T) {
	cluster := newClusterWithDisklessSeeds(t, 3)
	for i := range 3 {
		eventually(t, "a seed without a disk is rejected", func() bool { return isClosed(cluster.nodes[i].JoinRejected()) })
	}
	eventually(t, "only the nodes with disks are members", func() bool {
		leader := cluster.leader()
		return leader != nil && len(leader.Status().Members) == 3
	})
	for _, member := range cluster.leader().Status().Members {
		if !member.IsVoter {
			t.Errorf("%s does not vote", member.Addr)
		}
	}
}

// isClosed reports whether a channel is closed.
func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
