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

// receiveNodes receives what a seed node was told.
func receiveNodes(t *testing.T, from <-chan []transport.ControlNode) string {
	t.Helper()
	select {
	case nodes := <-from:
		return fmt.Sprint(nodes)
	case <-time.After(20 * time.Second):
		t.Fatal("the core was not announced")
		return ""
	}
}

// TestAnnouncerTellsSeedsThatAreNotOfTheCore: seeds that do not belong to the core are told where
// it is, as soon as it is known, again when their connection has ended, and with each interval.
// Members and the node itself are not connected to. An acknowledgement that names nobody counts
// as a violation.
func TestAnnouncerTellsSeedsThatAreNotOfTheCore(t *testing.T) {
	port := controlplanetest.FreePort(t, "127.0.0.71", "127.0.0.72", "127.0.0.73")
	addr := func(ip string) string { return fmt.Sprintf("%s:%d", ip, port) }
	seed, member, own := addr("127.0.0.71"), addr("127.0.0.72"), addr("127.0.0.73")
	told := make(chan []transport.ControlNode, 1)
	var connections, contacts atomic.Int64
	var isForgetful atomic.Bool
	controlplanetest.StartFakeNode(t, seed, func(conn *transport.Conn) {
		if connections.Add(1) == 1 {
			return // as a seed that is about to restart
		}
		ReceiveAnnouncements(conn, 20*time.Second,
			func(nodes []transport.ControlNode) {
				select {
				case told <- nodes:
				default:
				}
			},
			func() []transport.ControlNode {
				if isForgetful.Load() {
					return nil
				}
				return []transport.ControlNode{{Addr: member}}
			})
	})
	for _, other := range []string{member, own} {
		controlplanetest.StartFakeNode(t, other, func(*transport.Conn) { contacts.Add(1) })
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
	for range 3 { // the first is after the connection has ended, the others are repeated
		if got := receiveNodes(t, told); got != fmt.Sprintf("[{%s api a}]", member) {
			t.Errorf("announced: %s", got)
		}
	}
	if announcer.violations.Value() != 0 {
		t.Error("a violation where each acknowledgement names the core")
	}
	isForgetful.Store(true)
	for announcer.violations.Value() == 0 {
		receiveNodes(t, told)
	}
	cancel()
	<-ended
	if contacts.Load() != 0 || announcer.acknowledged.Value() == 0 {
		t.Errorf("%d connections to members or the node itself, %d acknowledgements", contacts.Load(), announcer.acknowledged.Value())
	}
}
