package controlplane

import (
	"fmt"
	"math/rand"
	"net"
	"sync"
	"testing"
	"time"

	"lichentray/internal/storage"
	"lichentray/internal/transport"
	"lichentray/raft"
	"lichentray/registry"
)

// throttledLink is a link of limited bandwidth that several connections share.
type throttledLink struct {
	mu             sync.Mutex
	bytesPerSecond int
	freeAt         time.Time
	totalBytes     int
}

func (l *throttledLink) bytesSent() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totalBytes
}

type throttledConn struct {
	net.Conn
	link *throttledLink
}

func (c throttledConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), 4096)])
	c.link.mu.Lock()
	c.link.totalBytes += n
	if now := time.Now(); c.link.freeAt.Before(now) {
		c.link.freeAt = now
	}
	c.link.freeAt = c.link.freeAt.Add(time.Second * time.Duration(n) / time.Duration(c.link.bytesPerSecond))
	wait := time.Until(c.link.freeAt)
	c.link.mu.Unlock()
	time.Sleep(wait) // limits the rate to that of the link
	return n, err
}

// TestSnapshotOverNarrowLink guards against a new member that never catches up over a slow
// link, because the transfer of the snapshot takes longer than the timeout of the connections,
// or because it is sent again. Nothing else uses the link. Commands continue during the
// transfer; the first one has a size of 1 MiB and follows the snapshot immediately. The member
// runs only consensus; the leader and the transport are complete.
func TestSnapshotOverNarrowLink(t *testing.T) {
	cluster := newTestCluster(t, 1, nil)
	node := cluster.nodes[0]
	r := rand.New(rand.NewSource(1))
	put := func(key string, size int) (err error) {
		value := make([]byte, size)
		r.Read(value)
		_, err = node.Propose(registry.Command{Txn: &registry.Txn{Then: []registry.Write{{Key: key, Value: value}}}})
		return err
	}
	const state = 3 << 20
	eventually(t, "the state is written", func() bool { return put("account/large", state) == nil })
	eventually(t, "the state is in a snapshot", func() bool {
		if put("account/small", 200<<10) != nil {
			return false // a disk shared with other processes may be slow
		}
		first := make(chan int, 1)
		node.loop.post(func(state *loopState) { first <- state.raft.CompactableEntries() })
		return <-first < 3
	})

	addr := net.JoinHostPort("127.0.0.31", "0")
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	addr = ln.Addr().String()
	link := &throttledLink{bytesPerSecond: 1 << 20}
	messages := make(chan raft.Message, 64)
	go func() {
		for {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer raw.Close()
				c, _, err := transport.Accept(throttledConn{raw, link}, 30*time.Second)
				for err == nil {
					var f *transport.Frame
					if f, err = c.Receive(0); err == nil {
						for _, m := range f.Raft {
							messages <- m
						}
					}
				}
			}()
		}
	}()
	self := raft.Member{ID: 1<<63 | 5, Addr: addr}
	out, err := transport.Dial(t.Context(), node.self.Addr, 5*time.Second, transport.Hello{Role: transport.RolePeer, Node: "late", ID: self.ID, Addr: addr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(out.Close)
	if err := out.Send(&transport.Frame{Ask: &transport.Request{ID: 1, Join: &self}}); err != nil {
		t.Fatal(err)
	}

	member := raft.New(raft.Config{ID: self.ID, HeartbeatInterval: node.timing.HeartbeatInterval, ElectionTimeout: node.timing.ElectionTimeout, RandInt63n: rand.Int63n}, 0, raft.PersistentState{})
	start := time.Now()
	installed := 0
	tick := time.NewTicker(node.timing.TickInterval)
	defer tick.Stop()
	change := time.NewTicker(100 * time.Millisecond)
	defer change.Stop()
	var last uint64
	var snapshotTook time.Duration
	size := 1 << 20
	for member.AppliedIndex() == 0 || member.AppliedIndex() < last {
		if time.Since(start) > time.Minute {
			t.Fatalf("at index %d of %d after %v, %d bytes sent", member.AppliedIndex(), last, time.Since(start), link.bytesSent())
		}
		select {
		case m := <-messages:
			member.Step(time.Since(start), m)
		case <-tick.C:
			member.Tick(time.Since(start))
		case <-change.C:
			if installed == 0 {
				value := make([]byte, size)
				r.Read(value)
				size = 2000
				done := make(chan uint64, 1)
				node.loop.post(func(state *loopState) {
					i, _, _ := state.raft.Propose(registry.EncodeCommand(registry.Command{Txn: &registry.Txn{Then: []registry.Write{{Key: "account/tick", Value: value}}}}))
					done <- i
				})
				last = max(last, <-done)
			}
		}
		ready := member.Ready()
		send := ready.Messages
		if ready.Write != nil {
			send = append(send, ready.Write.MessagesAfterAppend...)
			if k := len(ready.Write.Entries); k > 0 {
				member.ReportPersisted(ready.Write.Entries[k-1].Index, ready.Write.Entries[k-1].Term)
			}
		}
		if ready.SnapshotToInstall != nil {
			installed++
			snapshotTook = time.Since(start)
			if err := registry.NewStore().Restore(ready.SnapshotToInstall.Data); err != nil {
				t.Fatal(err)
			}
		}
		if len(send) > 0 {
			if err := out.Send(&transport.Frame{Raft: send}); err != nil {
				t.Fatal(err)
			}
		}
	}
	total := link.bytesSent()
	t.Logf("caught up after %v, %d bytes sent", time.Since(start), total)
	if after := time.Since(start) - snapshotTook; after > snapshotTook+5*time.Second {
		t.Errorf("the snapshot took %v, the entries after it took %v", snapshotTook, after)
	}
	if installed != 1 {
		t.Errorf("%d snapshots installed, want 1", installed)
	}
	if total > state*2 {
		t.Errorf("%d bytes sent for a state of %d bytes", total, state)
	}
}

// TestUnreadableSnapshotAtStart guards against a node that cannot start because its snapshot
// cannot be restored: it must join as a new member and receive the state from the others.
func TestUnreadableSnapshotAtStart(t *testing.T) {
	cluster := newTestCluster(t, 3, nil)
	eventually(t, "a configuration is accepted", func() bool {
		return cluster.nodes[0].ReplaceConfiguration(fmt.Appendf(nil, configurationFormat, 5), nil) == nil
	})
	old := cluster.nodes[2].self.ID
	cluster.nodes[2].Close()
	store, _, saved, err := storage.Open(cluster.dataDirectory(2), 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	last := saved.Snapshot.Index + uint64(len(saved.Entries))
	if err := store.Save(nil, &raft.Snapshot{Index: last, Term: saved.HardState.Term, Members: saved.Snapshot.Members, Data: []byte("no state")}, false, nil); err != nil {
		t.Fatal(err)
	}
	store.Close()
	cluster.start(2, false)
	if cluster.nodes[2].self.ID == old {
		t.Error("the node has the same member ID as before")
	}
	eventually(t, "the node reads the configuration", func() bool {
		got, err := cluster.nodes[2].Configuration()
		return err == nil && string(got) == fmt.Sprintf(configurationFormat, 5)
	})
}
