package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"lichentray/audit"
	"lichentray/internal/apierror"
	"lichentray/loadbalance"
	"lichentray/routing"
)

// Answers are counted by route in these kinds.
var responseClasses = [6]string{"2xx", "4xx", "5xx", "unavailable", "bad_gateway", "deadline"}

const (
	// maxBufferedResponse is how much of an answer is held until it is whole, so that it can
	// be fetched anew where it breaks off. Longer ones are passed on as they come: on
	// response narrow link the way in takes as long as the way out.
	maxBufferedResponse = 32 << 10
	// maxBufferedRequest is how much of a request's body is read before it is handled.
	maxBufferedRequest = 256 << 10
)

// request is one client's try on its way.
type request struct {
	ctx        *fasthttp.RequestCtx
	route      *routing.Route
	regionMask uint64 // a bit for each region that may serve it; 0 for all
	stats      *routeStats
	service    *service
	head       []byte // request line and headers, without the end
	body       []byte
	bodyStream io.Reader // a long body, readable once
	streamSize int       // of feed, or -1
	attemptID  []byte
	startedAt  time.Time
	deadline   time.Time
	isHead     bool

	// What is known of the tries so far.
	mayHaveArrived  bool // an endpoint may have got it
	mayHaveExecuted bool // an endpoint may have run it
	bodyConsumed    bool // feed was touched: the body cannot be sent twice
	triedEndpoints  []*loadbalance.Endpoint
}

var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

// HandleRequest handles one request of a client.
func (p *Proxy) HandleRequest(ctx *fasthttp.RequestCtx) {
	p.counters.requests.Inc()
	p.audit.requestStarted()
	defer func() {
		p.audit.requestFinished()
		if p.isDraining.Load() {
			ctx.SetConnectionClose()
		}
	}()
	r := p.snapshot.Load()
	if r == nil {
		if r = p.awaitConfig(ctx); r == nil {
			p.writeError(ctx, apierror.New(apierror.Unavailable, "no configuration yet"))
			if ctx.IsGet() || ctx.IsHead() {
				p.audit.record(&ctx.Request.Header, "", audit.Failed, 503, ctx.Time())
			} else {
				p.audit.record(&ctx.Request.Header, "", audit.NotExecuted, 503, ctx.Time())
			}
			// The first view comes soon after a start, or not for long.
			ctx.Response.Header.Set("Retry-After", formatSeconds(p.timeouts.dial+p.timeouts.dial*time.Duration(rand.Intn(100))/100))
			return
		}
	}
	buf := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buf)
	req := request{ctx: ctx, startedAt: ctx.Time(), isHead: ctx.IsHead()}
	if err := req.read(r, (*buf)[:0]); err != nil {
		if apierror.KindOf(err) != apierror.NoRoute {
			ctx.SetConnectionClose()
		}
		p.writeError(ctx, err)
		return
	}
	*buf = req.head
	req.service = r.services[req.route.PickService(rand.Float64())]
	req.stats = r.routeStats[req.route.Index]
	req.regionMask = r.regionMasks[req.route.Index]
	p.forward(&req)
}

// awaitConfig lets a request that came before the first view wait for it. The view
// comes soon after a start, so one that came right after it is worth holding for
// response fair part of its time: a client that has been refused may not come back. Later
// there is none to come soon, and it is told at once.
func (p *Proxy) awaitConfig(ctx *fasthttp.RequestCtx) *routingSnapshot {
	wait, part := p.timeouts.dial, time.Duration(10)
	if young := p.timeouts.openHedgeDelay - p.now(); young > wait {
		wait, part = young, 4
	}
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Deadline"))); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond/part)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-p.firstConfig:
	case <-t.C:
	}
	return p.snapshot.Load()
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// read checks the request's framing and builds what goes to the endpoint.
func (q *request) read(r *routingSnapshot, head []byte) error {
	h := &q.ctx.Request.Header
	limits := &r.table.Limits
	raw := h.RawHeaders()
	uri := h.RequestURI()
	if limits.MaxHeaderBytes > 0 && float64(len(raw)+len(uri)) > limits.MaxHeaderBytes {
		return apierror.New(apierror.HeaderTooLarge, "%d bytes", len(raw)+len(uri))
	}
	if len(uri) == 0 || uri[0] != '/' || bytes.IndexByte(uri, '#') >= 0 {
		return apierror.New(apierror.BadRequest, "request target")
	}
	path := uri
	if i := bytes.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	head = append(head, h.Method()...)
	head = append(head, ' ')
	head = append(head, uri...)
	head = append(head, " HTTP/1.1\r\n"...)
	var host, deadline, named []byte
	hosts, lengths, encodings, ids := 0, 0, 0, 0
	for rest := raw; len(rest) > 0; {
		line := rest
		if i := bytes.IndexByte(rest, '\n'); i >= 0 {
			line, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if len(line) == 0 {
			break
		}
		i := bytes.IndexByte(line, ':')
		if i <= 0 || !isToken(line[:i]) || bytes.ContainsAny(line, "\r\x00") {
			return apierror.New(apierror.BadRequest, "header line")
		}
		name, value := line[:i], bytes.Trim(line[i+1:], " \t")
		switch {
		case equalFold(name, "host"):
			host = value
			hosts++
		case equalFold(name, "content-length"):
			if lengths++; len(value) == 0 || !isDigits(value) {
				return apierror.New(apierror.BadRequest, "content-length")
			}
			continue
		case equalFold(name, "transfer-encoding"):
			if encodings++; !equalFold(value, "chunked") {
				return apierror.New(apierror.BadRequest, "transfer-encoding")
			}
			continue
		case equalFold(name, "x-deadline"):
			deadline = value
			continue
		case equalFold(name, "connection"):
			named = append(append(named, value...), ',')
			continue
		case isHopByHop(name):
			continue
		case equalFold(name, "x-attempt-id"):
			q.attemptID = value
			ids++
		}
		head = append(head, line...)
		head = append(head, "\r\n"...)
	}
	if hosts != 1 || lengths+encodings > 1 || ids > 1 {
		return apierror.New(apierror.BadRequest, "host, framing or id headers are missing or double")
	}
	if len(named) > 0 {
		head = removeConnectionHeaders(head, named)
	}
	if q.route = r.table.Match(host, path); q.route == nil {
		return apierror.New(apierror.NoRoute, "")
	}
	if q.route.Timeout > 0 {
		q.deadline = q.startedAt.Add(q.route.Timeout)
	} else {
		q.deadline = q.startedAt.Add(10 * time.Minute)
	}
	if len(deadline) > 0 {
		ms, err := strconv.ParseFloat(string(deadline), 64)
		if err != nil || ms < 0 {
			return apierror.New(apierror.BadRequest, "x-deadline")
		}
		if t := q.startedAt.Add(time.Duration(min(ms, 1e9) * float64(time.Millisecond))); t.Before(q.deadline) {
			q.deadline = t
		}
	}
	q.head = head
	most := limits.MaxBodyBytes
	q.streamSize = h.ContentLength()
	if most > 0 && float64(q.streamSize) > most {
		return apierror.New(apierror.BodyTooLarge, "%d bytes", q.streamSize)
	}
	if q.ctx.Request.IsBodyStream() {
		feed := q.ctx.RequestBodyStream()
		if most <= 0 {
			most = 1 << 40
		}
		q.bodyStream = &limitedBody{feed, int64(most)}
		// What fits is held, so that it can be sent twice.
		whole, err := io.ReadAll(io.LimitReader(q.bodyStream, maxBufferedRequest+1))
		if err != nil {
			if errors.Is(err, errBodyTooLarge) {
				return apierror.New(apierror.BodyTooLarge, "over %d bytes", int64(most))
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				return apierror.New(apierror.HeaderTimeout, "body")
			}
			return apierror.New(apierror.BadRequest, "body")
		}
		// The library ends a body of a stated length where its client hangs up.
		if q.streamSize >= 0 && len(whole) < min(q.streamSize, maxBufferedRequest+1) {
			return apierror.New(apierror.BadRequest, "%d bytes of a body of %d", len(whole), q.streamSize)
		}
		if len(whole) <= maxBufferedRequest {
			q.body, q.bodyStream, q.streamSize = whole, nil, len(whole)
		} else {
			q.bodyStream = io.MultiReader(bytes.NewReader(whole), q.bodyStream)
		}
		return nil
	}
	q.body = q.ctx.Request.Body()
	if most > 0 && float64(len(q.body)) > most {
		return apierror.New(apierror.BodyTooLarge, "%d bytes", len(q.body))
	}
	return nil
}

var errBodyTooLarge = errors.New("proxy: body is too long")

// limitedBody fails when a body is longer than it may be.
type limitedBody struct {
	reader    io.Reader
	remaining int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}

func isDigits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

func isToken(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return true
}

// isHopByHop names the headers that concern one connection only, and those that
// this node writes itself.
func isHopByHop(name []byte) bool {
	for _, s := range [...]string{"keep-alive", "proxy-connection", "te", "trailer", "upgrade", "expect", "x-target-instance"} {
		if equalFold(name, s) {
			return true
		}
	}
	return false
}

// removeConnectionHeaders removes the headers that a Connection header names.
func removeConnectionHeaders(head, named []byte) []byte {
	for _, t := range bytes.Split(named, []byte{','}) {
		t = bytes.TrimSpace(t)
		if len(t) == 0 || equalFold(t, "close") || equalFold(t, "keep-alive") || equalFold(t, "host") || equalFold(t, "x-attempt-id") {
			continue
		}
		lines := bytes.SplitAfter(head, []byte{'\n'})
		out := append([]byte(nil), lines[0]...)
		for _, l := range lines[1:] {
			if i := bytes.IndexByte(l, ':'); i > 0 && equalFold(l[:i], string(t)) {
				continue
			}
			out = append(out, l...)
		}
		head = out
	}
	return head
}

// outcome is how one hop ended.
type outcome struct {
	phase    phase
	err      error         // what ended it there, if not a whole answer
	response *response     // if one was read
	conn     *upstreamConn // the connection, while streaming
	// isStale tells that the connection had rested and ended without a byte of an
	// answer: the endpoint had forgotten it.
	isStale bool
	idleFor time.Duration
}

// attempt sends the request to one endpoint and reads its answer, and settles what
// becomes of the connection.
func (p *Proxy) attempt(q *request, e *loadbalance.Endpoint, sh *connPool) outcome {
	now := time.Now()
	left := q.deadline.Sub(now)
	if left <= 0 {
		return outcome{phase: phaseDialing, err: errDeadlineExceeded}
	}
	var u *upstreamConn
	if len(q.attemptID) > 0 { // without an id only a new connection tells whose an answer is
		u = sh.get(now, q.service.idleLimit(p.now()))
	}
	if u == nil {
		var err error
		if u, err = dialUpstream(e.Address, min(p.timeouts.dial, left), p.timeouts.unacknowledged); err != nil {
			p.counters.dialFailures.Inc()
			return outcome{phase: phaseDialing, err: err}
		}
		now = time.Now()
		u.idleSince, u.expiresAt = now, now.Add(p.timeouts.defaultKeepAlive)
	}
	if !now.Before(q.deadline) {
		sh.put(u) // untouched
		return outcome{phase: phaseUnsent, err: errDeadlineExceeded}
	}
	o := p.roundTrip(q, e, u, now)
	o.isStale = u.idleFor > 0 && o.phase <= phaseSent && isConnectionClosed(o.err)
	o.idleFor = u.idleFor
	switch {
	case o.phase == phaseStreaming:
		o.conn = u
	case retryTable[o.phase].reusesConnection && o.response.stream == nil:
		p.recycleConnection(sh, u, o.response)
	default:
		u.tcp.Close()
	}
	return o
}

// roundTrip is the hop on a connection, up to its end or to a long body.
func (p *Proxy) roundTrip(q *request, e *loadbalance.Endpoint, u *upstreamConn, now time.Time) (o outcome) {
	buf := headBuffers.Get().(*[]byte)
	defer headBuffers.Put(buf)
	b := q.appendHead((*buf)[:0], e.ID, q.deadline.Sub(now))
	long := q.body
	if len(long) < minPacedSize || p.pacer.bytesPerSecond <= 0 {
		b, long = append(b, long...), nil
	}
	*buf = b
	p.pacer.reserve(now, len(b))
	if err := u.tcp.SetDeadline(q.deadline); err != nil {
		return outcome{phase: phaseUnsent, err: err}
	}
	n, err := u.tcp.Write(b)
	if n == 0 && err != nil {
		return outcome{phase: phaseUnsent, err: err}
	}
	if err == nil && long != nil {
		_, err = io.Copy(writerOnly{u.tcp}, &pacedReader{p.pacer, long, q.deadline})
	}
	if err == nil && q.bodyStream != nil {
		q.bodyConsumed = true
		err = sendBodyStream(u, q)
	}
	o.phase = phaseSent
	if err != nil {
		// An endpoint that answers early may close before it has read all; what it said
		// stands before the end.
		o.phase, o.err = phasePartlySent, err
		if !isConnectionClosed(err) {
			return o
		}
	}
	if _, err := u.reader.Peek(1); err != nil {
		if o.err == nil {
			o.err = err
		}
		return o
	}
	a, err := readResponse(u.reader, q.isHead, maxBufferedResponse)
	if err != nil {
		switch o.err = err; {
		case errors.Is(err, errInvalidResponse):
			o.phase = phaseInvalid
		case a == nil:
			o.phase = phasePartialHead
		default:
			o.phase = phasePartialBody
		}
		return o
	}
	if o.phase == phasePartlySent {
		a.isReusable = false
	}
	o.response, o.err = a, nil
	switch {
	case !a.belongsTo(q.attemptID, u.idleFor > 0):
		o.phase, o.err = phaseInvalid, fmt.Errorf("%w: of another request", errInvalidResponse)
	case a.status < 300 && a.headerValue("X-Server-Signature") == nil:
		o.phase, o.err = phaseInvalid, fmt.Errorf("%w: success without a signature", errInvalidResponse)
	case a.headerValue("X-Not-Executed") != nil || a.status == 421:
		o.phase = phaseUnprocessed
	case a.stream != nil:
		o.phase = phaseStreaming
	case a.status >= 500:
		o.phase = phaseFailed
	default:
		o.phase = phaseAnswered
	}
	return o
}

// appendHead appends the request's head as it goes to an endpoint, with the framing of the
// body.
func (q *request) appendHead(b []byte, endpoint string, left time.Duration) []byte {
	b = append(b, q.head...)
	b = append(b, "X-Deadline: "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	b = append(b, "\r\nX-Target-Instance: "...)
	b = append(b, endpoint...)
	switch {
	case q.bodyStream != nil && q.streamSize < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case q.streamSize > 0 || len(q.body) > 0 || !(q.isHead || q.ctx.IsGet()):
		b = append(b, "\r\nContent-Length: "...)
		n := len(q.body)
		if q.bodyStream != nil {
			n = q.streamSize
		}
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// belongsTo tells whether an answer is to the request with an id: one in excess may
// stand where that is due. On a connection that has served another request the id must
// be there.
func (a *response) belongsTo(id []byte, served bool) bool {
	named := false
	for _, h := range a.headers {
		if equalFold(h.name, "X-Attempt-Id") {
			if len(id) > 0 && !bytes.Equal(h.value, id) {
				return false
			}
			named = true
		}
	}
	return named || !served
}

// recycleConnection keeps a connection for the next request, if it may be used again.
func (p *Proxy) recycleConnection(sh *connPool, u *upstreamConn, a *response) {
	if !a.isReusable || u.reader.Buffered() > 0 {
		u.tcp.Close()
		return
	}
	idle := p.timeouts.defaultKeepAlive
	if a.keepAlive > 0 {
		idle = a.keepAlive - min(a.keepAlive/2, time.Second)
	}
	u.idleSince = time.Now()
	u.expiresAt = u.idleSince.Add(idle)
	sh.put(u)
}

// isConnectionClosed tells an end of the connection from a time that is up.
func isConnectionClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// writerOnly hides all but Write, so that a copy goes piece by piece.
type writerOnly struct{ io.Writer }

var (
	errDeadlineExceeded = errors.New("proxy: deadline reached")
	// errClientAborted says that the client, not the endpoint, broke the request off.
	errClientAborted = errors.New("proxy: client broke its request off")
)

// clientBody marks the errors of the client's side of a body.
type clientBody struct{ reader io.Reader }

func (f clientBody) Read(b []byte) (int, error) {
	n, err := f.reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: %w", errClientAborted, err)
	}
	return n, err
}

// sendBodyStream passes on a body as the client sends it.
func sendBodyStream(u *upstreamConn, q *request) error {
	if q.streamSize >= 0 {
		n, err := io.Copy(writerOnly{u.tcp}, io.LimitReader(clientBody{q.bodyStream}, int64(q.streamSize)))
		if err == nil && n != int64(q.streamSize) {
			err = fmt.Errorf("%w: %w", errClientAborted, io.ErrUnexpectedEOF)
		}
		return err
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := clientBody{q.bodyStream}.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(u.tcp, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(u.tcp, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// forward tries endpoints until one answers or nothing more may be tried.
func (p *Proxy) forward(q *request) {
	svc := q.service
	rank := svc.recordArrival(string(q.ctx.RemoteIP()), q.route.Priority)
	arm := svc.drawArm(p, q.route.Index)
	skip := func(e *loadbalance.Endpoint) bool {
		if !svc.accepts(e, arm) {
			return true
		}
		if q.regionMask != 0 && (e.RegionIndex < 0 || q.regionMask>>min(e.RegionIndex, 62)&1 == 0) {
			return true
		}
		for _, t := range q.triedEndpoints {
			if t == e {
				return true
			}
		}
		return false
	}
	why := "no endpoint"
	var d decision
	sent, dials := 0, 0
	// after takes that a hop has ended.
	after := func(at phase) action {
		q.mayHaveArrived = q.mayHaveArrived || at >= phasePartlySent
		if at == phaseDialing || at == phaseUnsent {
			dials++
		} else if at != phaseQueued {
			sent++
		}
		d = at.decide(retryState{
			isIdempotent: q.route.Idempotent, bodyConsumed: q.bodyConsumed, mayHaveExecuted: q.mayHaveExecuted, beforeDeadline: time.Now().Before(q.deadline),
			attemptsLeft: sent < q.route.MaxAttempts && dials < 4, budgetLeft: at != phaseFailed || p.retryBudgetAllows(svc),
		})
		q.mayHaveExecuted = d.mayHaveExecuted
		return d.action
	}
	for {
		var e *loadbalance.Endpoint
		var sh *connPool
		if left := time.Until(q.deadline); left > 0 {
			e, sh = svc.acquireForArm(p, rank, min(q.route.TargetLatency/6, left/4), skip, &arm)
		}
		if e == nil {
			after(phaseQueued)
			break
		}
		to := arm
		watch := svc.watchAttempt(p, q, e, to)
		if q.mayHaveArrived {
			svc.mu.Lock()
			ok := svc.retryBudget.TryWithdraw()
			svc.mu.Unlock()
			if !ok {
				p.counters.retryBudgetExhausted.Inc()
				svc.releaseEndpoint(p, e, true, 0)
				watch.stop()
				after(phaseQueued)
				break
			}
			p.counters.retries.Inc()
		}
		began := time.Now()
		o := p.attempt(q, e, sh)
		took := time.Since(began)
		q.triedEndpoints = append(q.triedEndpoints, e)
		next := after(o.phase)
		if o.err != nil {
			why = o.err.Error()
			watch.recordBroken(o, time.Now().Before(q.deadline))
			if o.isStale {
				// That the endpoint itself has ended shows at the next connection.
				p.counters.staleConnections.Inc()
				svc.noteStaleConnection(p.now(), o.idleFor, p.timeouts.ejectionMax)
				sh.closeIdle()
			}
			svc.releaseEndpoint(p, e, o.isStale || errors.Is(o.err, errDeadlineExceeded) || errors.Is(o.err, errClientAborted), 0)
			if errors.Is(o.err, errInvalidResponse) {
				p.counters.invalidResponses.Inc()
			}
			arm = svc.retryArm(arm, o.phase >= phasePartlySent)
		} else if o.phase == phaseUnprocessed {
			why = "endpoints turned the request away"
			svc.noteUnprocessed(p, e, o.response.status)
			watch.stop()
			arm = svc.retryArm(arm, true)
		} else {
			ratio := 0.0
			ok := o.response.status < 500
			watch.recordResponse(took, ok)
			if ok {
				ratio = q.stats.observe(took.Seconds(), to == loadbalance.BaseVersion)
			} else {
				svc.mu.Lock()
				svc.pool.RecordServerError(e)
				svc.mu.Unlock()
			}
			if next == actionRelay {
				p.relayResponse(q, svc, e, sh, o, ratio)
				return
			}
			why = "endpoint failed"
			svc.releaseEndpoint(p, e, true, 0)
			arm = svc.retryArm(arm, true)
		}
		if next == actionFail {
			break
		}
	}
	q.stats.countError(d.errorKind)
	switch {
	case q.route.Idempotent:
		p.recordAttempt(q, audit.Failed, d.errorKind.Status())
	case q.mayHaveExecuted:
		p.recordAttempt(q, audit.MaybeExecuted, d.errorKind.Status())
	default:
		p.recordAttempt(q, audit.NotExecuted, d.errorKind.Status())
	}
	p.writeError(q.ctx, apierror.New(d.errorKind, "%s", why))
}

// retryBudgetAllows tells whether the budget would bear another try now.
func (p *Proxy) retryBudgetAllows(s *service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget.Balance() >= 1
}

// noteUnprocessed takes an endpoint's word that it did not run a request.
func (s *service) noteUnprocessed(p *Proxy, e *loadbalance.Endpoint, status int) {
	if status == 421 {
		s.releaseEndpoint(p, e, false, 0)
		return
	}
	s.mu.Lock()
	s.pool.RecordRejection(p.now(), e)
	s.mu.Unlock()
	s.releaseEndpoint(p, e, true, 0)
}

// observe takes the time of an answer and gives it over what is usual. What a
// version under trial takes is not usual.
func (s *routeStats) observe(took float64, usual bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.typicalSeconds == 0 {
		s.typicalSeconds = took
	}
	ratio := took / max(s.typicalSeconds, 1e-4)
	if !usual {
		return ratio
	}
	s.typicalSeconds += 0.02 * (min(took, 4*s.typicalSeconds) - s.typicalSeconds)
	return ratio
}

// typicalLatency is what an answer usually takes; 0 while that is not known.
func (s *routeStats) typicalLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.typicalSeconds * float64(time.Second))
}

func (s *routeStats) countError(k apierror.Kind) {
	switch k {
	case apierror.Unavailable:
		s.responses[3].Inc()
	case apierror.BadGateway:
		s.responses[4].Inc()
	default:
		s.responses[5].Inc()
	}
}

// relayResponse gives an endpoint's answer to the client.
func (p *Proxy) relayResponse(q *request, svc *service, e *loadbalance.Endpoint, sh *connPool, o outcome, ratio float64) {
	a := o.response
	status := relayedStatus(a.status, q.route.Idempotent)
	q.stats.responses[max(0, min(2, status/200-1+status/500))].Inc()
	resp := &q.ctx.Response
	resp.SetStatusCode(status)
	for _, h := range a.headers {
		switch {
		case equalFold(h.name, "connection"), equalFold(h.name, "keep-alive"), equalFold(h.name, "proxy-connection"),
			equalFold(h.name, "transfer-encoding"), equalFold(h.name, "content-length"), equalFold(h.name, "trailer"), equalFold(h.name, "upgrade"):
		default:
			resp.Header.AddBytesKV(h.name, h.value)
		}
	}
	if q.isHead && a.contentLength >= 0 {
		resp.SkipBody = true
		resp.Header.SetContentLength(int(a.contentLength))
	}
	if a.stream == nil {
		p.recordResponse(q, status)
	}
	if a.stream != nil {
		svc.releaseEndpoint(p, e, true, ratio) // its work is done, the rest is the links'
		resp.SetBodyStream(&responseStream{proxy: p, request: q, service: svc, endpoint: e, connPool: sh, conn: o.conn, response: a}, int(a.contentLength))
		return
	}
	svc.releaseEndpoint(p, e, true, ratio)
	if len(a.body) >= minPacedSize && p.pacer.bytesPerSecond > 0 {
		resp.SetBodyStream(&pacedReader{p.pacer, a.body, q.deadline}, len(a.body))
		return
	}
	p.pacer.reserve(time.Now(), len(a.body))
	resp.SetBodyRaw(a.body)
}

// recordAttempt notes how a try of a client ended.
func (p *Proxy) recordAttempt(q *request, kind audit.Kind, status int) {
	p.audit.record(&q.ctx.Request.Header, q.route.Name, kind, status, q.startedAt)
}

// recordResponse notes an endpoint's whole answer.
func (p *Proxy) recordResponse(q *request, status int) {
	if p.audit == nil {
		return
	}
	switch {
	case status < 300 && !q.route.Idempotent:
		p.recordAttempt(q, audit.Executed, status)
	case status >= 500 && !q.route.Idempotent:
		p.recordAttempt(q, audit.MaybeExecuted, status)
	case status >= 500:
		p.recordAttempt(q, audit.Failed, status)
	}
	if status < 300 && q.route.TargetLatency > 0 && time.Since(q.startedAt) > q.route.TargetLatency {
		p.recordAttempt(q, audit.MissedLatencyTarget, status)
	}
}

// responseStream passes on the rest of a long answer as it comes, in pieces that the link has
// room for.
type responseStream struct {
	proxy    *Proxy
	request  *request
	service  *service
	endpoint *loadbalance.Endpoint
	connPool *connPool
	conn     *upstreamConn
	response *response
	received int64
	// endpointFailed tells that the endpoint, not the client, ended it.
	endpointFailed bool
}

func (t *responseStream) Read(b []byte) (int, error) {
	n, err := t.response.stream.Read(b[:min(len(b), pacedChunk)])
	t.received += int64(n)
	if errors.Is(err, io.EOF) && t.received < t.response.contentLength {
		err = io.ErrUnexpectedEOF // the client must not take a part for the whole
	}
	t.endpointFailed = err != nil && !errors.Is(err, io.EOF) && time.Until(t.request.deadline) > 0
	t.proxy.pacer.wait(n, t.response.contentLength-t.received, t.request.deadline)
	return n, err
}

// Close ends the exchange, whole or not.
func (t *responseStream) Close() error {
	if t.received == t.response.contentLength {
		t.proxy.recordResponse(t.request, t.response.status)
		t.proxy.recycleConnection(t.connPool, t.conn, t.response)
		return nil
	}
	t.conn.tcp.Close()
	if !t.endpointFailed {
		return nil
	}
	t.proxy.recordAttempt(t.request, audit.Truncated, t.response.status)
	t.service.mu.Lock()
	t.service.pool.RecordFailure(t.proxy.now(), t.endpoint)
	t.service.mu.Unlock()
	return nil
}

// writeError answers with an error of this system's own.
func (p *Proxy) writeError(ctx *fasthttp.RequestCtx, err error) {
	kind := apierror.KindOf(err)
	ctx.Response.ResetBody()
	ctx.SetStatusCode(kind.Status())
	if s := kind.Status(); s == 503 || s == 429 {
		p.counters.rejections.Inc()
		ctx.Response.Header.Set("Retry-After", formatSeconds(p.timeouts.dial*2/3+p.timeouts.dial*2/3*time.Duration(rand.Intn(100))/100))
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"error":"` + kind.String() + `"}`)
}
