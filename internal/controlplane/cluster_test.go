package controlplane

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lichentray/internal/api"
	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/internal/settings"
	"lichentray/internal/transport"
	"lichentray/overload"
	"lichentray/raft"
	"lichentray/registry"
	"lichentray/watchcache"
)

// configurationFormat is a configuration whose version is the format's argument.
const configurationFormat = `{"config_version":%d,"listeners":[],"clusters":[{"name":"s","health_check_path":"/health"}]}`

// testCluster is a group of nodes on the loopback interface.
type testCluster struct {
	t                         *testing.T
	dir                       string
	controlPort, internalPort int
	ips                       []string
	nodes                     []*Node
	configure                 func(*settings.Settings)
}

// newTestCluster starts n nodes, the first three of which are seeds. configure, if not nil,
// changes the settings of each node.
func newTestCluster(t *testing.T, n int, configure func(*settings.Settings)) *testCluster {
	c := &testCluster{t: t, dir: t.TempDir(), configure: configure}
	for i := range n {
		c.ips = append(c.ips, fmt.Sprint("127.0.0.", 11+i))
	}
	c.controlPort, c.internalPort = controlplanetest.FreePort(t, c.ips...), controlplanetest.FreePort(t, c.ips...)
	for i := range n {
		c.nodes = append(c.nodes, nil)
		c.start(i, true)
	}
	t.Cleanup(func() {
		for _, node := range c.nodes {
			node.Close()
		}
	})
	return c
}

func (c *testCluster) dataDirectory(i int) string { return filepath.Join(c.dir, fmt.Sprint(i)) }

// start starts node i, or restarts it on its existing store.
func (c *testCluster) start(i int, bootstrap bool) {
	c.t.Helper()
	if err := os.MkdirAll(c.dataDirectory(i), 0o700); err != nil {
		c.t.Fatal(err)
	}
	set := controlplanetest.Settings(c.t, c.ips[i], c.dataDirectory(i), c.controlPort, c.internalPort, c.ips[:min(3, len(c.ips))], bootstrap)
	if c.configure != nil {
		c.configure(set)
	}
	var err error
	for range 100 { // the node that was closed may still hold the port
		if c.nodes[i], err = startForTest(set); err == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.t.Fatal(err)
}

// isStillWaiting is the callerIsWaiting argument of a caller that waits until the timeout.
func isStillWaiting() bool { return true }

// eventually waits until ok returns true. The limit is far longer than any condition needs.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("condition not met: " + what)
}

// storedObject returns an object from a node's store, or an empty object if there is none.
func storedObject(n *Node, key string) (object registry.Object) {
	n.state.view(func(r *replicatedState) { object, _ = r.store.Get(key) })
	return object
}

// leader returns a node that leads, or nil if there is none.
func (c *testCluster) leader() *Node {
	for _, node := range c.nodes {
		if node.Status().Role == raft.Leader.String() {
			return node
		}
	}
	return nil
}

// watchAsProxy connects to a node as a proxy does, and lists or resumes a watch up to the
// newest revision.
func watchAsProxy(t *testing.T, addr string, m *watchcache.Mirror) (*transport.Conn, *watchcache.Mirror) {
	t.Helper()
	c, err := transport.Dial(context.Background(), addr, 5*time.Second, transport.Hello{Role: transport.RoleProxy, Node: "p"})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Send(&transport.Frame{Ask: &transport.Request{ID: 1, List: !m.HasSynced(), Watch: m.HasSynced(), Least: m.Revision(), Packs: true}}); err != nil {
		t.Fatal(err)
	}
	target := uint64(0)
	for {
		f, err := c.Receive(20 * time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if answer := f.Answer; answer != nil {
			if answer.Failed || answer.Gone {
				t.Fatalf("list or watch failed: %+v", answer)
			}
			target = answer.Revision
			if !m.HasSynced() {
				objects, err := answer.UnpackObjects()
				if err != nil {
					t.Fatal(err)
				}
				if err := m.Replace(answer.Revision, objects); err != nil {
					t.Fatal(err)
				}
			}
		}
		events, err := f.UnpackEvents()
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range events {
			if _, err := m.ApplyEvent(e); err != nil {
				t.Fatal(err)
			}
		}
		if f.Bookmark != nil {
			m.ApplyBookmark(f.Bookmark.Revision)
			if target > 0 && m.Revision() >= target {
				return c, m
			}
		}
	}
}

// startForTest starts a node without logs.
func startForTest(set *settings.Settings) (*Node, error) {
	registry := metrics.NewRegistry()
	guard := api.NewGuard(overload.Divide(set.Limits.MemoryBytes(), set.Limits.MaxOpenFiles), registry)
	return Start(set, slog.New(slog.NewTextHandler(io.Discard, nil)), registry, guard)
}
