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

// followNearest follows one core node after the other until ctx ends.
func (r *relay) followNearest(ctx context.Context) {
	lastFollowed := ""
	isSearchLogged := false
	for ctx.Err() == nil {
		candidates := r.locator.Candidates(lastFollowed)
		hasFollowed := false
		for _, addr := range candidates {
			if addr == r.ownAddr {
				continue
			}
			lost := r.followNode(ctx, addr)
			if r.target.Swap(nil) != nil {
				hasFollowed = true
			}
			if lost {
				lastFollowed = addr
				break
			}
		}
		if !hasFollowed {
			r.recordFailedSearch(candidates, isSearchLogged)
		}
		isSearchLogged = !hasFollowed
		select {
		case <-ctx.Done():
		case <-time.After(r.timeouts.retry):
		}
	}
}

// recordFailedSearch counts a round over all candidates in which none could be followed, and
// logs the first one of several.
func (r *relay) recordFailedSearch(candidates []string, isLogged bool) {
	r.searchesFailed.Inc()
	if !isLogged {
		r.log.Info("no core node found, searching on", "candidates", candidates, "members_known", len(r.locator.Nodes()))
	}
}

// followNode receives the bookmarks of a core node, which prove that it is up to
// date, and makes it the target of calls. It returns when the node is silent, is no
// member, or a nearer one is known. lost reports whether the node was the target and is
// to be avoided.
func (r *relay) followNode(ctx context.Context, addr string) (lost bool) {
	silence := r.timeouts.silence
	conn, err := transport.Dial(ctx, addr, silence/2, transport.Hello{Role: transport.RoleRelay, Node: r.nodeName})
	if err != nil {
		return false
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	began := time.Now()
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
			return isTarget // the node is not a member, or not yet
		}
		if !isTarget {
			isTarget = true
			r.log.Info("forwarding calls", "to", apiAddress)
			target := &coreTarget{address: apiAddress, calls: r.newCoreClient(apiAddress)}
			defer target.close()
			r.target.Store(target)
		}
		if r.locator.HasNearer(addr) && time.Since(began) > r.timeouts.contact {
			return false
		}
	}
	return isTarget
}

const (
	// maxCoreConnections bounds the connections to a core node, and so the calls in flight.
	maxCoreConnections = 1000
	// maxWatches is how many of them watches may take. Those wait long, and the other calls must
	// not wait for them.
	maxWatches = maxCoreConnections / 2
)

// maxStaleConnections bounds how many idle connections that the core node has closed one call may
// be attempted on.
const maxStaleConnections = 8

// newCoreClient returns a client of a core node that forwards calls unchanged.
func (r *relay) newCoreClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          r.dialCore,
		MaxConns:                      maxCoreConnections - maxWatches,
		ReadTimeout:                   r.timeouts.call,
		MaxIdemponentCallAttempts:     maxStaleConnections,
		RetryIfErr:                    retryIfUnsent,
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
	}
}

var (
	// errNotConnected means that no connection to the core node could be made.
	errNotConnected = errors.New("not connected")
	// errConnectionEnded means that an idle connection had ended, or held bytes that
	// belong to no call, before one byte of the next call was sent on it.
	errConnectionEnded = errors.New("kept connection has ended")
)

// dialCore connects to a core node. The error is errNotConnected.
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

// retryIfUnsent lets a call be sent again only if not one byte of it was sent.
func retryIfUnsent(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	return false, errors.Is(err, errConnectionEnded)
}

// coreConn is a connection to a core node, which carries one call at a time. The client
// drops a connection whose call was given up. What coreConn adds is that no call begins
// on a connection that has ended, or on which unread bytes wait.
type coreConn struct {
	net.Conn
	rawConn syscall.RawConn
	// readSinceWrite reports that an answer was read, so that the next write begins
	// a call.
	readSinceWrite bool
}

// Read reads a part of an answer.
func (c *coreConn) Read(b []byte) (int, error) {
	c.readSinceWrite = true
	return c.Conn.Read(b)
}

// Write writes a part of a call. It fails with errConnectionEnded if a call cannot begin
// on the connection.
func (c *coreConn) Write(b []byte) (int, error) {
	if c.readSinceWrite && !transport.IsIdle(c.rawConn) {
		return 0, errConnectionEnded
	}
	c.readSinceWrite = false
	return c.Conn.Write(b)
}
