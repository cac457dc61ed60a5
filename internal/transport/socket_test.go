package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestPeerProbe checks that a close or a reset by the peer is detected, also behind unread data,
// and that open connections and those closed by the local end do not count as closed by the peer.
func TestPeerProbe(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	send := func(c *net.TCPConn) {
		if _, err := io.WriteString(c, "next"); err != nil {
			t.Error(err)
		}
	}
	for _, test := range []struct {
		name string
		do   func(*net.TCPConn)
		want bool
	}{
		{"open", func(*net.TCPConn) {}, false},
		{"data sent", send, false},
		{"closed", func(c *net.TCPConn) { c.Close() }, true},
		{"closed after data", func(c *net.TCPConn) { send(c); c.Close() }, true},
		{"closed for writing", func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }, true},
	} {
		peer, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		rawConn, err := conn.(*net.TCPConn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		test.do(peer.(*net.TCPConn))
		probe := NewPeerProbe(rawConn)
		got := probe.HasClosed()
		for end := time.Now().Add(20 * time.Second); test.want && !got && time.Now().Before(end); time.Sleep(time.Millisecond) {
			got = probe.HasClosed()
		}
		if got != test.want {
			t.Errorf("%s: HasClosed() = %v", test.name, got)
		}
		peer.Close()
		conn.Close()
		if probe.HasClosed() {
			t.Errorf("%s: HasClosed() = true for a connection closed by the local end, want false", test.name)
		}
	}
}
