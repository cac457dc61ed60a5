package transport

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"lichentray/audit"
	"lichentray/coordination"
	"lichentray/internal/apierror"
	"lichentray/internal/goldentest"
	"lichentray/loadbalance"
	"lichentray/raft"
	"lichentray/registry"
	"lichentray/rollout"
)

// The golden types are the types of the protocol as they were when the golden file was created.
// Their field names are part of the format, as gob writes them.
type (
	goldenFrame struct {
		Hello        *goldenHello
		Raft         []goldenMessage
		Beats        []goldenHeartbeat
		Ask          *goldenRequest
		Answer       *goldenResponse
		Events       []goldenEvent
		Bookmark     *goldenBookmark
		Gone         bool
		Proxies      *goldenProxyAggregate
		Ack          uint64
		Report       *goldenProxyReport
		Account      *goldenAuditAck
		PackedEvents []byte
	}
	goldenHello struct {
		Version int
		Role    uint8
		Node    string
		ID      uint64
		Addr    string
		Zone    string
	}
	goldenMessage struct {
		Type       uint8
		From       uint64
		To         uint64
		Term       uint64
		Index      uint64
		LogTerm    uint64
		Commit     uint64
		Reject     bool
		Hint       uint64
		Context    uint64
		Force      bool
		Sent, Echo int64
		Touch      bool
		Entries    []goldenEntry
		Snap       *goldenSnapshot
		Offset     int
		Size       int
		Sum        uint32
	}
	goldenEntry struct {
		Index uint64
		Term  uint64
		Type  uint8
		Data  []byte
	}
	goldenSnapshot struct {
		Index   uint64
		Term    uint64
		Members goldenMembership
		Data    []byte
	}
	goldenMembership struct {
		Voters   []goldenMember
		Learners []goldenMember
	}
	goldenMember struct {
		ID        uint64
		Addr      string
		API       string
		Uncounted bool
	}
	goldenHeartbeat struct {
		ID    string
		AgoMS uint32
	}
	goldenRequest struct {
		ID      uint64
		Command []byte
		Read    bool
		Join    *goldenMember
		Passed  bool
		Leave   uint64
		List    bool
		Least   uint64
		Watch   bool
		Packs   bool
		Zone    string
	}
	goldenResponse struct {
		ID       uint64
		Failed   bool
		Kind     uint8
		Detail   string
		Result   goldenResult
		Index    uint64
		Revision uint64
		Objects  []goldenObject
		Gone     bool
		Nearer   []goldenControlNode
		Packed   []byte
	}
	goldenResult struct {
		Revision uint64
		Conflict bool
		Current  []goldenObject
		Latch    goldenCoordinationResult
		Account  uint64
	}
	goldenCoordinationResult struct {
		Code     uint8
		Fence    uint64
		Grant    uint64
		Value    uint64
		Revision uint64
	}
	goldenObject struct {
		Key            string
		Value          []byte
		CreateRevision uint64
		ModRevision    uint64
	}
	goldenEvent struct {
		Type     uint8
		Object   goldenObject
		Revision uint64
		Patch    []byte
		Base     uint64
	}
	goldenControlNode struct{ Addr, API, Zone string }
	goldenBookmark    struct {
		Revision uint64
		Control  []goldenControlNode
		Proxies  int
		Loads    map[string]goldenLoad
		Round    *goldenQuotaGrants
		Judged   bool
		Verdicts []goldenVerdict
		Diskless bool
	}
	goldenLoad struct {
		Rate     float64
		Inflight float64
	}
	goldenQuotaGrants struct {
		Seq    uint64
		Grants []goldenGrant
	}
	goldenGrant struct {
		Endpoint string
		Rate     float64
	}
	goldenVerdict struct {
		Endpoint string
		Pace     uint8
		Sick     bool
	}
	goldenObservation struct {
		Answers int
		Times   float64
		Bad     int
		Nodes   int
	}
	goldenProxyAggregate struct {
		Here     map[string]uint64
		Sum      int
		Loads    map[string]goldenLoad
		Seen     map[string]goldenObservation
		Rounds   map[string]goldenQuotaGrants
		Trials   map[string]goldenRolloutReport
		Life     uint64
		Verdicts []goldenVerdict
	}
	goldenRolloutReport struct {
		Order                  uint64
		Evidence               map[string]goldenRouteCounts
		Proxies, Stage, AtBase int
	}
	goldenRouteCounts struct {
		Base, Target goldenCounts
		Ill          map[string]goldenCounts
	}
	goldenCounts struct {
		Answers int
		Failed  int
		Broken  int
		Timed   int
		Slow    int
	}
	goldenProxyReport struct {
		Seq     uint64
		Loads   map[string]goldenLoad
		Seen    map[string]goldenObservation
		Self    *goldenProxy
		Trials  map[string]goldenRolloutReport
		Account *goldenAuditBatch
	}
	goldenProxy struct {
		Name    string
		Address string
		Zone    string
		Leaving bool
		Weight  float64
	}
	goldenAuditBatch struct {
		Life    string
		Node    string
		AtMS    int64
		Records []goldenAuditRecord
		Dropped uint64
		PerS    float64
		Out     int
		Closed  bool
		Most    int
	}
	goldenAuditRecord struct {
		Seq     uint64
		AtMS    int64
		Tenant  string
		Route   string
		Request string
		Attempt string
		Kind    string
		Status  int
		TookMS  int64
	}
	goldenAuditAck struct {
		Life   string
		Seq    uint64
		Closed bool
	}
)

// goldenLargeValue is large enough for its frame to be compressed.
var goldenLargeValue = []byte(strings.Repeat("a large value; ", 1000))

// goldenPackedObjects and goldenPackedEvents are sent in packed form.
func goldenPackedObjects() []registry.Object {
	return []registry.Object{
		{Key: "endpoints/e1", Value: []byte("value-1"), CreateRevision: 141, ModRevision: 142},
		{Key: "endpoints/e2", Value: []byte("value-2"), CreateRevision: 143, ModRevision: 144},
	}
}

func goldenTypedPackedObjects() []goldenObject {
	return []goldenObject{
		{Key: "endpoints/e1", Value: []byte("value-1"), CreateRevision: 141, ModRevision: 142},
		{Key: "endpoints/e2", Value: []byte("value-2"), CreateRevision: 143, ModRevision: 144},
	}
}

func goldenPackedEvents() []registry.Event {
	return []registry.Event{
		{Type: registry.Modified, Object: registry.Object{Key: "endpoints/e3", Value: []byte("value-3"), CreateRevision: 145, ModRevision: 146}, Revision: 147, Patch: []byte("patch"), Base: 148},
		{Type: registry.Deleted, Object: registry.Object{Key: "endpoints/e4", ModRevision: 149}, Revision: 149},
	}
}

func goldenTypedPackedEvents() []goldenEvent {
	return []goldenEvent{
		{Type: 2, Object: goldenObject{Key: "endpoints/e3", Value: []byte("value-3"), CreateRevision: 145, ModRevision: 146}, Revision: 147, Patch: []byte("patch"), Base: 148},
		{Type: 3, Object: goldenObject{Key: "endpoints/e4", ModRevision: 149}, Revision: 149},
	}
}

// goldenFrames returns the frames of the golden file: at least one of each kind, and each
// serialized type with every field set. Packed data is the placeholder "packed" where the file
// holds the packed form of goldenPackedObjects or goldenPackedEvents.
func goldenFrames() []Frame {
	frames := []Frame{
		{Hello: &Hello{Version: 3, Role: RoleProxy, Node: "node-1", ID: 1, Addr: "127.0.0.1:7001", Zone: "zone-a"}},
		{Hello: &Hello{Version: 3, Role: RolePeer, Node: "node-2", ID: 2}},
		{Hello: &Hello{Version: 3, Role: RoleRelay, Node: "node-3", ID: 3}},
		{Raft: []raft.Message{
			{
				Type: raft.MsgSnapshot, From: 11, To: 12, Term: 13, Index: 14, LogTerm: 15, Commit: 16, Reject: true, Hint: 17, Context: 18, Force: true,
				Sent: 19 * time.Nanosecond, Echo: 20 * time.Nanosecond, Touch: true, Offset: 21, Size: 22, Sum: 23,
				Entries: []raft.Entry{{Index: 24, Term: 25, Type: raft.EntryConfChange, Data: []byte("entry")}, {Index: 26, Term: 27, Type: raft.EntryNormal}},
				Snap: &raft.Snapshot{Index: 28, Term: 29, Data: []byte("state"), Members: raft.Membership{
					Voters:   []raft.Member{{ID: 30, Addr: "127.0.0.1:7030", API: "127.0.0.1:8030", Uncounted: true}, {ID: 31, Addr: "127.0.0.1:7031", API: "127.0.0.1:8031"}},
					Learners: []raft.Member{{ID: 32, Addr: "127.0.0.1:7032", API: "127.0.0.1:8032"}},
				}},
			},
		}},
		{Raft: []raft.Message{
			{Type: raft.MsgPreVote, From: 41}, {Type: raft.MsgPreVoteResp, From: 42}, {Type: raft.MsgVote, From: 43}, {Type: raft.MsgVoteResp, From: 44},
			{Type: raft.MsgAppend, From: 45}, {Type: raft.MsgAppendResp, From: 46}, {Type: raft.MsgHeartbeat, From: 47}, {Type: raft.MsgHeartbeatResp, From: 48},
			{Type: raft.MsgSnapshot, From: 49}, {Type: raft.MsgTimeoutNow, From: 50}, {Type: raft.MsgSnapshotResp, From: 51},
		}},
		{Beats: []Heartbeat{{ID: "e1", AgoMS: 52}, {ID: "e2", AgoMS: 53}}},
		{Ask: &Request{ID: 61, Command: []byte("command")}},
		{Ask: &Request{ID: 62, Read: true}},
		{Ask: &Request{ID: 63, Join: &raft.Member{ID: 64, Addr: "127.0.0.1:7064", API: "127.0.0.1:8064", Uncounted: true}, Passed: true}},
		{Ask: &Request{ID: 65, Leave: 66}},
		{Ask: &Request{ID: 67, List: true, Least: 68, Packs: true, Zone: "zone-b"}},
		{Ask: &Request{ID: 69, Watch: true, Least: 70}},
		{Answer: &Response{
			ID: 81, Failed: true, Kind: apierror.Conflict, Detail: "detail", Index: 82, Revision: 83, Gone: true,
			Result: registry.Result{
				Revision: 84, Conflict: true, Account: 85,
				Current: []registry.Object{{Key: "endpoints/e1", Value: []byte("current"), CreateRevision: 86, ModRevision: 87}},
				Latch:   coordination.Result{Code: coordination.RevisionMismatch, Fence: 88, Grant: 89, Value: 90, Revision: 91},
			},
			Objects: []registry.Object{{Key: "endpoints/e2", Value: []byte("object"), CreateRevision: 92, ModRevision: 93}},
			Nearer:  []ControlNode{{Addr: "127.0.0.1:7094", API: "127.0.0.1:8094", Zone: "zone-c"}},
		}},
		{Answer: &Response{ID: 95, Result: registry.Result{Revision: 96, Latch: coordination.Result{Code: coordination.LockHeld}}}},
		{Answer: &Response{ID: 97, Result: registry.Result{Revision: 98, Latch: coordination.Result{Code: coordination.LockLost}}}},
		{Answer: &Response{ID: 99, Revision: 100, Packed: []byte("packed")}},
		{Answer: &Response{ID: 101, Revision: 102, Objects: []registry.Object{{Key: "configuration/current", Value: goldenLargeValue, CreateRevision: 103, ModRevision: 104}}}},
		{Events: []registry.Event{
			{Type: registry.Added, Object: registry.Object{Key: "endpoints/e1", Value: []byte("added"), CreateRevision: 111, ModRevision: 111}, Revision: 111},
			{Type: registry.Modified, Object: registry.Object{Key: "endpoints/e1", CreateRevision: 111, ModRevision: 112}, Revision: 112, Patch: []byte("patch"), Base: 113},
			{Type: registry.Deleted, Object: registry.Object{Key: "endpoints/e1", ModRevision: 114}, Revision: 114},
		}},
		{Bookmark: &Bookmark{
			Revision: 121, Proxies: 122, Judged: true, Diskless: true,
			Control:  []ControlNode{{Addr: "127.0.0.1:7123", API: "127.0.0.1:8123", Zone: "zone-d"}},
			Loads:    map[string]loadbalance.Load{"payments": {Rate: 124.5, Inflight: 125.5}, "invoices": {Rate: 126.5, Inflight: 127.5}},
			Round:    &QuotaGrants{Seq: 128, Grants: []loadbalance.Grant{{Endpoint: "e1", Rate: 129.5}}},
			Verdicts: []loadbalance.Verdict{{Endpoint: "e1", Pace: 130, Sick: true}},
		}},
		{Gone: true},
		{Proxies: &ProxyAggregate{
			Here: map[string]uint64{"p1": 151, "p2": 152}, Sum: 153, Life: 154,
			Loads:    map[string]loadbalance.Load{"payments": {Rate: 155.5, Inflight: 156.5}},
			Seen:     map[string]loadbalance.Observation{"e1": {Answers: 157, Times: 158.5, Bad: 159, Nodes: 160}},
			Rounds:   map[string]QuotaGrants{"p1": {Seq: 161, Grants: []loadbalance.Grant{{Endpoint: "e2", Rate: 162.5}}}},
			Trials:   map[string]RolloutReport{"payments": {Order: 163, Proxies: 164, Stage: 165, AtBase: 166, Evidence: rollout.Evidence{"pay": {Base: rollout.Counts{Answers: 167}}}}},
			Verdicts: []loadbalance.Verdict{{Endpoint: "e3", Pace: 168}},
		}},
		{Ack: 171},
		{Report: &ProxyReport{
			Seq:   181,
			Loads: map[string]loadbalance.Load{"payments": {Rate: 182.5, Inflight: 183.5}},
			Seen:  map[string]loadbalance.Observation{"e1": {Answers: 184, Times: 185.5, Bad: 186, Nodes: 187}},
			Self:  &registry.Proxy{Name: "p1", Address: "127.0.0.1:9101", Zone: "zone-e", Leaving: true, Weight: 188.5},
			Trials: map[string]RolloutReport{"payments": {Order: 189, Proxies: 190, Stage: 191, AtBase: 192, Evidence: rollout.Evidence{"pay": {
				Base:   rollout.Counts{Answers: 193, Failed: 194, Broken: 195, Timed: 196, Slow: 197},
				Target: rollout.Counts{Answers: 198, Failed: 199, Broken: 200, Timed: 201, Slow: 202},
				Ill:    map[string]rollout.Counts{"e1": {Failed: 203, Broken: 204, Slow: 205}},
			}}}},
			Account: &audit.Batch{
				Life: "life-1", Node: "p1", AtMS: 1700000000206, Dropped: 207, PerS: 208.5, Out: 209, Closed: true, Most: 210,
				Records: []audit.Record{{Seq: 211, AtMS: 1700000000212, Tenant: "tenant-1", Route: "pay", Request: "request-1", Attempt: "attempt-1", Kind: audit.MissedLatencyTarget, Status: 213, TookMS: 214}},
			},
		}},
		{Account: &AuditAck{Life: "life-1", Seq: 221, Closed: true}},
		{PackedEvents: []byte("packed")},
	}
	for i, kind := range []apierror.Kind{
		apierror.Internal, apierror.BadRequest, apierror.InvalidConfiguration, apierror.NoRoute, apierror.NotFound, apierror.HeaderTimeout, apierror.LockHeld, apierror.Conflict, apierror.RevisionExpired,
		apierror.RevisionMismatch, apierror.BodyTooLarge, apierror.HeaderTooLarge, apierror.Overloaded, apierror.BadGateway, apierror.Unavailable, apierror.UnknownOutcome, apierror.DeadlineExceeded,
	} {
		frames = append(frames, Frame{Answer: &Response{ID: 300 + uint64(i), Failed: true, Kind: kind}})
	}
	return frames
}

// goldenTypedFrames returns the values of goldenFrames in the golden types.
func goldenTypedFrames() []goldenFrame {
	frames := []goldenFrame{
		{Hello: &goldenHello{Version: 3, Role: 2, Node: "node-1", ID: 1, Addr: "127.0.0.1:7001", Zone: "zone-a"}},
		{Hello: &goldenHello{Version: 3, Role: 1, Node: "node-2", ID: 2}},
		{Hello: &goldenHello{Version: 3, Role: 3, Node: "node-3", ID: 3}},
		{Raft: []goldenMessage{
			{
				Type: 9, From: 11, To: 12, Term: 13, Index: 14, LogTerm: 15, Commit: 16, Reject: true, Hint: 17, Context: 18, Force: true,
				Sent: 19, Echo: 20, Touch: true, Offset: 21, Size: 22, Sum: 23,
				Entries: []goldenEntry{{Index: 24, Term: 25, Type: 1, Data: []byte("entry")}, {Index: 26, Term: 27, Type: 0}},
				Snap: &goldenSnapshot{Index: 28, Term: 29, Data: []byte("state"), Members: goldenMembership{
					Voters:   []goldenMember{{ID: 30, Addr: "127.0.0.1:7030", API: "127.0.0.1:8030", Uncounted: true}, {ID: 31, Addr: "127.0.0.1:7031", API: "127.0.0.1:8031"}},
					Learners: []goldenMember{{ID: 32, Addr: "127.0.0.1:7032", API: "127.0.0.1:8032"}},
				}},
			},
		}},
		{Raft: []goldenMessage{
			{Type: 1, From: 41}, {Type: 2, From: 42}, {Type: 3, From: 43}, {Type: 4, From: 44},
			{Type: 5, From: 45}, {Type: 6, From: 46}, {Type: 7, From: 47}, {Type: 8, From: 48},
			{Type: 9, From: 49}, {Type: 10, From: 50}, {Type: 11, From: 51},
		}},
		{Beats: []goldenHeartbeat{{ID: "e1", AgoMS: 52}, {ID: "e2", AgoMS: 53}}},
		{Ask: &goldenRequest{ID: 61, Command: []byte("command")}},
		{Ask: &goldenRequest{ID: 62, Read: true}},
		{Ask: &goldenRequest{ID: 63, Join: &goldenMember{ID: 64, Addr: "127.0.0.1:7064", API: "127.0.0.1:8064", Uncounted: true}, Passed: true}},
		{Ask: &goldenRequest{ID: 65, Leave: 66}},
		{Ask: &goldenRequest{ID: 67, List: true, Least: 68, Packs: true, Zone: "zone-b"}},
		{Ask: &goldenRequest{ID: 69, Watch: true, Least: 70}},
		{Answer: &goldenResponse{
			ID: 81, Failed: true, Kind: 7, Detail: "detail", Index: 82, Revision: 83, Gone: true,
			Result: goldenResult{
				Revision: 84, Conflict: true, Account: 85,
				Current: []goldenObject{{Key: "endpoints/e1", Value: []byte("current"), CreateRevision: 86, ModRevision: 87}},
				Latch:   goldenCoordinationResult{Code: 3, Fence: 88, Grant: 89, Value: 90, Revision: 91},
			},
			Objects: []goldenObject{{Key: "endpoints/e2", Value: []byte("object"), CreateRevision: 92, ModRevision: 93}},
			Nearer:  []goldenControlNode{{Addr: "127.0.0.1:7094", API: "127.0.0.1:8094", Zone: "zone-c"}},
		}},
		{Answer: &goldenResponse{ID: 95, Result: goldenResult{Revision: 96, Latch: goldenCoordinationResult{Code: 1}}}},
		{Answer: &goldenResponse{ID: 97, Result: goldenResult{Revision: 98, Latch: goldenCoordinationResult{Code: 2}}}},
		{Answer: &goldenResponse{ID: 99, Revision: 100, Packed: []byte("packed")}},
		{Answer: &goldenResponse{ID: 101, Revision: 102, Objects: []goldenObject{{Key: "configuration/current", Value: goldenLargeValue, CreateRevision: 103, ModRevision: 104}}}},
		{Events: []goldenEvent{
			{Type: 1, Object: goldenObject{Key: "endpoints/e1", Value: []byte("added"), CreateRevision: 111, ModRevision: 111}, Revision: 111},
			{Type: 2, Object: goldenObject{Key: "endpoints/e1", CreateRevision: 111, ModRevision: 112}, Revision: 112, Patch: []byte("patch"), Base: 113},
			{Type: 3, Object: goldenObject{Key: "endpoints/e1", ModRevision: 114}, Revision: 114},
		}},
		{Bookmark: &goldenBookmark{
			Revision: 121, Proxies: 122, Judged: true, Diskless: true,
			Control:  []goldenControlNode{{Addr: "127.0.0.1:7123", API: "127.0.0.1:8123", Zone: "zone-d"}},
			Loads:    map[string]goldenLoad{"payments": {Rate: 124.5, Inflight: 125.5}, "invoices": {Rate: 126.5, Inflight: 127.5}},
			Round:    &goldenQuotaGrants{Seq: 128, Grants: []goldenGrant{{Endpoint: "e1", Rate: 129.5}}},
			Verdicts: []goldenVerdict{{Endpoint: "e1", Pace: 130, Sick: true}},
		}},
		{Gone: true},
		{Proxies: &goldenProxyAggregate{
			Here: map[string]uint64{"p1": 151, "p2": 152}, Sum: 153, Life: 154,
			Loads:    map[string]goldenLoad{"payments": {Rate: 155.5, Inflight: 156.5}},
			Seen:     map[string]goldenObservation{"e1": {Answers: 157, Times: 158.5, Bad: 159, Nodes: 160}},
			Rounds:   map[string]goldenQuotaGrants{"p1": {Seq: 161, Grants: []goldenGrant{{Endpoint: "e2", Rate: 162.5}}}},
			Trials:   map[string]goldenRolloutReport{"payments": {Order: 163, Proxies: 164, Stage: 165, AtBase: 166, Evidence: map[string]goldenRouteCounts{"pay": {Base: goldenCounts{Answers: 167}}}}},
			Verdicts: []goldenVerdict{{Endpoint: "e3", Pace: 168}},
		}},
		{Ack: 171},
		{Report: &goldenProxyReport{
			Seq:   181,
			Loads: map[string]goldenLoad{"payments": {Rate: 182.5, Inflight: 183.5}},
			Seen:  map[string]goldenObservation{"e1": {Answers: 184, Times: 185.5, Bad: 186, Nodes: 187}},
			Self:  &goldenProxy{Name: "p1", Address: "127.0.0.1:9101", Zone: "zone-e", Leaving: true, Weight: 188.5},
			Trials: map[string]goldenRolloutReport{"payments": {Order: 189, Proxies: 190, Stage: 191, AtBase: 192, Evidence: map[string]goldenRouteCounts{"pay": {
				Base:   goldenCounts{Answers: 193, Failed: 194, Broken: 195, Timed: 196, Slow: 197},
				Target: goldenCounts{Answers: 198, Failed: 199, Broken: 200, Timed: 201, Slow: 202},
				Ill:    map[string]goldenCounts{"e1": {Failed: 203, Broken: 204, Slow: 205}},
			}}}},
			Account: &goldenAuditBatch{
				Life: "life-1", Node: "p1", AtMS: 1700000000206, Dropped: 207, PerS: 208.5, Out: 209, Closed: true, Most: 210,
				Records: []goldenAuditRecord{{Seq: 211, AtMS: 1700000000212, Tenant: "tenant-1", Route: "pay", Request: "request-1", Attempt: "attempt-1", Kind: "late", Status: 213, TookMS: 214}},
			},
		}},
		{Account: &goldenAuditAck{Life: "life-1", Seq: 221, Closed: true}},
		{PackedEvents: []byte("packed")},
	}
	for kind := range uint8(17) {
		frames = append(frames, goldenFrame{Answer: &goldenResponse{ID: 300 + uint64(kind), Failed: true, Kind: kind}})
	}
	return frames
}

// bytesConn is a connection that reads from in and writes to out.
type bytesConn struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (c *bytesConn) Read(b []byte) (int, error)       { return c.in.Read(b) }
func (c *bytesConn) Write(b []byte) (int, error)      { return c.out.Write(b) }
func (c *bytesConn) Close() error                     { return nil }
func (c *bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (c *bytesConn) SetWriteDeadline(time.Time) error { return nil }

// writeGoldenFrames sends the golden frames and returns the data that was written.
func writeGoldenFrames(t *testing.T) []byte {
	t.Helper()
	objects, err := Pack(goldenPackedObjects())
	if err != nil {
		t.Fatal(err)
	}
	events, err := Pack(goldenPackedEvents())
	if err != nil {
		t.Fatal(err)
	}
	raw := &bytesConn{}
	c := NewConn(raw, time.Second)
	for _, f := range goldenFrames() {
		if f.Answer != nil && f.Answer.Packed != nil {
			f.Answer.Packed = objects
		}
		if f.PackedEvents != nil {
			f.PackedEvents = events
		}
		if err := c.Send(&f); err != nil {
			t.Fatal(err)
		}
	}
	return raw.out.Bytes()
}

// readFramesWithGoldenTypes decodes the data of a connection independently of the code under
// test, and returns how many frames were compressed.
func readFramesWithGoldenTypes(t *testing.T, what string, data []byte) (compressed int) {
	t.Helper()
	unpackTyped := func(b []byte, to any) {
		if err := gob.NewDecoder(flate.NewReader(bytes.NewReader(b))).Decode(to); err != nil {
			t.Errorf("%s: unpack: %v", what, err)
		}
	}
	var in bytes.Buffer
	decoder := gob.NewDecoder(&in)
	want := goldenTypedFrames()
	for i := range want {
		if len(data) < 4 {
			t.Fatalf("%s: data ends before frame %d", what, i)
		}
		header := binary.BigEndian.Uint32(data)
		length := int(header & 0x7fffffff)
		body := data[4 : 4+length]
		data = data[4+length:]
		if header&0x80000000 != 0 {
			compressed++
			decompressed, err := io.ReadAll(flate.NewReader(bytes.NewReader(body)))
			if err != nil {
				t.Fatalf("%s: frame %d: %v", what, i, err)
			}
			body = decompressed
		}
		in.Write(body)
		var f goldenFrame
		if err := decoder.Decode(&f); err != nil {
			t.Fatalf("%s: frame %d: %v", what, i, err)
		}
		if f.Answer != nil && f.Answer.Packed != nil {
			var objects []goldenObject
			unpackTyped(f.Answer.Packed, &objects)
			goldentest.CheckEqual(t, what+", packed objects, read with the golden types", objects, goldenTypedPackedObjects())
			f.Answer.Packed = []byte("packed")
		}
		if f.PackedEvents != nil {
			var events []goldenEvent
			unpackTyped(f.PackedEvents, &events)
			goldentest.CheckEqual(t, what+", packed events, read with the golden types", events, goldenTypedPackedEvents())
			f.PackedEvents = []byte("packed")
		}
		goldentest.CheckEqual(t, fmt.Sprintf("%s, frame %d, read with the golden types", what, i), f, want[i])
	}
	if len(data) != 0 {
		t.Errorf("%s: %d bytes after the last frame", what, len(data))
	}
	return compressed
}

func readFramesWithCurrentCode(t *testing.T, what string, data []byte) {
	t.Helper()
	c := NewConn(&bytesConn{in: bytes.NewReader(data)}, time.Second)
	for i, want := range goldenFrames() {
		f, err := c.Receive(time.Second)
		if err != nil {
			t.Fatalf("%s: frame %d: %v", what, i, err)
		}
		if f.Answer != nil && f.Answer.Packed != nil {
			objects, err := f.Answer.UnpackObjects()
			if err != nil {
				t.Error(err)
			}
			goldentest.CheckEqual(t, what+", packed objects, read with the current code", objects, goldenPackedObjects())
			f.Answer.Packed = []byte("packed")
		}
		if f.PackedEvents != nil {
			events, err := f.UnpackEvents()
			if err != nil {
				t.Error(err)
			}
			goldentest.CheckEqual(t, what+", packed events, read with the current code", events, goldenPackedEvents())
			f.PackedEvents = []byte("packed")
		}
		goldentest.CheckEqual(t, fmt.Sprintf("%s, frame %d, read with the current code", what, i), *f, want)
	}
	if _, err := c.Receive(time.Second); !errors.Is(err, io.EOF) {
		t.Errorf("%s: Receive() after the last frame = %v, want io.EOF", what, err)
	}
}

// TestGoldenFrames guards against an incompatible change of the protocol: the current code must
// read the golden file, and frames that it writes must be readable with the golden types.
func TestGoldenFrames(t *testing.T) {
	written := writeGoldenFrames(t)
	golden := goldentest.File(t, "testdata/golden/frames.bin", func() []byte { return written })
	for what, data := range map[string][]byte{"golden file": golden, "written by the current code": written} {
		if n := readFramesWithGoldenTypes(t, what, data); n != 1 {
			t.Errorf("%s: %d compressed frames, want 1", what, n)
		}
		readFramesWithCurrentCode(t, what, data)
	}
	goldentest.CheckComplete(t, goldenFrames(), goldenJoin())
	goldentest.CheckComplete(t, goldenTypedFrames())
	if Version != 3 {
		t.Errorf("Version = %d, want 3", Version)
	}
	if _, hello, err := Accept(&bytesConn{in: bytes.NewReader(golden)}, time.Second); err != nil || hello.Node != "node-1" {
		t.Errorf("Accept() of the golden hello = %+v, %v; want node-1", hello, err)
	}
}

// goldenJoin is a request with the field Storage of a member, which was added after the golden
// frames were written.
func goldenJoin() Frame {
	return Frame{Ask: &Request{ID: 401, Join: &raft.Member{ID: 402, Addr: "127.0.0.1:7402", API: "127.0.0.1:8402", Storage: raft.StorageMemory}}}
}

// TestGoldenJoin is TestGoldenFrames for goldenJoin. The golden types ignore the field Storage.
func TestGoldenJoin(t *testing.T) {
	raw := &bytesConn{}
	want := goldenJoin()
	if err := NewConn(raw, time.Second).Send(&want); err != nil {
		t.Fatal(err)
	}
	written := raw.out.Bytes()
	golden := goldentest.File(t, "testdata/golden/join-storage.bin", func() []byte { return written })
	wantTyped := goldenFrame{Ask: &goldenRequest{ID: 401, Join: &goldenMember{ID: 402, Addr: "127.0.0.1:7402", API: "127.0.0.1:8402"}}}
	for what, data := range map[string][]byte{"golden file": golden, "written by the current code": written} {
		got, err := NewConn(&bytesConn{in: bytes.NewReader(data)}, time.Second).Receive(time.Second)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		goldentest.CheckEqual(t, what+", read with the current code", *got, want)
		var typed goldenFrame
		if err := gob.NewDecoder(bytes.NewReader(data[4:])).Decode(&typed); err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		goldentest.CheckEqual(t, what+", read with the golden types", typed, wantTyped)
	}
}
