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

// hollowProxy follows the control plane as a proxy node does, but keeps no objects.
type hollowProxy struct {
	name     string
	node     string // internal address of the control-plane node that it follows
	services int    // that it reports the load of

	configurationEvents atomic.Int64 // received
	bookmarks           atomic.Int64 // received
	listBytes           atomic.Int64 // size of the newest list
	bookmarkBytes       atomic.Int64 // size of the largest bookmark that was measured
	reportBytes         atomic.Int64 // size of a report
}

const (
	reportInterval = 400 * time.Millisecond
	// measuredBookmarks is of how many bookmarks one is measured.
	measuredBookmarks = 20
)

// run follows the node until ctx ends, and connects again when that fails.
func (p *hollowProxy) run(ctx context.Context) {
	const retryInterval = 200 * time.Millisecond
	for ctx.Err() == nil {
		_ = p.follow(ctx) // the next attempt is the answer to any failure
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
	reported := time.Now()
	sequence := uint64(time.Now().UnixMilli())
	for {
		frame, err := conn.Receive(10 * time.Second)
		if err != nil {
			return err
		}
		if err := p.receive(frame); err != nil {
			return err
		}
		if frame.Bookmark == nil || time.Since(reported) <= reportInterval {
			continue
		}
		reported = time.Now()
		sequence++
		if err := conn.Send(&transport.Frame{Ack: frame.Bookmark.Revision, Report: p.report(sequence)}); err != nil {
			return err
		}
	}
}

// receive counts what a frame contains.
func (p *hollowProxy) receive(frame *transport.Frame) error {
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
	if frame.Bookmark != nil && p.bookmarks.Add(1)%measuredBookmarks == 0 {
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

// encodedSize returns how many bytes a value takes on the wire, without the description
// of its type, which is sent once.
func encodedSize(v any) int64 {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	if enc.Encode(v) != nil {
		return 0
	}
	first := b.Len()
	_ = enc.Encode(v) // it has succeeded before
	return int64(b.Len() - first)
}
