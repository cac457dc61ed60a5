package raft_test

import (
	"testing"
	"time"

	"lichentray/raft/rafttest"
)

// TestReadIndexWaitsForCommitInTerm: a read at a leader that has not committed an entry of
// its term is answered once it has, and sees what was acknowledged in earlier terms. It is
// refused if the leader is deposed first.
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
		answers, refusals := 0, 0
		c.Read(l.ID, func(ok bool) {
			if !ok {
				refusals++
			} else if answers++; !containsAll(l.StateMachine.(*commandList), []string{"v"}) {
				t.Errorf("seed %d: answered without what was acknowledged", seed)
			}
		})
		c.Run(2 * time.Second)
		if isDeposed && (answers != 0 || refusals != 1) || !isDeposed && (answers != 1 || refusals != 0) {
			t.Errorf("seed %d: deposed %v, %d answers, %d refusals", seed, isDeposed, answers, refusals)
		}
	}
}
