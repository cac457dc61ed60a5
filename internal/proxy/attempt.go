package proxy

import (
	"errors"
	"io"
	"time"

	"lichentray/internal/api"
	"lichentray/loadbalance"
)

// maxBufferedResponseBytes is the size of the longest response body that is buffered before it
// is relayed, so that the request can be retried if the body is truncated. Longer bodies are
// streamed: on a slow link, receiving the whole body before sending it would double the latency.
const maxBufferedResponseBytes = 32 << 10

// errDeadlineExceeded means that the deadline passed before any byte of the request was sent.
var errDeadlineExceeded = errors.New("proxy: deadline exceeded")

// attemptTarget is the endpoint that an attempt uses, with its connection pool and recorder.
type attemptTarget struct {
	endpoint *loadbalance.Endpoint
	conns    *connPool
	group    loadbalance.VersionGroup
	recorder *rolloutRecorder
}

// attempt sends the request to an endpoint, reads the response and measures the duration.
func (f *forwarding) attempt(t attemptTarget) outcome {
	startedAt := time.Now()
	o := f.exchange(t, startedAt)
	o.took = time.Since(startedAt)
	f.triedEndpoints = append(f.triedEndpoints, t.endpoint)
	return o
}

// exchange sends the request on a connection to the endpoint and reads the response. It then
// returns the connection to the pool or closes it.
func (f *forwarding) exchange(t attemptTarget, now time.Time) outcome {
	deadline := f.request.deadline
	if !now.Before(deadline) {
		return outcome{phase: phaseDialing, err: errDeadlineExceeded}
	}
	conn, err := f.connect(t, now)
	if err != nil {
		return outcome{phase: phaseDialing, err: err}
	}
	if !conn.isReused() {
		now = conn.idleSince // dialing took time
	}
	if !now.Before(deadline) {
		t.conns.put(conn) // nothing was sent on it
		return outcome{phase: phaseUnsent, err: errDeadlineExceeded}
	}
	client := &f.request.client
	if !client.attach(conn, f.request.route.Idempotent) {
		t.conns.put(conn) // nothing was sent on it
		return outcome{phase: phaseUnsent, err: errClientAborted}
	}
	o := f.roundTrip(conn, t.endpoint.ID, now)
	if o.phase == phaseStreaming {
		client.makeCancelable()
	} else if client.detach() {
		conn.close()
		return outcome{phase: max(phasePartlySent, min(o.phase, phaseSent)), err: errClientAborted}
	}
	o.isStale = conn.isReused() && o.phase <= phaseSent && isConnectionClosed(o.err)
	o.idleFor = conn.idleFor
	switch {
	case o.phase == phaseStreaming:
		o.conn = conn
	case retryTable[o.phase].reusesConnection && o.response.stream == nil:
		f.proxy.recycleConnection(t.conns, conn, o.response)
	default:
		conn.close()
	}
	return o
}

// connect takes an idle connection to an endpoint from the pool, or dials a new one. A request
// without an id needs a new connection: on a reused one, its response could not be
// distinguished from an excess response to an earlier request.
func (f *forwarding) connect(t attemptTarget, now time.Time) (*upstreamConn, error) {
	p := f.proxy
	if len(f.request.attemptID) > 0 {
		if conn := t.conns.get(now, f.service.idleLimit(p.now())); conn != nil {
			return conn, nil
		}
	}
	timeout := min(p.timeouts.dial, f.request.deadline.Sub(now))
	conn, err := dialUpstream(t.endpoint.Address, timeout, p.timeouts.tcpUserTimeout)
	if err != nil {
		p.counters.dialFailures.Inc()
		return nil, err
	}
	conn.idleSince = time.Now()
	conn.expiresAt = conn.idleSince.Add(p.timeouts.defaultKeepAlive)
	return conn, nil
}

// roundTrip sends the request on a connection and reads the response. If the body is long, it
// reads only the head and leaves the body to be streamed.
func (f *forwarding) roundTrip(conn *upstreamConn, endpointID string, now time.Time) outcome {
	sent, err := f.send(conn, endpointID, now)
	if sent == phaseUnsent || err != nil && !isConnectionClosed(err) {
		return outcome{phase: sent, err: err}
	}
	// An endpoint that responds early may close the connection before it has read the whole
	// request. Its response can still be read.
	return f.receive(conn, sent, err)
}

// send sends the request. The phase is phaseSent if there is no error.
func (f *forwarding) send(conn *upstreamConn, endpointID string, now time.Time) (phase, error) {
	q, pacer := f.request, f.proxy.pacer
	buf := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buf)
	b := q.appendHead((*buf)[:0], endpointID, q.deadline.Sub(now))
	isPaced := len(q.body) >= minPacedBytes && pacer.isEnabled()
	if !isPaced {
		b = append(b, q.body...)
	}
	*buf = b
	pacer.reserve(now, len(b))
	if err := conn.tcp.SetDeadline(q.deadline); err != nil {
		return phaseUnsent, err
	}
	n, err := conn.tcp.Write(b)
	if n == 0 && err != nil {
		return phaseUnsent, err
	}
	if err == nil && isPaced {
		_, err = io.Copy(writerOnly{conn.tcp}, &pacedReader{pacer, q.body, q.deadline})
	}
	if err == nil && q.bodyStream != nil {
		q.bodyConsumed = true
		err = conn.sendBodyStream(q.bodyStream, q.streamSize)
	}
	if err != nil {
		return phasePartlySent, err
	}
	return phaseSent, nil
}

// receive reads the response to a request. sendErr is the error that interrupted sending it,
// if any.
func (f *forwarding) receive(conn *upstreamConn, sent phase, sendErr error) outcome {
	if _, err := conn.reader.Peek(1); err != nil {
		if sendErr != nil {
			err = sendErr
		}
		return outcome{phase: sent, err: err}
	}
	client := api.GuardedConn(f.request.ctx)
	resp, err := readResponse(conn.reader, f.request.isHead, maxBufferedResponseBytes, client)
	if err != nil {
		return outcome{phase: incompletePhase(resp, err), err: err}
	}
	if sent == phasePartlySent {
		resp.isReusable = false
	}
	o := outcome{response: resp}
	o.phase, o.err = f.classify(resp, conn.isReused())
	return o
}

// recycleConnection returns a connection to the pool if it can be reused after resp, and
// closes it otherwise.
func (p *Proxy) recycleConnection(conns *connPool, conn *upstreamConn, resp *response) {
	if !resp.isReusable || conn.reader.Buffered() > 0 {
		conn.close()
		return
	}
	keepAlive := p.timeouts.defaultKeepAlive
	if resp.keepAlive > 0 {
		// The connection expires early, so that it is not reused just as the endpoint closes it.
		keepAlive = resp.keepAlive - min(resp.keepAlive/2, time.Second)
	}
	conn.idleSince = time.Now()
	conn.expiresAt = conn.idleSince.Add(keepAlive)
	conns.put(conn)
}
