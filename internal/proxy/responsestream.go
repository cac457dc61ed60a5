package proxy

import (
	"errors"
	"io"
	"time"

	"lichentray/audit"
	"lichentray/loadbalance"
)

// responseStream relays the body of a long response as it is received, in paced chunks. It is read
// and closed by the HTTP server that sends the body to the client.
type responseStream struct {
	proxy    *Proxy
	request  *request
	endpoint *loadbalance.Endpoint
	conns    *connPool
	conn     *upstreamConn
	response *response
	received int64 // bytes
	// endpointFailed is set if the endpoint, and not the client, truncated the body before the
	// deadline.
	endpointFailed bool
}

func newResponseStream(p *Proxy, q *request, t attemptTarget, o outcome) *responseStream {
	return &responseStream{
		proxy:    p,
		request:  q,
		endpoint: t.endpoint,
		conns:    t.conns,
		conn:     o.conn,
		response: o.response,
	}
}

// Read implements io.Reader.
func (s *responseStream) Read(b []byte) (int, error) {
	n, err := s.response.stream.Read(b[:min(len(b), pacedChunkBytes)])
	s.received += int64(n)
	if errors.Is(err, io.EOF) && !s.isComplete() {
		err = io.ErrUnexpectedEOF // the client must not treat a truncated body as complete
	}
	s.endpointFailed = err != nil && !errors.Is(err, io.EOF) &&
		time.Until(s.request.deadline) > 0 && !s.request.client.hasDisconnected()
	s.proxy.pacer.wait(n, s.response.contentLength-s.received, s.request.deadline)
	return n, err
}

// isComplete reports whether the whole body was received.
func (s *responseStream) isComplete() bool { return s.received >= s.response.contentLength }

// Close ends the exchange, whether or not the body is complete. It implements io.Closer.
func (s *responseStream) Close() error {
	defer s.request.client.finish()
	wasCanceled := s.request.client.detach()
	if s.isComplete() && !wasCanceled {
		s.proxy.recordResponse(s.request, s.response.status)
		s.proxy.recycleConnection(s.conns, s.conn, s.response)
		return nil
	}
	s.conn.close()
	if s.endpointFailed {
		s.proxy.recordAttempt(s.request, audit.Truncated, s.response.status)
		s.request.service.recordTruncatedStream(s.proxy, s.endpoint)
	}
	return nil
}
