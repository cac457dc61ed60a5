package transport

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestPeerProbe: what a peer did to its end of a connection, and whether it counts as closed.
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
		{"nothing", func(*net.TCPConn) {}, false},
		{"it has sent bytes", send, false},
		{"it has closed", func(c *net.TCPConn) { c.Close() }, true},
		{"it has closed behind bytes", func(c *net.TCPConn) { send(c); c.Close() }, true},
		{"it has closed its side for writing", func(c *net.TCPConn) { _ = c.CloseWrite() }, true},
		{"it has reset", func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() }, true},
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
			t.Errorf("%s: closed is %v", test.name, got)
		}
		peer.Close()
		conn.Close()
		if probe.HasClosed() {
			t.Errorf("%s: a connection that this end has closed counts as closed by the peer", test.name)
		}
	}
}
