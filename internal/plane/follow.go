package plane

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"lichentray/internal/dowel"
)

// Follow keeps the copy up to date until the context ends: one list, then the
// watch, from whichever control-plane node is in touch.
func (p *Plane) Follow(ctx context.Context) {
	sweep := time.Now()
	var avoid string
	pause := p.timing.Dial / 4
	for ctx.Err() == nil {
		good := false
		for _, addr := range p.line.Candidates(avoid) {
			if ctx.Err() != nil {
				return
			}
			began := time.Now()
			err := p.followOne(ctx, addr, &sweep)
			if errors.Is(err, errNearer) {
				good = true
				avoid = ""
				break
			}
			if err != nil && time.Since(began) > p.timing.Silence*2 {
				p.n.streamLost.Inc()
				p.log.Info("stream lost", "from", addr, "error", err)
				good = true
				avoid = addr
				break
			}
		}
		if good {
			pause = p.timing.Dial / 4
			continue
		}
		avoid = ""
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + time.Duration(rand.Int63n(int64(pause)))):
		}
		most := p.timing.Call
		if !p.mirror.Listed() {
			most /= 8 // without a view every moment counts
		}
		pause = min(pause*2, most)
	}
}

var errNearer = errors.New("plane: a nearer control-plane node is known")

var errQuiet = errors.New("plane: refused by the control-plane node")

// followOne opens the stream at one node and follows it until it breaks or
// falls quiet.
func (p *Plane) followOne(ctx context.Context, addr string, sweep *time.Time) error {
	conn, err := dowel.Dial(ctx, addr, p.timing.Call/2, dowel.Hello{Role: dowel.Proxy, Node: p.set.NodeName})
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.WriteTimeout = p.timing.Silence
	ask := &dowel.Ask{ID: 1, Least: p.mirror.Revision(), Watch: p.mirror.Listed(), List: !p.mirror.Listed(), Packs: true}
	if !p.movedOnce {
		ask.Zone = p.set.Zone
	}
	for {
		if err := conn.Send(&dowel.Frame{Ask: ask}); err != nil {
			return err
		}
		f, err := conn.Receive(p.timing.Call)
		if err != nil {
			return err
		}
		a := f.Answer
		if a == nil || a.Failed {
			return errQuiet
		}
		if a.Nearer != nil {
			p.line.Learn(a.Nearer)
			p.movedOnce = true
			return errNearer
		}
		if a.Gone {
			ask = &dowel.Ask{ID: ask.ID + 1, Least: p.mirror.Revision(), List: true, Packs: true}
			continue
		}
		if ask.List {
			p.n.lists.Inc()
			objects, err := a.List()
			if err != nil {
				return err
			}
			if err := p.mirror.Reset(a.Revision, objects); err != nil {
				return err
			}
			p.rebuild()
		} else {
			p.n.watches.Inc()
		}
		break
	}
	p.log.Info("following", "from", addr, "revision", p.mirror.Revision())
	p.stream.Store(conn)
	defer p.stream.Store(nil)
	began, told := time.Now(), false
	for ctx.Err() == nil {
		f, err := conn.Receive(p.timing.Silence)
		if err != nil {
			return err
		}
		events, err := f.TakeEvents()
		if err != nil {
			return err
		}
		for _, e := range events {
			if err := p.takeEvent(e); err != nil {
				p.mirror.Forget()
				return err
			}
		}
		if b := f.Bookmark; b != nil {
			p.mirror.Bookmark(b.Revision)
			p.heard.Store(int64(p.now()))
			p.line.Learn(b.Control)
			if b.Control != nil {
				p.setProxies(b.Proxies)
				p.told(b.Loads)
			}
			if b.Judged {
				p.judged(b.Verdicts)
			}
			if b.Round != nil {
				p.granted(b.Round)
			}
			// A node that lies nearer takes over, but not in a hurry: it may have
			// been left because it was not well.
			if p.line.Nearer(addr) && (!p.movedOnce || time.Since(began) > p.set.Bounds.Contact.D()) {
				p.movedOnce = true
				return errNearer
			}
		}
		rev := p.mirror.Revision()
		p.n.revision.Set(int64(rev))
		if f.Gone {
			return errors.New("plane: cut off as too slow")
		}
		if span := time.Since(*sweep); span > 2*p.timing.Silence/3 || (!told && f.Bookmark != nil) {
			told = true
			if span > p.timing.Silence/3 {
				*sweep = time.Now()
			}
			if r := p.routing.Load(); r != nil {
				p.sweep(r.services)
			}
			if err := conn.Send(&dowel.Frame{Ack: rev, Report: p.report(span)}); err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}
