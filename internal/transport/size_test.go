package transport

import (
	"fmt"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"lichentray/loadbalance"
	"lichentray/registry"
)

// largeDeployment returns the state of a large deployment: a thousand endpoints, a configuration
// of 680 routes, and verdicts on three of four endpoints.
func largeDeployment() (objects []registry.Object, verdicts []loadbalance.Verdict) {
	for i := range 1000 {
		e := registry.Endpoint{
			ID: fmt.Sprintf("i-%010x", uint64(i)*2654435761%(1<<40)), Service: fmt.Sprintf("service-%d", i%2), Address: fmt.Sprintf("10.%d.64.%d:8369", i%7+1, i%250),
			Zone: fmt.Sprintf("zone-%d", i%7), Capacity: 3, Sequence: uint64(i % 9), WarmUpSeconds: 0,
		}
		objects = append(objects, registry.Object{Key: e.Key(), Value: e.Encode(), CreateRevision: uint64(i), ModRevision: uint64(i)})
		if i%4 != 0 {
			verdicts = append(verdicts, loadbalance.Verdict{Endpoint: e.ID, Pace: uint8(20 + i*7%40)})
		}
	}
	text := `{"config_version":7,"listeners":[{"hostname":"h.example","rules":[`
	for i := range 680 {
		text += fmt.Sprintf(`{"name":"r-%x","route_type":"idempotent","target_latency_s":0.25,"priority":2,"match":{"path_prefix":"/p%x/"},"action":{"backend_service":"service-%d","timeout_s":0.6,"max_attempts":2}},`, i*7919, i*104729, i%2)
	}
	objects = append(objects, registry.Object{Key: registry.ConfigKey, Value: registry.EncodeConfig(7, []byte(text[:len(text)-1]+`]}]}`)), CreateRevision: 1, ModRevision: 1001})
	return objects, verdicts
}

// discardConn is a connection that discards and counts what is written.
type discardConn struct {
	net.Conn
	written int
}

func (c *discardConn) Write(b []byte) (int, error) {
	c.written += len(b)
	return len(b), nil
}
func (c *discardConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *discardConn) SetWriteDeadline(time.Time) error { return nil }
func (c *discardConn) Close() error                     { return nil }

// TestFrameSizes guards against frames that overload the link of a proxy, which carries a few
// hundred kilobytes per second: it bounds the frames to one proxy in a large deployment.
func TestFrameSizes(t *testing.T) {
	objects, verdicts := largeDeployment()
	packed, err := Pack(objects)
	if err != nil {
		t.Fatal(err)
	}
	bookmark := &Bookmark{Revision: 5000, Proxies: 300, Loads: map[string]loadbalance.Load{"service-0": {Rate: 4000, Inflight: 1500}, "service-1": {Rate: 400, Inflight: 120}}}
	for range 7 {
		bookmark.Control = append(bookmark.Control, ControlNode{Addr: "10.1.0.10:7720", API: "10.1.0.10:8166", Zone: "zone-1"})
	}
	withVerdicts := *bookmark
	withVerdicts.Judged, withVerdicts.Verdicts = true, verdicts
	change := registry.Event{Type: registry.Modified, Object: objects[7], Revision: 5001}
	raw := &discardConn{}
	c := NewConn(raw, time.Second)
	for _, test := range []struct {
		name     string
		frame    *Frame
		maxBytes int
	}{
		{"list of 1000 endpoints and 680 routes", &Frame{Answer: &Response{ID: 1, Revision: 5000, Packed: packed}}, 48 << 10},
		{"bookmark", &Frame{Bookmark: bookmark}, 600},
		{"bookmark with verdicts on three of four endpoints", &Frame{Bookmark: &withVerdicts}, 8 << 10},
		{"event", &Frame{Events: []registry.Event{change}, Bookmark: &Bookmark{Revision: 5001}}, 400},
	} {
		raw.written = 0
		if err := c.Send(test.frame); err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes", test.name, raw.written)
		if raw.written > test.maxBytes {
			t.Errorf("%s: sent %d bytes, want at most %d", test.name, raw.written, test.maxBytes)
		}
	}
	list, err := (&Response{Packed: packed}).UnpackObjects()
	if err != nil || !reflect.DeepEqual(list, objects) {
		t.Errorf("UnpackObjects() differs from the packed list: %d objects, want %d; error %v", len(list), len(objects), err)
	}
	for _, length := range []int{1, len(packed) / 2, len(packed) - 1} {
		if _, err := (&Response{Packed: packed[:length]}).UnpackObjects(); err == nil {
			t.Errorf("UnpackObjects() of a list truncated to %d bytes succeeded, want an error", length)
		}
	}
}

// BenchmarkList measures sending a list that is encoded for each proxy, sending one that is encoded
// once for all proxies, and reading it.
func BenchmarkList(b *testing.B) {
	objects, _ := largeDeployment()
	send := func(b *testing.B, f func() *Response) {
		for b.Loop() {
			if err := NewConn(&discardConn{}, time.Second).Send(&Frame{Answer: f()}); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("for each", func(b *testing.B) { send(b, func() *Response { return &Response{ID: 1, Objects: objects} }) })
	packed, _ := Pack(objects)
	b.Run("shared", func(b *testing.B) { send(b, func() *Response { return &Response{ID: 1, Packed: packed} }) })
	b.Run("read", func(b *testing.B) {
		for b.Loop() {
			if _, err := (&Response{Packed: packed}).UnpackObjects(); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkVerdicts measures sending the verdicts of a large deployment.
func BenchmarkVerdicts(b *testing.B) {
	_, verdicts := largeDeployment()
	c := NewConn(&discardConn{}, time.Second)
	for b.Loop() {
		if err := c.Send(&Frame{Bookmark: &Bookmark{Revision: 1, Judged: true, Verdicts: verdicts}}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkServices measures sending a bookmark and a report for different numbers of services.
func BenchmarkServices(b *testing.B) {
	for _, n := range []int{2, 150, 1500} {
		loads := map[string]loadbalance.Load{}
		for i := range n {
			loads[fmt.Sprint("service-", i)] = loadbalance.Load{Rate: 600 + float64(i)/7, Inflight: 200 + float64(i)/3}
		}
		for what, f := range map[string]*Frame{"bookmark": {Bookmark: &Bookmark{Revision: 1, Loads: loads}}, "report": {Report: &ProxyReport{Seq: 1, Loads: loads}}} {
			b.Run(fmt.Sprint(what, " of ", n), func(b *testing.B) {
				raw := &discardConn{}
				c := NewConn(raw, time.Second)
				for b.Loop() {
					raw.written = 0
					if err := c.Send(f); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(raw.written), "bytes")
			})
		}
	}
}
