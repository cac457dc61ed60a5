package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math/rand"
	"net"
	"reflect"
	"testing"
	"time"

	"lichentray/raft"
	"lichentray/registry"
)

// newPipe returns the two ends of an in-memory connection, which are closed when the test ends.
func newPipe(t testing.TB) (near, far net.Conn) {
	t.Helper()
	near, far = net.Pipe()
	t.Cleanup(func() {
		near.Close()
		far.Close()
	})
	return near, far
}

// TestFrameRoundTrip checks that frames are received as sent, both compressed and uncompressed.
func TestFrameRoundTrip(t *testing.T) {
	a, b := newPipe(t)
	frames := []*Frame{
		{Hello: &Hello{Version: Version, Role: RolePeer, Node: "n", ID: 7}},
		{Raft: []raft.Message{{Type: raft.MsgAppend, From: 1, To: 2, Term: 3, Entries: []raft.Entry{{Index: 4, Term: 3, Data: []byte("x")}}}}},
		{Events: []registry.Event{{Type: registry.Added, Object: registry.Object{Key: "k", Value: []byte("v"), ModRevision: 9}, Revision: 9}}, Bookmark: &Bookmark{Revision: 9, Control: []ControlNode{{Addr: "c", Zone: "z"}}}},
		{Answer: &Response{ID: 1, Objects: []registry.Object{{Key: "large", Value: bytes.Repeat([]byte("a large value "), 4000)}}}},
		{Gone: true},
	}
	go func() {
		c := NewConn(a, time.Second)
		for _, f := range frames {
			if err := c.Send(f); err != nil {
				t.Error(err)
			}
		}
	}()
	c := NewConn(b, time.Second)
	for _, want := range frames {
		got, err := c.Receive(5 * time.Second)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("Receive() = %+v, %v; want the sent frame", got, err)
		}
	}
}

// TestAcceptRejectsInvalidHello checks that peers that use another protocol, or another version of
// this one, are rejected.
func TestAcceptRejectsInvalidHello(t *testing.T) {
	huge := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	for name, sent := range map[string][]byte{
		"HTTP request":     []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"oversized frame":  huge,
		"invalid gob data": append([]byte{0, 0, 0, 8}, "\xff\xfe\xfd\xfc\xfb\xfa\xf9\xf8"...),
		"empty frame":      {0, 0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newPipe(t)
			go func() {
				_, _ = a.Write(sent) // fails if the other end closes first
				a.Close()
			}()
			if _, _, err := Accept(b, 2*time.Second); err == nil {
				t.Errorf("%s: Accept() succeeded, want an error", name)
			}
		})
	}
	t.Run("newer version", func(t *testing.T) {
		a, b := newPipe(t)
		go func() { _ = NewConn(a, time.Second).Send(&Frame{Hello: &Hello{Version: Version + 1, Role: RolePeer}}) }()
		if _, _, err := Accept(b, 2*time.Second); !errors.Is(err, ErrHandshake) {
			t.Errorf("Accept() = %v, want ErrHandshake", err)
		}
	})
}

// replayConn is a connection that reads from reader.
type replayConn struct {
	net.Conn
	reader io.Reader
}

func (c *replayConn) Read(b []byte) (int, error)      { return c.reader.Read(b) }
func (c *replayConn) SetReadDeadline(time.Time) error { return nil }

// FuzzReceive checks that Receive neither panics nor reads forever on arbitrary input.
func FuzzReceive(f *testing.F) {
	f.Add([]byte{0, 0, 0, 2, 1, 2})
	f.Add([]byte{255, 255, 255, 255})
	a, b := newPipe(f)
	go func() { _ = NewConn(a, time.Second).Send(&Frame{Gone: true}) }()
	buf := make([]byte, 1<<16)
	n, _ := b.Read(buf)
	f.Add(append([]byte(nil), buf[:n]...))
	f.Fuzz(func(_ *testing.T, in []byte) {
		c := NewConn(&replayConn{reader: bytes.NewReader(in)}, time.Second)
		for {
			if _, err := c.Receive(time.Second); err != nil {
				return
			}
		}
	})
}

// TestSendToSlowReader guards against a timeout for the complete frame, which would break
// connections over slow links: Send succeeds as long as the reader makes progress within each
// timeout, and fails once it makes none.
func TestSendToSlowReader(t *testing.T) {
	a, b := newPipe(t)
	c := NewConn(a, 400*time.Millisecond)
	data := make([]byte, 1<<20)
	rand.New(rand.NewSource(1)).Read(data)
	f := &Frame{Raft: []raft.Message{{Type: raft.MsgAppend, Entries: []raft.Entry{{Index: 1, Data: data}}}}}
	sent := make(chan error, 2)
	go func() {
		sent <- c.Send(f)
		sent <- c.Send(f)
	}()
	got, err := NewConn(slowConn{b}, time.Second).Receive(0)
	if err != nil || !reflect.DeepEqual(got, f) {
		t.Fatalf("Receive() = %v, want the sent frame", err)
	}
	if err := <-sent; err != nil {
		t.Error(err)
	}
	if err := <-sent; err == nil {
		t.Error("Send() without a reader = nil, want an error")
	}
}

// slowConn reads at most a megabyte per second.
type slowConn struct{ net.Conn }

func (c slowConn) Read(b []byte) (int, error) {
	time.Sleep(4 * time.Millisecond)
	return c.Conn.Read(b[:min(len(b), 4096)])
}
