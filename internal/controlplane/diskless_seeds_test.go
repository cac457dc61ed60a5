package controlplane

import (
	"fmt"
	"testing"

	"lichentray/internal/settings"
)

// newClusterWithDisklessSeeds starts three seeds, of which the first ones have no disk, and three further
// nodes that have one.
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

// TestConfigurationOutlastsSeedsWithoutDisk guards against an acknowledged configuration that is gone,
// with the group, after a kill of all processes, as seeds without a disk kept their votes. It runs
// whole nodes; the simulation of the same name has the many orders of events.
func TestConfigurationOutlastsSeedsWithoutDisk(t *testing.T) {
	for disklessSeeds := 1; disklessSeeds <= 3; disklessSeeds++ {
		t.Run(fmt.Sprint(disklessSeeds, " seeds without a disk"), func(t *testing.T) {
			cluster := newClusterWithDisklessSeeds(t, disklessSeeds)
			eventually(t, "the configuration is acknowledged", func() bool {
				return cluster.nodes[5].ReplaceConfiguration([]byte(fmt.Sprintf(configurationFormat, 5))) == nil
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

// TestSeedsWithoutDiskAreNotNeeded guards against seeds without a disk that stay beside nodes with disks:
// what they acknowledge, and what others are told of the core by them, ends with their processes.
func TestSeedsWithoutDiskAreNotNeeded(t *testing.T) {
	cluster := newClusterWithDisklessSeeds(t, 3)
	for i := range 3 {
		eventually(t, "a seed without a disk is not needed", func() bool { return isClosed(cluster.nodes[i].NotNeeded()) })
	}
	eventually(t, "the nodes with disks alone are members", func() bool {
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
