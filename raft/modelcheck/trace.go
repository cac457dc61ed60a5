package modelcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"lichentray/raft"
)

// The lines that a trace may have beside events.
const (
	lineForget = "forget"
	lineSettle = "settle"
	lineElect  = "elect"
)

// maxEventsUntilQuiet limits the events of one settle or elect line.
const maxEventsUntilQuiet = 10_000

// Replay plays a trace: lines as Result.Trace has them, and besides
//
//	settle        deliver and sync until nothing is left to do
//	settle 1 2    the same among these nodes; nothing else happens
//	elect 1 2     the same, until node 1 leads
//	forget        all messages in the network are lost
//
// It returns the first violation, or an empty string, and an error if a line cannot be
// played.
func (x Exploration) Replay(trace []string) (violation string, err error) {
	s, err := x.playTrace(trace)
	if err != nil {
		return "", err
	}
	return s.violation, nil
}

// playTrace returns the state after a trace, or after its first violation.
func (x Exploration) playTrace(trace []string) (*clusterState, error) {
	s := x.initialState()
	for i, line := range trace {
		next, err := s.playLine(line)
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

func (s *clusterState) playLine(line string) (*clusterState, error) {
	verb, rest, _ := strings.Cut(line, " ")
	switch verb {
	case lineForget:
		next := s.fork()
		next.network = nil
		return next, nil
	case lineSettle:
		return s.runUntilQuiet(strings.Fields(rest), "")
	case lineElect:
		among := strings.Fields(rest)
		if len(among) == 0 {
			return nil, errors.New("elect names no node")
		}
		return s.runUntilQuiet(among, among[0])
	}
	for _, e := range s.enabledEvents() {
		if e.String() != line {
			continue
		}
		if next := s.successor(e); next != nil {
			return next, nil
		}
		return nil, fmt.Errorf("%q does nothing", line)
	}
	return nil, fmt.Errorf("%q cannot happen", line)
}

// runUntilQuiet delivers and syncs among some nodes, or all if none is named, until
// nothing is left to do or, if a leader is named, until it leads. A violation ends it.
func (s *clusterState) runUntilQuiet(among []string, leader string) (*clusterState, error) {
	for range maxEventsUntilQuiet {
		if leader != "" && s.isLedBy(leader) {
			return s, nil
		}
		next := s.nextSyncOrDelivery(among)
		if next == nil && leader != "" {
			return nil, fmt.Errorf("%s does not lead", leader)
		}
		if next == nil {
			return s, nil
		}
		s = next
		if s.violation != "" {
			return s, nil
		}
	}
	return nil, errors.New("does not settle")
}

func (s *clusterState) isLedBy(id string) bool {
	return slices.ContainsFunc(s.nodes, func(n *nodeState) bool {
		return n.raft.Role() == raft.Leader && fmt.Sprint(n.id) == id
	})
}

// nextSyncOrDelivery returns the state after the first sync or delivery among the nodes
// that changes something, or nil if there is none.
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

// describeMessage returns a message as a trace has it.
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

// describeMembershipData describes the membership of an entry.
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
