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
	"lichentray/config"
	"lichentray/internal/apierror"
	"lichentray/loadbalance"
)

// Answers are counted by route in these kinds.
var answers = [6]string{"2xx", "4xx", "5xx", "unavailable", "bad_gateway", "deadline"}

const (
	// wholeBody is how much of an answer is held until it is whole, so that it can
	// be fetched anew where it breaks off. Longer ones are passed on as they come: on
	// a narrow link the way in takes as long as the way out.
	wholeBody = 32 << 10
	// prefetch is how much of a request's body is read before it is handled.
	prefetch = 256 << 10
)

// request is one client's try on its way.
type request struct {
	ctx    *fasthttp.RequestCtx
	route  *config.Route
	homes  uint64 // a bit for each region that may serve it; 0 for all
	stats  *routeStats
	svc    *service
	head   []byte // request line and headers, without the end
	body   []byte
	feed   io.Reader // a long body, readable once
	size   int       // of feed, or -1
	id     []byte
	began  time.Time
	until  time.Time
	isHead bool

	// What is known of the tries so far.
	arrived bool // an endpoint may have got it
	ran     bool // an endpoint may have run it
	fed     bool // feed was touched: the body cannot be sent twice
	tried   []*loadbalance.Endpoint
}

var heads = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

// Serve handles one request of a client.
func (p *Plane) Serve(ctx *fasthttp.RequestCtx) {
	p.n.requests.Inc()
	p.account.begin()
	defer func() {
		p.account.end()
		if p.stopping.Load() {
			ctx.SetConnectionClose()
		}
	}()
	r := p.routing.Load()
	if r == nil {
		if r = p.awaitView(ctx); r == nil {
			p.refuse(ctx, apierror.New(apierror.Unavailable, "no configuration yet"))
			if ctx.IsGet() || ctx.IsHead() {
				p.account.note(&ctx.Request.Header, "", audit.Failed, 503, ctx.Time())
			} else {
				p.account.note(&ctx.Request.Header, "", audit.NotExecuted, 503, ctx.Time())
			}
			// The first view comes soon after a start, or not for long.
			ctx.Response.Header.Set("Retry-After", seconds(p.timing.Dial+p.timing.Dial*time.Duration(rand.Intn(100))/100))
			return
		}
	}
	buf := heads.Get().(*[]byte)
	defer heads.Put(buf)
	req := request{ctx: ctx, began: ctx.Time(), isHead: ctx.IsHead()}
	if err := req.read(r, (*buf)[:0]); err != nil {
		if apierror.KindOf(err) != apierror.NoRoute {
			ctx.SetConnectionClose()
		}
		p.refuse(ctx, err)
		return
	}
	*buf = req.head
	req.svc = r.services[req.route.PickService(rand.Float64())]
	req.stats = r.routes[req.route.Index]
	req.homes = r.homes[req.route.Index]
	p.forward(&req)
}

// awaitView lets a request that came before the first view wait for it. The view
// comes soon after a start, so one that came right after it is worth holding for
// a fair part of its time: a client that has been refused may not come back. Later
// there is none to come soon, and it is told at once.
func (p *Plane) awaitView(ctx *fasthttp.RequestCtx) *routing {
	wait, part := p.timing.Dial, time.Duration(10)
	if young := p.timing.Call - p.now(); young > wait {
		wait, part = young, 4
	}
	if ms, err := strconv.Atoi(string(ctx.Request.Header.Peek("X-Deadline"))); err == nil {
		wait = min(wait, time.Duration(ms)*time.Millisecond/part)
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-p.viewed:
	case <-t.C:
	}
	return p.routing.Load()
}

func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// read checks the request's framing and builds what goes to the endpoint.
func (q *request) read(r *routing, head []byte) error {
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
		if i <= 0 || !tokenChars(line[:i]) || bytes.ContainsAny(line, "\r\x00") {
			return apierror.New(apierror.BadRequest, "header line")
		}
		name, value := line[:i], bytes.Trim(line[i+1:], " \t")
		switch {
		case equalFold(name, "host"):
			host = value
			hosts++
		case equalFold(name, "content-length"):
			if lengths++; len(value) == 0 || !digits(value) {
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
		case hopByHop(name):
			continue
		case equalFold(name, "x-attempt-id"):
			q.id = value
			ids++
		}
		head = append(head, line...)
		head = append(head, "\r\n"...)
	}
	if hosts != 1 || lengths+encodings > 1 || ids > 1 {
		return apierror.New(apierror.BadRequest, "host, framing or id headers are missing or double")
	}
	if len(named) > 0 {
		head = dropNamed(head, named)
	}
	if q.route = r.table.Match(host, path); q.route == nil {
		return apierror.New(apierror.NoRoute, "")
	}
	if q.route.Timeout > 0 {
		q.until = q.began.Add(q.route.Timeout)
	} else {
		q.until = q.began.Add(10 * time.Minute)
	}
	if len(deadline) > 0 {
		ms, err := strconv.ParseFloat(string(deadline), 64)
		if err != nil || ms < 0 {
			return apierror.New(apierror.BadRequest, "x-deadline")
		}
		if t := q.began.Add(time.Duration(min(ms, 1e9) * float64(time.Millisecond))); t.Before(q.until) {
			q.until = t
		}
	}
	q.head = head
	most := limits.MaxBodyBytes
	q.size = h.ContentLength()
	if most > 0 && float64(q.size) > most {
		return apierror.New(apierror.BodyTooLarge, "%d bytes", q.size)
	}
	if q.ctx.Request.IsBodyStream() {
		feed := q.ctx.RequestBodyStream()
		if most <= 0 {
			most = 1 << 40
		}
		q.feed = &bounded{feed, int64(most)}
		// What fits is held, so that it can be sent twice.
		whole, err := io.ReadAll(io.LimitReader(q.feed, prefetch+1))
		if err != nil {
			if errors.Is(err, errTooLong) {
				return apierror.New(apierror.BodyTooLarge, "over %d bytes", int64(most))
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				return apierror.New(apierror.HeaderTimeout, "body")
			}
			return apierror.New(apierror.BadRequest, "body")
		}
		// The library ends a body of a stated length where its client hangs up.
		if q.size >= 0 && len(whole) < min(q.size, prefetch+1) {
			return apierror.New(apierror.BadRequest, "%d bytes of a body of %d", len(whole), q.size)
		}
		if len(whole) <= prefetch {
			q.body, q.feed, q.size = whole, nil, len(whole)
		} else {
			q.feed = io.MultiReader(bytes.NewReader(whole), q.feed)
		}
		return nil
	}
	q.body = q.ctx.Request.Body()
	if most > 0 && float64(len(q.body)) > most {
		return apierror.New(apierror.BodyTooLarge, "%d bytes", len(q.body))
	}
	return nil
}

var errTooLong = errors.New("proxy: body is too long")

// bounded fails when a body is longer than it may be.
type bounded struct {
	r    io.Reader
	left int64
}

func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errTooLong
	}
	return n, err
}

func digits(b []byte) bool {
	for _, c := range b {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

func tokenChars(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 127 || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), c) >= 0 {
			return false
		}
	}
	return true
}

// hopByHop names the headers that concern one connection only, and those that
// this node writes itself.
func hopByHop(name []byte) bool {
	for _, s := range [...]string{"keep-alive", "proxy-connection", "te", "trailer", "upgrade", "expect", "x-target-instance"} {
		if equalFold(name, s) {
			return true
		}
	}
	return false
}

// dropNamed removes the headers that a Connection header names.
func dropNamed(head, named []byte) []byte {
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
	at     phase
	err    error     // what ended it there, if not a whole answer
	answer *answer   // if one was read
	u      *upstream // the connection, while streaming
	// stale tells that the connection had rested and ended without a byte of an
	// answer: the endpoint had forgotten it.
	stale  bool
	rested time.Duration
}

// exchange sends the request to one endpoint and reads its answer, and settles what
// becomes of the connection.
func (p *Plane) exchange(q *request, e *loadbalance.Endpoint, sh *shelf) outcome {
	now := time.Now()
	left := q.until.Sub(now)
	if left <= 0 {
		return outcome{at: dialling, err: errDeadline}
	}
	var u *upstream
	if len(q.id) > 0 { // without an id only a new connection tells whose an answer is
		u = sh.take(now, q.svc.rest(p.now()))
	}
	if u == nil {
		var err error
		if u, err = dialUpstream(e.Address, min(p.timing.Dial, left), p.timing.Dark); err != nil {
			p.n.dialFailed.Inc()
			return outcome{at: dialling, err: err}
		}
		now = time.Now()
		u.since, u.until = now, now.Add(p.timing.IdleUnsaid)
	}
	if !now.Before(q.until) {
		sh.put(u) // untouched
		return outcome{at: unsent, err: errDeadline}
	}
	o := p.talk(q, e, u, now)
	o.stale = u.rested > 0 && o.at <= sentWhole && broken(o.err)
	o.rested = u.rested
	switch {
	case o.at == streaming:
		o.u = u
	case hops[o.at].reuse && o.answer.rest == nil:
		p.shelve(sh, u, o.answer)
	default:
		u.raw.Close()
	}
	return o
}

// talk is the hop on a connection, up to its end or to a long body.
func (p *Plane) talk(q *request, e *loadbalance.Endpoint, u *upstream, now time.Time) (o outcome) {
	buf := heads.Get().(*[]byte)
	defer heads.Put(buf)
	b := q.framed((*buf)[:0], e.ID, q.until.Sub(now))
	long := q.body
	if len(long) < pacedFrom || p.pacer.rate <= 0 {
		b, long = append(b, long...), nil
	}
	*buf = b
	p.pacer.take(now, len(b))
	if err := u.raw.SetDeadline(q.until); err != nil {
		return outcome{at: unsent, err: err}
	}
	n, err := u.raw.Write(b)
	if n == 0 && err != nil {
		return outcome{at: unsent, err: err}
	}
	if err == nil && long != nil {
		_, err = io.Copy(onlyWriter{u.raw}, &paced{p.pacer, long, q.until})
	}
	if err == nil && q.feed != nil {
		q.fed = true
		err = sendFeed(u, q)
	}
	o.at = sentWhole
	if err != nil {
		// An endpoint that answers early may close before it has read all; what it said
		// stands before the end.
		o.at, o.err = sentPart, err
		if !broken(err) {
			return o
		}
	}
	if _, err := u.br.Peek(1); err != nil {
		if o.err == nil {
			o.err = err
		}
		return o
	}
	a, err := readAnswer(u.br, q.isHead, wholeBody)
	if err != nil {
		switch o.err = err; {
		case errors.Is(err, errAnswer):
			o.at = foreign
		case a == nil:
			o.at = headPart
		default:
			o.at = bodyPart
		}
		return o
	}
	if o.at == sentPart {
		a.reuse = false
	}
	o.answer, o.err = a, nil
	switch {
	case !a.belongs(q.id, u.rested > 0):
		o.at, o.err = foreign, fmt.Errorf("%w: of another request", errAnswer)
	case a.status < 300 && a.get("X-Server-Signature") == nil:
		o.at, o.err = foreign, fmt.Errorf("%w: success without a signature", errAnswer)
	case a.get("X-Not-Executed") != nil || a.status == 421:
		o.at = turnedAway
	case a.rest != nil:
		o.at = streaming
	case a.status >= 500:
		o.at = failed
	default:
		o.at = answered
	}
	return o
}

// framed appends the request's head as it goes to an endpoint, with the framing of the
// body.
func (q *request) framed(b []byte, endpoint string, left time.Duration) []byte {
	b = append(b, q.head...)
	b = append(b, "X-Deadline: "...)
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	b = append(b, "\r\nX-Target-Instance: "...)
	b = append(b, endpoint...)
	switch {
	case q.feed != nil && q.size < 0:
		b = append(b, "\r\nTransfer-Encoding: chunked"...)
	case q.size > 0 || len(q.body) > 0 || !(q.isHead || q.ctx.IsGet()):
		b = append(b, "\r\nContent-Length: "...)
		n := len(q.body)
		if q.feed != nil {
			n = q.size
		}
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return append(b, "\r\n\r\n"...)
}

// belongs tells whether an answer is to the request with an id: one in excess may
// stand where that is due. On a connection that has served another request the id must
// be there.
func (a *answer) belongs(id []byte, served bool) bool {
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

// shelve keeps a connection for the next request, if it may be used again.
func (p *Plane) shelve(sh *shelf, u *upstream, a *answer) {
	if !a.reuse || u.br.Buffered() > 0 {
		u.raw.Close()
		return
	}
	idle := p.timing.IdleUnsaid
	if a.keep > 0 {
		idle = a.keep - min(a.keep/2, time.Second)
	}
	u.since = time.Now()
	u.until = u.since.Add(idle)
	sh.put(u)
}

// broken tells an end of the connection from a time that is up.
func broken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// onlyWriter hides all but Write, so that a copy goes piece by piece.
type onlyWriter struct{ io.Writer }

var (
	errDeadline = errors.New("proxy: deadline reached")
	// errClient says that the client, not the endpoint, broke the request off.
	errClient = errors.New("proxy: client broke its request off")
)

// feeder marks the errors of the client's side of a body.
type feeder struct{ r io.Reader }

func (f feeder) Read(b []byte) (int, error) {
	n, err := f.r.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: %w", errClient, err)
	}
	return n, err
}

// sendFeed passes on a body as the client sends it.
func sendFeed(u *upstream, q *request) error {
	if q.size >= 0 {
		n, err := io.Copy(onlyWriter{u.raw}, io.LimitReader(feeder{q.feed}, int64(q.size)))
		if err == nil && n != int64(q.size) {
			err = fmt.Errorf("%w: %w", errClient, io.ErrUnexpectedEOF)
		}
		return err
	}
	buf := make([]byte, 32<<10)
	for {
		n, err := feeder{q.feed}.Read(buf)
		if n > 0 {
			if _, werr := fmt.Fprintf(u.raw, "%x\r\n%s\r\n", n, buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(u.raw, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

// forward tries endpoints until one answers or nothing more may be tried.
func (p *Plane) forward(q *request) {
	svc := q.svc
	rank := svc.arrive(string(q.ctx.RemoteIP()), q.route.Priority)
	arm := svc.arm(p, q.route.Index)
	skip := func(e *loadbalance.Endpoint) bool {
		if !svc.takes(e, arm) {
			return true
		}
		if q.homes != 0 && (e.RegionIndex < 0 || q.homes>>min(e.RegionIndex, 62)&1 == 0) {
			return true
		}
		for _, t := range q.tried {
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
	after := func(at phase) step {
		q.arrived = q.arrived || at >= sentPart
		if at == dialling || at == unsent {
			dials++
		} else if at != waiting {
			sent++
		}
		d = at.next(state{
			repeatable: q.route.Idempotent, consumed: q.fed, ran: q.ran, inTime: time.Now().Before(q.until),
			tries: sent < q.route.MaxAttempts && dials < 4, budget: at != failed || p.mayRepeat(svc),
		})
		q.ran = d.ran
		return d.next
	}
	for {
		var e *loadbalance.Endpoint
		var sh *shelf
		if left := time.Until(q.until); left > 0 {
			e, sh = svc.acquireArm(p, rank, min(q.route.TargetLatency/6, left/4), skip, &arm)
		}
		if e == nil {
			after(waiting)
			break
		}
		to := arm
		watch := svc.watch(p, q, e, to)
		if q.arrived {
			svc.mu.Lock()
			ok := svc.budget.TryWithdraw()
			svc.mu.Unlock()
			if !ok {
				p.n.budgetOut.Inc()
				svc.release(p, e, true, 0)
				watch.end()
				after(waiting)
				break
			}
			p.n.retries.Inc()
		}
		began := time.Now()
		o := p.exchange(q, e, sh)
		took := time.Since(began)
		q.tried = append(q.tried, e)
		next := after(o.at)
		if o.err != nil {
			why = o.err.Error()
			watch.broke(o, time.Now().Before(q.until))
			if o.stale {
				// That the endpoint itself has ended shows at the next connection.
				p.n.stale.Inc()
				svc.forgot(p.now(), o.rested, p.timing.EjectMost)
				sh.drop()
			}
			svc.release(p, e, o.stale || errors.Is(o.err, errDeadline) || errors.Is(o.err, errClient), 0)
			if errors.Is(o.err, errAnswer) {
				p.n.badAnswers.Inc()
			}
			arm = svc.elsewhere(arm, o.at >= sentPart)
		} else if o.at == turnedAway {
			why = "endpoints turned the request away"
			svc.turnedAway(p, e, o.answer.status)
			watch.end()
			arm = svc.elsewhere(arm, true)
		} else {
			ratio := 0.0
			ok := o.answer.status < 500
			watch.answered(took, ok)
			if ok {
				ratio = q.stats.learn(took.Seconds(), to == loadbalance.BaseVersion)
			} else {
				svc.mu.Lock()
				svc.pool.RecordServerError(e)
				svc.mu.Unlock()
			}
			if next == pass {
				p.pass(q, svc, e, sh, o, ratio)
				return
			}
			why = "endpoint failed"
			svc.release(p, e, true, 0)
			arm = svc.elsewhere(arm, true)
		}
		if next == giveUp {
			break
		}
	}
	q.stats.count(d.kind)
	switch {
	case q.route.Idempotent:
		p.noteTry(q, audit.Failed, d.kind.Status())
	case q.ran:
		p.noteTry(q, audit.MaybeExecuted, d.kind.Status())
	default:
		p.noteTry(q, audit.NotExecuted, d.kind.Status())
	}
	p.refuse(q.ctx, apierror.New(d.kind, "%s", why))
}

// mayRepeat tells whether the budget would bear another try now.
func (p *Plane) mayRepeat(s *service) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Balance() >= 1
}

// turnedAway takes an endpoint's word that it did not run a request.
func (s *service) turnedAway(p *Plane, e *loadbalance.Endpoint, status int) {
	if status == 421 {
		s.release(p, e, false, 0)
		return
	}
	s.mu.Lock()
	s.pool.RecordRejection(p.now(), e)
	s.mu.Unlock()
	s.release(p, e, true, 0)
}

// learn takes the time of an answer and gives it over what is usual. What a
// version under trial takes is not usual.
func (s *routeStats) learn(took float64, usual bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usual == 0 {
		s.usual = took
	}
	ratio := took / max(s.usual, 1e-4)
	if !usual {
		return ratio
	}
	s.usual += 0.02 * (min(took, 4*s.usual) - s.usual)
	return ratio
}

// ordinary is what an answer usually takes; 0 while that is not known.
func (s *routeStats) ordinary() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.usual * float64(time.Second))
}

func (s *routeStats) count(k apierror.Kind) {
	switch k {
	case apierror.Unavailable:
		s.answer[3].Inc()
	case apierror.BadGateway:
		s.answer[4].Inc()
	default:
		s.answer[5].Inc()
	}
}

// pass gives an endpoint's answer to the client.
func (p *Plane) pass(q *request, svc *service, e *loadbalance.Endpoint, sh *shelf, o outcome, ratio float64) {
	a := o.answer
	status := passed(a.status, q.route.Idempotent)
	q.stats.answer[max(0, min(2, status/200-1+status/500))].Inc()
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
	if q.isHead && a.length >= 0 {
		resp.SkipBody = true
		resp.Header.SetContentLength(int(a.length))
	}
	if a.rest == nil {
		p.noteAnswer(q, status)
	}
	if a.rest != nil {
		svc.release(p, e, true, ratio) // its work is done, the rest is the links'
		resp.SetBodyStream(&tail{p: p, q: q, svc: svc, e: e, sh: sh, u: o.u, a: a}, int(a.length))
		return
	}
	svc.release(p, e, true, ratio)
	if len(a.body) >= pacedFrom && p.pacer.rate > 0 {
		resp.SetBodyStream(&paced{p.pacer, a.body, q.until}, len(a.body))
		return
	}
	p.pacer.take(time.Now(), len(a.body))
	resp.SetBodyRaw(a.body)
}

// noteTry notes how a try of a client ended.
func (p *Plane) noteTry(q *request, kind audit.Kind, status int) {
	p.account.note(&q.ctx.Request.Header, q.route.Name, kind, status, q.began)
}

// noteAnswer notes an endpoint's whole answer.
func (p *Plane) noteAnswer(q *request, status int) {
	if p.account == nil {
		return
	}
	switch {
	case status < 300 && !q.route.Idempotent:
		p.noteTry(q, audit.Executed, status)
	case status >= 500 && !q.route.Idempotent:
		p.noteTry(q, audit.MaybeExecuted, status)
	case status >= 500:
		p.noteTry(q, audit.Failed, status)
	}
	if status < 300 && q.route.TargetLatency > 0 && time.Since(q.began) > q.route.TargetLatency {
		p.noteTry(q, audit.MissedLatencyTarget, status)
	}
}

// tail passes on the rest of a long answer as it comes, in pieces that the link has
// room for.
type tail struct {
	p   *Plane
	q   *request
	svc *service
	e   *loadbalance.Endpoint
	sh  *shelf
	u   *upstream
	a   *answer
	got int64
	// broke tells that the endpoint, not the client, ended it.
	broke bool
}

func (t *tail) Read(b []byte) (int, error) {
	n, err := t.a.rest.Read(b[:min(len(b), pacedPiece)])
	t.got += int64(n)
	if errors.Is(err, io.EOF) && t.got < t.a.length {
		err = io.ErrUnexpectedEOF // the client must not take a part for the whole
	}
	t.broke = err != nil && !errors.Is(err, io.EOF) && time.Until(t.q.until) > 0
	t.p.pacer.wait(n, t.a.length-t.got, t.q.until)
	return n, err
}

// Close ends the exchange, whole or not.
func (t *tail) Close() error {
	if t.got == t.a.length {
		t.p.noteAnswer(t.q, t.a.status)
		t.p.shelve(t.sh, t.u, t.a)
		return nil
	}
	t.u.raw.Close()
	if !t.broke {
		return nil
	}
	t.p.noteTry(t.q, audit.Truncated, t.a.status)
	t.svc.mu.Lock()
	t.svc.pool.RecordFailure(t.p.now(), t.e)
	t.svc.mu.Unlock()
	return nil
}

// refuse answers with an error of this system's own.
func (p *Plane) refuse(ctx *fasthttp.RequestCtx, err error) {
	kind := apierror.KindOf(err)
	ctx.Response.ResetBody()
	ctx.SetStatusCode(kind.Status())
	if s := kind.Status(); s == 503 || s == 429 {
		p.n.refused.Inc()
		ctx.Response.Header.Set("Retry-After", seconds(p.timing.Dial*2/3+p.timing.Dial*2/3*time.Duration(rand.Intn(100))/100))
	}
	ctx.SetContentType("application/json")
	ctx.SetBodyString(`{"error":"` + kind.String() + `"}`)
}
