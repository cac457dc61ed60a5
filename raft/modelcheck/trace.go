package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"lichentray/raft"
)

// Verbs of the trace lines that are not events; see Replay.
const (
	lineForget = "forget"
	lineSettle = "settle"
	lineElect  = "elect"
)

// maxEventsUntilIdle limits the events of one settle or elect line.
const maxEventsUntilIdle = 10_000

// Replay replays a trace. Its lines are events as in Result.Trace, and the following:
//
//	settle        delivers messages and syncs writes until there are none left
//	settle 1 2    does the same among these nodes only
//	elect 1 2     does the same until node 1 is the leader
//	forget        drops all messages in the network
//
// It returns the first violation, or an empty string, and an error if a line cannot be
// replayed.
func (x Exploration) Replay(trace []string) (violation string, err error) {
	s, err := x.replayTrace(trace)
	if err != nil {
		return "", err
	}
	return s.violation, nil
}

// replayTrace returns the state after a trace, or after its first violation.
func (x Exploration) replayTrace(trace []string) (*clusterState, error) {
	s := x.initialState()
	for i, line := range trace {
		next, err := s.replayLine(line)
		if err != nil {
			return nil, fmt.Errorf("modelcheck: line %d: %w", i+1, err)
		}
		s = next
		if s.violation != "" {
			break
		}
	}
	return s, nil
}

func (s *clusterState) replayLine(line string) (*clusterState, error) {
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case lineForget:
		next := s.fork()
		next.network = nil
		return next, nil
	case lineSettle:
		return s.runUntilIdle(strings.Fields(rest), "")
	case lineElect:
		among := strings.Fields(rest)
		if len(among) == 0 {
			return nil, errors.New("elect line without nodes")
		}
		return s.runUntilIdle(among, among[0])
	}
	for _, e := range s.enabledEvents() {
		if e.String() != line {
			continue
		}
		if next := s.successor(e); next != nil {
			return next, nil
		}
		return nil, fmt.Errorf("event %q has no effect", line)
	}
	return nil, fmt.Errorf("event %q is not possible in this state", line)
}

// runUntilIdle delivers messages and syncs writes among the given nodes, or among all nodes
// if none is given, until there are none left or, if leader is not empty, until that node
// is the leader. It stops at a violation.
func (s *clusterState) runUntilIdle(among []string, leader string) (*clusterState, error) {
	for range maxEventsUntilIdle {
		if leader != "" && s.isLedBy(leader) {
			return s, nil
		}
		next := s.nextSyncOrDelivery(among)
		if next == nil && leader != "" {
			return nil, fmt.Errorf("node %s did not become the leader", leader)
		}
		if next == nil {
			return s, nil
		}
		s = next
		if s.violation != "" {
			return s, nil
		}
	}
	return nil, errors.New("the nodes do not become idle")
}

func (s *clusterState) isLedBy(id string) bool {
	return slices.ContainsFunc(s.nodes, func(n *nodeState) bool {
		return n.raft.Role() == raft.Leader && fmt.Sprint(n.id) == id
	})
}

// nextSyncOrDelivery returns the state after the first sync or delivery among the nodes
// that has an effect, or nil if there is none.
func (s *clusterState) nextSyncOrDelivery(among []string) *clusterState {
	isIncluded := func(id uint64) bool {
		return len(among) == 0 || slices.Contains(among, fmt.Sprint(id))
	}
	for _, e := range s.enabledEvents() {
		isSync := e.kind == Sync && isIncluded(e.node)
		isDelivery := e.kind == Deliver && isIncluded(e.packet.message.From) && isIncluded(e.packet.message.To)
		if !isSync && !isDelivery {
			continue
		}
		if next := s.successor(e); next != nil {
			return next
		}
	}
	return nil
}

// describeMessage returns the representation of a message in a trace.
func describeMessage(m raft.Message) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d>%d term %d at %d/%d", m.Type, m.From, m.To, m.Term, m.Index, m.LogTerm)
	for _, f := range []struct {
		name  string
		value uint64
	}{{"commit", m.Commit}, {"hint", m.Hint}, {"context", m.Context}} {
		if f.value != 0 {
			fmt.Fprintf(&b, " %s %d", f.name, f.value)
		}
	}
	if m.Reject {
		b.WriteString(" reject")
	}
	if m.Force {
		b.WriteString(" force")
	}
	for _, e := range m.Entries {
		if e.Type == raft.EntryConfChange {
			fmt.Fprintf(&b, " [%d/%d %s]", e.Index, e.Term, describeMembershipData(e.Data))
		} else {
			fmt.Fprintf(&b, " [%d/%d %s]", e.Index, e.Term, e.Data)
		}
	}
	if m.Snap != nil {
		fmt.Fprintf(&b, " state %d/%d %s", m.Snap.Index, m.Snap.Term, describeMembership(m.Snap.Members))
	}
	return b.String()
}

// describeMembershipData describes the membership in the data of an entry.
func describeMembershipData(data []byte) string {
	m, err := raft.DecodeMembership(data)
	if err != nil {
		return err.Error()
	}
	return describeMembership(m)
}

func describeMembership(m raft.Membership) string {
	var b strings.Builder
	b.WriteString("voters")
	for _, x := range m.Voters {
		fmt.Fprint(&b, " ", x.ID)
	}
	for i, x := range m.Learners {
		if i == 0 {
			b.WriteString(" learners")
		}
		fmt.Fprint(&b, " ", x.ID)
	}
	return b.String()
}
