package proxy

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestIdleConnectionOutlivesDeadline checks that an idle connection remains reusable after the
// deadline of its last request, and not after unexpected bytes.
func TestIdleConnectionOutlivesDeadline(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	u, err := dialUpstream(ln.Addr().String(), 5*time.Second, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	other, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if err := u.tcp.SetDeadline(time.Now().Add(-time.Second)); err != nil {
		t.Fatal(err)
	}
	if !u.isReusable() {
		t.Error("idle connection is not reusable after the last deadline")
	}
	if _, err := io.WriteString(other, "x"); err != nil {
		t.Fatal(err)
	}
	_ = u.tcp.SetDeadline(time.Time{})
	if _, err := u.reader.Peek(1); err != nil || u.isReusable() {
		t.Errorf("connection is reusable despite unexpected bytes (Peek error: %v)", err)
	}
}
