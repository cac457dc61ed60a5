package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// TestDelayedReleaseKeepsLock guards against a delayed release that frees a lock which its holder has
// acquired again: the holder sends its release to a paused node, does not wait for the response, and
// acquires the lock again through another node. When the paused node resumes, no other client may get
// the lock until the holder releases it with its latest fencing token.
func TestDelayedReleaseKeepsLock(t *testing.T) {
	w := startDeployment(t)
	const lock = "delayed"
	at := coreNodes[0]
	for _, paused := range []node{relayNodes[0], coreNodes[1], coreNodes[2]} {
		first := mustAcquire(t, w, at, lock, "holder")
		connection := openConnection(t, paused)
		w.cluster.signal(paused, syscall.SIGSTOP)
		connection.send(t, "POST", "/api/rpc?call=locks.finish&of="+lock, fmt.Sprintf(`{"holder":"holder","fence":%d}`, first))
		again := mustAcquire(t, w, at, lock, "holder")
		w.cluster.signal(paused, syscall.SIGCONT)
		connection.receive(t) // the release has been handled: a node that has lost its leader rejects it
		if status, _ := acquireUntilAnswered(t, w, at, lock, "other"); status != http.StatusConflict {
			t.Fatalf("after the pause of %s, another holder's acquisition returned status %d", paused.name, status)
		}
		handOver(t, w, at, lock, again)
	}
}

// startDeployment starts all nodes and waits until they serve calls.
func startDeployment(t *testing.T) *workload {
	t.Helper()
	programs := t.TempDir()
	buildPrograms(t, programs)
	checks := newChecks()
	cluster, err := newCluster(t.TempDir(), programs, deployment{}, checks)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.stop)
	for _, n := range allNodes() {
		if err := cluster.start(n); err != nil {
			t.Fatal(err)
		}
	}
	w := newWorkload(cluster, checks)
	for end := time.Now().Add(recoveryBound); ; pause(t.Context(), workerPause) {
		err := w.checkCore(t.Context())
		status, _ := acquire(t.Context(), w, relayNodes[0], "start", "nobody")
		if err == nil && status == http.StatusOK {
			return w
		}
		if time.Now().After(end) {
			t.Fatalf("the deployment did not start: %v, %s returned status %d", err, relayNodes[0].name, status)
		}
	}
}

// acquire makes one attempt to acquire a lock with a lease of one minute.
func acquire(ctx context.Context, w *workload, n node, lock, holder string) (status int, fence uint64) {
	status, body := w.callOnce(ctx, n, "locks.begin&of="+lock, map[string]any{"holder": holder, "hold_s": 60})
	var answer lockResponse
	if status == http.StatusOK && json.Unmarshal(body, &answer) != nil {
		return 0, 0
	}
	return status, answer.FencingToken
}

// acquireUntilAnswered repeats acquire until the response is definite, as calls fail while the core
// elects another leader.
func acquireUntilAnswered(t *testing.T, w *workload, n node, lock, holder string) (status int, fence uint64) {
	t.Helper()
	for end := time.Now().Add(recoveryBound); ; pause(t.Context(), workerPause) {
		status, fence = acquire(t.Context(), w, n, lock, holder)
		if status == http.StatusOK || status == http.StatusConflict {
			return status, fence
		}
		if time.Now().After(end) {
			t.Fatalf("%s returned status %d to the acquisition by %s", n.name, status, holder)
		}
	}
}

// mustAcquire acquires a lock that no other holder has.
func mustAcquire(t *testing.T, w *workload, n node, lock, holder string) (fence uint64) {
	t.Helper()
	status, fence := acquireUntilAnswered(t, w, n, lock, holder)
	if status != http.StatusOK {
		t.Fatalf("%s returned status %d to the acquisition by %s", n.name, status, holder)
	}
	return fence
}

// maxWithheldReleases limits how many releases may be withheld: one by each leader of the core since the
// lock was acquired again.
const maxWithheldReleases = 3

// handOver releases the lock as its holder, and acquires it again if the release was withheld, until
// another holder gets it. The fencing tokens must not decrease.
func handOver(t *testing.T, w *workload, n node, lock string, fence uint64) {
	t.Helper()
	for range maxWithheldReleases {
		release(t, w, n, lock, "holder", fence)
		status, other := acquireUntilAnswered(t, w, n, lock, "other")
		if status == http.StatusOK {
			release(t, w, n, lock, "other", other)
			return
		}
		newest := mustAcquire(t, w, n, lock, "holder")
		if newest < fence {
			t.Fatalf("received fencing token %d after %d", newest, fence)
		}
		fence = newest
	}
	t.Fatalf("another holder did not get the lock after %d releases", maxWithheldReleases)
}

// release releases a lock and retries until it succeeds.
func release(t *testing.T, w *workload, n node, lock, holder string, fence uint64) {
	t.Helper()
	for end := time.Now().Add(recoveryBound); ; pause(t.Context(), workerPause) {
		status, _ := w.callOnce(t.Context(), n, "locks.finish&of="+lock, map[string]any{"holder": holder, "fence": fence})
		if status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s returned status %d to the release by %s", n.name, status, holder)
		}
	}
}

// apiConnection is an open connection to the API of a node.
type apiConnection struct {
	net.Conn
	reader *bufio.Reader
}

// openConnection opens a connection and makes one call on it, which ensures that the node has accepted it.
func openConnection(t *testing.T, n node) *apiConnection {
	t.Helper()
	conn, err := net.Dial("tcp4", n.address(controlPort))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(recoveryBound)); err != nil {
		t.Fatal(err)
	}
	c := &apiConnection{Conn: conn, reader: bufio.NewReader(conn)}
	c.send(t, http.MethodGet, "/api/readiness", "")
	c.receive(t)
	return c
}

// send sends a request.
func (c *apiConnection) send(t *testing.T, method, path, body string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
		t.Fatal(err)
	}
}

// receive reads and discards a response.
func (c *apiConnection) receive(t *testing.T) {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		t.Fatal(err)
	}
}
