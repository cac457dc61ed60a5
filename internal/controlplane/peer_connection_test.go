package controlplane

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"lichentray/internal/settings"
	"lichentray/internal/transport"
)

// newTestConnection returns a connection without a goroutine, marked as up.
func newTestConnection(t *testing.T) *peerConnection {
	t.Helper()
	connection := newPeerConnection(context.Background(), nil, "127.0.0.1:1", false)
	t.Cleanup(connection.cancel)
	connection.setConnected()
	return connection
}

// TestAbandonedCallIsNotSent: a request that its caller gave up while it was queued
// never leaves, and one that left is known as such.
func TestAbandonedCallIsNotSent(t *testing.T) {
	c := newTestConnection(t)
	for _, leavesFirst := range []bool{false, true} {
		call, err := c.startCall(&transport.Request{ID: 1})
		if err != nil {
			t.Fatal(err)
		}
		frame := <-c.sendQueue
		if leavesFirst && !c.claimForSending(frame) {
			t.Error("a request that is awaited is not sent")
		}
		if mayHaveBeenSent := c.abandonCall(1, call); mayHaveBeenSent != leavesFirst {
			t.Errorf("sent %v, reported %v", leavesFirst, mayHaveBeenSent)
		}
		if c.claimForSending(frame) {
			t.Error("a request that nobody awaits is sent")
		}
	}
}

func TestCallsOfAConnection(t *testing.T) {
	c := newTestConnection(t)
	answered, err := c.startCall(&transport.Request{ID: 1})
	if err != nil {
		t.Fatal(err)
	}
	open, err := c.startCall(&transport.Request{ID: 2})
	if err != nil {
		t.Fatal(err)
	}
	c.deliver(&transport.Response{ID: 1, Index: 7})
	c.deliver(&transport.Response{ID: 9}) // nobody waits for it
	if response := <-answered.responses; response == nil || response.Index != 7 {
		t.Errorf("response %+v", response)
	}
	c.setDisconnected()
	if response := <-open.responses; response != nil {
		t.Errorf("a broken connection answered %+v", response)
	}
	if _, err := c.startCall(&transport.Request{ID: 3}); !errors.Is(err, errPeerNotConnected) {
		t.Errorf("a call while disconnected: %v", err)
	}
}

func TestCallWithAFullQueue(t *testing.T) {
	c := newTestConnection(t)
	for c.enqueue(&transport.Frame{}) {
	}
	if _, err := c.startCall(&transport.Request{ID: 1}); !errors.Is(err, errPeerNotConnected) {
		t.Errorf("a call with a full queue: %v", err)
	}
	if len(c.pendingCalls) != 0 {
		t.Error("the call still waits")
	}
}

// TestPeerThatClosesIsNotDialledAtOnce: a peer that accepts each connection and closes it is
// dialled with a backoff, as one that rejects them.
func TestPeerThatClosesIsNotDialledAtOnce(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	env := newTestEnvironment(t)
	env.settings = &settings.Settings{}
	shortest := 20 * time.Millisecond
	env.timing.HeartbeatInterval = 2 * shortest
	env.timing.ElectionTimeout = time.Hour // no connection lasts
	env.timing.ConnectionTimeout = time.Hour
	connection := newPeerConnection(context.Background(), newPeerPool(env), listener.Addr().String(), false)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		connection.run()
	}()
	began := time.Now()
	for range 4 {
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
	// The three pauses between them are the shortest, twice and four times that at the least.
	if took := time.Since(began); took < 7*shortest {
		t.Errorf("four connections within %v", took)
	}
	connection.cancel()
	<-ended
}
