package raft_test

import (
	"testing"
	"time"

	"lichentray/raft"
	"lichentray/raft/rafttest"
)

// checkQuorumContact checks that each running node has applied every command acknowledged
// before its last quorum contact, minus one election timeout on a follower. It counts the
// checks by node.
func checkQuorumContact(t *testing.T, c *rafttest.Cluster, acked map[string]time.Duration, checks map[uint64]int) {
	t.Helper()
	for _, id := range c.IDs() {
		n := c.Nodes[id]
		if !c.IsUp(id) || n.Raft.LastQuorumContact() == 0 {
			continue
		}
		appliedUntil := n.Raft.LastQuorumContact()
		if n.Raft.Role() != raft.Leader {
			appliedUntil -= rafttest.ElectionTimeout
		}
		var before []string
		for command, at := range acked {
			if at < appliedUntil {
				before = append(before, command)
			}
		}
		if !containsAll(n.StateMachine.(*commandList), before) {
			t.Fatalf("node %d with its last quorum contact at %v lacks a command acknowledged before", id, n.Raft.LastQuorumContact())
		}
		checks[id]++
	}
}

// TestQuorumContactAgesWhileIsolated guards against a lease that is extended without
// contact: the last quorum contact of a node must not advance while the node is frozen or
// isolated in either direction, nor when it then reads messages buffered in its socket.
func TestQuorumContactAgesWhileIsolated(t *testing.T) {
	for _, fault := range []string{"receiving nothing", "sending nothing", "frozen"} {
		for seed := int64(1); seed <= 6; seed++ {
			c := rafttest.NewCluster(seed, 3, newCommandList)
			c.Run(time.Second)
			leader := c.Leader().ID
			for _, id := range []uint64{leader, leader%3 + 1} {
				before := c.Nodes[id].Raft.LastQuorumContact()
				if c.Now-before > rafttest.ElectionTimeout {
					t.Fatalf("seed %d: without faults, the last quorum contact of node %d is at %v, want within an election timeout of %v", seed, id, before, c.Now)
				}
				isolatedAt := c.Now
				for _, other := range c.IDs() {
					c.SetLinkCut(other, id, fault == "receiving nothing")
					c.SetLinkCut(id, other, fault == "sending nothing")
				}
				c.SetFrozen(id, fault == "frozen")
				c.Run(20 * time.Second)
				if fault == "frozen" {
					// The node reads the messages buffered in its socket and receives no others.
					for _, other := range c.IDs() {
						c.SetLinkCut(id, other, true)
					}
					c.SetFrozen(id, false)
					c.Run(c.StepInterval)
				}
				if at := c.Nodes[id].Raft.LastQuorumContact(); at > isolatedAt+rafttest.ElectionTimeout/2 {
					t.Errorf("seed %d: node %d, %s since %v, has LastQuorumContact() = %v, want at most half an election timeout after isolation", seed, id, fault, isolatedAt, at)
				}
				if c.Nodes[id].Raft.HasQuorumContact(rafttest.ElectionTimeout) {
					t.Errorf("seed %d: node %d, %s, has HasQuorumContact() = true", seed, id, fault)
				}
				c.Heal()
				c.Run(2 * time.Second)
			}
		}
	}
}
