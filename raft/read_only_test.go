package raft_test

import (
	"testing"
	"time"

	"lichentray/raft/rafttest"
)

// TestReadIndexWaitsForCommitInTerm guards against stale reads from a new leader, which
// does not know the commit index until it has committed an entry of its term. The read must
// be confirmed only after that and see all commands acknowledged in earlier terms, or be
// rejected if the leader is deposed first.
func TestReadIndexWaitsForCommitInTerm(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		c := rafttest.NewCluster(seed, 3, newCommandList)
		c.Run(time.Second)
		old := c.Leader().ID
		acked := false
		c.Propose(old, []byte("v"), func(_ any, ok bool) { acked = ok })
		for !acked {
			c.Run(c.StepInterval)
		}
		c.Crash(old)
		for c.Leader() == nil {
			c.Run(c.StepInterval)
		}
		l := c.Leader()
		isDeposed := seed%4 == 0
		if isDeposed {
			for _, id := range c.IDs() {
				c.SetLinkCut(id, l.ID, true)
			}
		}
		confirmations, rejections := 0, 0
		c.Read(l.ID, func(ok bool) {
			if !ok {
				rejections++
			} else if confirmations++; !containsAll(l.StateMachine.(*commandList), []string{"v"}) {
				t.Errorf("seed %d: the confirmed read lacks an acknowledged command", seed)
			}
		})
		c.Run(2 * time.Second)
		if isDeposed && (confirmations != 0 || rejections != 1) || !isDeposed && (confirmations != 1 || rejections != 0) {
			t.Errorf("seed %d, deposed %v: got %d confirmations and %d rejections, want one rejection if deposed, else one confirmation", seed, isDeposed, confirmations, rejections)
		}
	}
}
