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

// newTestConnection returns a connection that is marked as up and has no goroutine.
func newTestConnection(t *testing.T) *peerConnection {
	t.Helper()
	connection := newPeerConnection(context.Background(), nil, "127.0.0.1:1", false)
	t.Cleanup(connection.cancel)
	connection.setConnected()
	return connection
}

// TestAbandonedCallIsNotSent checks that a request that is abandoned while queued is never sent,
// and that one that has been claimed for sending is reported as possibly sent.
func TestAbandonedCallIsNotSent(t *testing.T) {
	c := newTestConnection(t)
	for _, isClaimedFirst := range []bool{false, true} {
		call, err := c.startCall(&transport.Request{ID: 1})
		if err != nil {
			t.Fatal(err)
		}
		frame := <-c.sendQueue
		if isClaimedFirst && !c.claimForSending(frame) {
			t.Error("claimForSending of a pending request = false, want true")
		}
		if mayHaveBeenSent := c.abandonCall(1, call); mayHaveBeenSent != isClaimedFirst {
			t.Errorf("claimed for sending: %v, abandonCall = %v", isClaimedFirst, mayHaveBeenSent)
		}
		if c.claimForSending(frame) {
			t.Error("claimForSending of an abandoned request = true, want false")
		}
	}
}

func TestConnectionCalls(t *testing.T) {
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
	c.deliver(&transport.Response{ID: 9}) // no call with this ID is pending
	if response := <-answered.responses; response == nil || response.Index != 7 {
		t.Errorf("response = %+v, want index 7", response)
	}
	c.setDisconnected()
	if response := <-open.responses; response != nil {
		t.Errorf("response after disconnection = %+v, want nil", response)
	}
	if _, err := c.startCall(&transport.Request{ID: 3}); !errors.Is(err, errPeerNotConnected) {
		t.Errorf("startCall while disconnected: error %v, want errPeerNotConnected", err)
	}
}

func TestCallWithAFullQueue(t *testing.T) {
	c := newTestConnection(t)
	for c.enqueue(&transport.Frame{}) {
	}
	if _, err := c.startCall(&transport.Request{ID: 1}); !errors.Is(err, errPeerNotConnected) {
		t.Errorf("startCall with a full queue: error %v, want errPeerNotConnected", err)
	}
	if len(c.pendingCalls) != 0 {
		t.Error("call with a full queue is still pending")
	}
}

// TestBackoffForPeerThatClosesConnections guards against redialing without a pause when the peer
// accepts each connection and closes it. Such a peer must be dialed with the same backoff as one
// that rejects connections.
func TestBackoffForPeerThatClosesConnections(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	env := newTestEnvironment(t)
	env.settings = &settings.Settings{}
	minBackoff := 20 * time.Millisecond
	env.timing.HeartbeatInterval = 2 * minBackoff
	env.timing.ElectionTimeout = time.Hour // no connection counts as stable
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
	// The three pauses between the connections last at least one, two and four times the minimum.
	if took := time.Since(began); took < 7*minBackoff {
		t.Errorf("four connections within %v, want a backoff between them", took)
	}
	connection.cancel()
	<-ended
}
