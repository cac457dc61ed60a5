package relay

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/internal/transport"
)

// followNearest follows one core node at a time, the nearest that is up to date, until ctx ends.
func (r *relay) followNearest(ctx context.Context) {
	lastFollowed := ""
	isSearchLogged := false
	for ctx.Err() == nil {
		candidates := r.locator.Candidates(lastFollowed)
		foundNode := false
		for _, addr := range candidates {
			if addr == r.ownAddr {
				continue
			}
			lost := r.followNode(ctx, addr)
			if r.target.Swap(nil) != nil {
				foundNode = true
			}
			if lost {
				lastFollowed = addr
				break
			}
		}
		if !foundNode {
			r.recordFailedSearch(candidates, isSearchLogged)
		}
		isSearchLogged = !foundNode
		select {
		case <-ctx.Done():
		case <-time.After(r.timeouts.retry):
		}
	}
}

// recordFailedSearch counts a pass over all candidates in which none could be followed. It logs
// only the first of consecutive failures.
func (r *relay) recordFailedSearch(candidates []string, isLogged bool) {
	r.searchesFailed.Inc()
	if !isLogged {
		r.log.Info("no core node found; retrying", "candidates", candidates, "members_known", len(r.locator.Nodes()))
	}
}

// followNode receives the bookmarks of a core node, which prove that it is up to date, and makes
// it the target of calls. It returns when the node is silent or not a member, or when a nearer
// node is known. lost reports whether the node was the target and should be avoided.
func (r *relay) followNode(ctx context.Context, addr string) (lost bool) {
	silence := r.timeouts.silence
	conn, err := transport.Dial(ctx, addr, silence/2, transport.Hello{Role: transport.RoleRelay, Node: r.nodeName})
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	started := time.Now()
	isTarget := false
	for ctx.Err() == nil {
		frame, err := conn.Receive(silence)
		if err != nil {
			return isTarget
		}
		bookmark := frame.Bookmark
		if bookmark == nil {
			continue
		}
		if bookmark.Diskless {
			close(r.coreDiskless)
			<-ctx.Done()
			return false
		}
		r.locator.UpdateNodes(bookmark.Control)
		apiAddress := r.locator.APIAddress(addr)
		if apiAddress == "" {
			return isTarget // the node is not a member (yet)
		}
		if !isTarget {
			isTarget = true
			r.log.Info("forwarding calls", "to", apiAddress)
			target := &coreTarget{address: apiAddress, calls: r.newCoreClient(apiAddress)}
			target.watches.limit = r.maxCoreConnections / 2
			defer target.close()
			r.target.Store(target)
		}
		if r.locator.HasNearer(addr) && time.Since(started) > r.timeouts.contact {
			return false
		}
	}
	return isTarget
}

// maxCoreConnections is the limit of relay.maxCoreConnections on machines with many descriptors.
const maxCoreConnections = 1000

// maxCallAttempts bounds the attempts of one call. Each attempt after the first follows one on an
// idle connection that the core node had closed.
const maxCallAttempts = 8

// newCoreClient returns a client of a core node that forwards calls unchanged.
func (r *relay) newCoreClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          r.dialCore,
		MaxConns:                      r.maxCoreConnections - r.maxCoreConnections/2,
		ReadTimeout:                   r.timeouts.call,
		MaxIdemponentCallAttempts:     maxCallAttempts,
		RetryIfErr:                    retryIfUnsent,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
	}
}

var (
	// errNotConnected means that no connection to the core node could be made.
	errNotConnected = errors.New("not connected")
	// errStaleConnection means that an idle connection was closed, or held unexpected data, before
	// any byte of the next call was sent on it.
	errStaleConnection = errors.New("idle connection is stale")
)

// dialCore connects to a core node. Its errors wrap errNotConnected.
func (r *relay) dialCore(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp4", addr, r.timeouts.silence/2)
	if err != nil {
		return nil, errors.Join(errNotConnected, err)
	}
	transport.SetTCPUserTimeout(conn, r.timeouts.silence)
	rawConn, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		conn.Close()
		return nil, errors.Join(errNotConnected, err)
	}
	return &coreConn{Conn: conn, rawConn: rawConn}, nil
}

// retryIfUnsent allows a call to be retried only if no byte of it was sent.
func retryIfUnsent(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, errors.Is(err, errStaleConnection)
}

// coreConn is a connection to a core node that carries one call at a time. The HTTP client closes
// a connection whose call was abandoned. In addition, coreConn prevents a call from starting on a
// connection that was closed or has unread data.
type coreConn struct {
	net.Conn
	rawConn syscall.RawConn
	// readSinceWrite reports whether data was read after the last write, so that the next write
	// starts a call.
	readSinceWrite bool
}

// Read reads a part of a response.
func (c *coreConn) Read(b []byte) (int, error) {
	c.readSinceWrite = true
	return c.Conn.Read(b)
}

// Write writes a part of a call. It fails with errStaleConnection if a call cannot start on the
// connection.
func (c *coreConn) Write(b []byte) (int, error) {
	if c.readSinceWrite && !transport.IsIdle(c.rawConn) {
		return 0, errStaleConnection
	}
	c.readSinceWrite = false
	return c.Conn.Write(b)
}
