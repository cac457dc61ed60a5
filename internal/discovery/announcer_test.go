package discovery

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/internal/transport"
)

// awaitAnnouncement returns the next announcement that a seed node receives.
func awaitAnnouncement(t *testing.T, from <-chan []transport.ControlNode) string {
	t.Helper()
	select {
	case nodes := <-from:
		return fmt.Sprint(nodes)
	case <-time.After(20 * time.Second):
		t.Fatal("no announcement within 20 s")
		return ""
	}
}

// TestAnnouncerTellsSeedsThatAreNotOfTheCore checks that the core is announced to seed nodes outside
// it as soon as it is known, again after their connection has ended, and then periodically. The
// announcer does not connect to members of the core or to its own node. An empty acknowledgement
// counts as a violation.
func TestAnnouncerTellsSeedsThatAreNotOfTheCore(t *testing.T) {
	port := controlplanetest.FreePort(t, "127.0.0.71", "127.0.0.72", "127.0.0.73")
	addr := func(ip string) string { return fmt.Sprintf("%s:%d", ip, port) }
	seed, member, own := addr("127.0.0.71"), addr("127.0.0.72"), addr("127.0.0.73")
	announced := make(chan []transport.ControlNode, 1)
	var connections, unexpectedConnections atomic.Int64
	var returnsEmptyAcks atomic.Bool
	controlplanetest.StartFakeNode(t, seed, func(conn *transport.Conn) {
		if connections.Add(1) == 1 {
			return // as a seed node that restarts
		}
		ReceiveAnnouncements(conn, 20*time.Second,
			func(nodes []transport.ControlNode) {
				select {
				case announced <- nodes:
				default:
				}
			},
			func() []transport.ControlNode {
				if returnsEmptyAcks.Load() {
					return nil
				}
				return []transport.ControlNode{{Addr: member}}
			})
	})
	for _, other := range []string{member, own} {
		controlplanetest.StartFakeNode(t, other, func(*transport.Conn) { unexpectedConnections.Add(1) })
	}
	var isKnown atomic.Bool
	registry := metrics.NewRegistry()
	announcer := NewAnnouncer(AnnouncerConfig{
		OwnAddr:       own,
		ContactWindow: 300 * time.Millisecond,
		SeedAddrs:     func() []string { return []string{own, seed, member, seed} },
		Core: func() []transport.ControlNode {
			if !isKnown.Load() {
				return nil
			}
			return []transport.ControlNode{{Addr: member, API: "api", Zone: "a"}}
		},
		Metrics: registry,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		announcer.Run(ctx)
	}()
	isKnown.Store(true)
	for range 3 { // the first follows a reconnect, the others are periodic
		if got := awaitAnnouncement(t, announced); got != fmt.Sprintf("[{%s api a}]", member) {
			t.Errorf("announcement = %s, want the member of the core", got)
		}
	}
	if announcer.violations.Value() != 0 {
		t.Error("violation counted although no acknowledgement was empty")
	}
	returnsEmptyAcks.Store(true)
	for announcer.violations.Value() == 0 {
		awaitAnnouncement(t, announced)
	}
	cancel()
	<-ended
	if unexpectedConnections.Load() != 0 || announcer.acknowledged.Value() == 0 {
		t.Errorf("%d connections to members or the own node, want 0; %d acknowledgements, want more than 0", unexpectedConnections.Load(), announcer.acknowledged.Value())
	}
}
