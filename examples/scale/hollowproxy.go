package main

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"sync/atomic"
	"time"

	"lichentray/internal/transport"
	"lichentray/loadbalance"
	"lichentray/registry"
)

// hollowProxy follows the control plane like a proxy node, but stores no objects.
type hollowProxy struct {
	name     string
	node     string // internal address of the control-plane node that it follows
	services int    // number of services whose load it reports

	configurationEvents atomic.Int64 // number received
	bookmarks           atomic.Int64 // number received
	listBytes           atomic.Int64 // size of the newest list
	bookmarkBytes       atomic.Int64 // size of the largest measured bookmark
	reportBytes         atomic.Int64 // size of a report
}

const (
	reportInterval = 400 * time.Millisecond
	// bookmarksPerSample is the number of bookmarks of which one is measured.
	bookmarksPerSample = 20
)

// run follows the node until ctx is canceled, and reconnects after a failure.
func (p *hollowProxy) run(ctx context.Context) {
	const retryInterval = 200 * time.Millisecond
	for ctx.Err() == nil {
		_ = p.follow(ctx) // any failure is followed by another attempt
		time.Sleep(retryInterval)
	}
}

// follow lists and watches until the connection fails.
func (p *hollowProxy) follow(ctx context.Context) error {
	conn, err := transport.Dial(ctx, p.node, 5*time.Second, transport.Hello{Role: transport.RoleProxy, Node: p.name})
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.Close)()
	if err := conn.Send(&transport.Frame{Ask: &transport.Request{ID: 1, List: true, Packs: true}}); err != nil {
		return err
	}
	lastReport := time.Now()
	sequence := uint64(time.Now().UnixMilli())
	for {
		frame, err := conn.Receive(10 * time.Second)
		if err != nil {
			return err
		}
		if err := p.countFrame(frame); err != nil {
			return err
		}
		if frame.Bookmark == nil || time.Since(lastReport) <= reportInterval {
			continue
		}
		lastReport = time.Now()
		sequence++
		if err := conn.Send(&transport.Frame{Ack: frame.Bookmark.Revision, Report: p.report(sequence)}); err != nil {
			return err
		}
	}
}

// countFrame updates the counters and sizes from the content of a frame. It returns an error
// if the node has rejected the request or the frame is invalid.
func (p *hollowProxy) countFrame(frame *transport.Frame) error {
	if answer := frame.Answer; answer != nil {
		if answer.Failed {
			return errors.New(answer.Detail)
		}
		p.listBytes.Store(int64(len(answer.Packed)))
	}
	events, err := frame.UnpackEvents()
	if err != nil {
		return err
	}
	for _, e := range events {
		if e.Object.Key == registry.ConfigKey {
			p.configurationEvents.Add(1)
		}
	}
	if frame.Bookmark != nil && p.bookmarks.Add(1)%bookmarksPerSample == 0 {
		p.bookmarkBytes.Store(max(p.bookmarkBytes.Load(), encodedSize(frame.Bookmark)))
	}
	return nil
}

// report returns a report with the load of every service.
func (p *hollowProxy) report(sequence uint64) *transport.ProxyReport {
	loads := map[string]loadbalance.Load{}
	for s := range p.services {
		loads[serviceName(s)] = loadbalance.Load{Rate: 1, Inflight: 0.3}
	}
	report := &transport.ProxyReport{Seq: sequence, Loads: loads}
	if p.reportBytes.Load() == 0 {
		p.reportBytes.Store(encodedSize(report))
	}
	return report
}

// encodedSize returns the size of a value on the wire in bytes, without the type description
// that gob sends once per connection.
func encodedSize(v any) int64 {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	if enc.Encode(v) != nil {
		return 0
	}
	first := b.Len()
	_ = enc.Encode(v) // cannot fail, as the first call succeeded
	return int64(b.Len() - first)
}
