package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	heldLock     = "rolling-held"
	heldLockBy   = "keeper"
	passedLock   = "rolling-passed"
	numberName   = "rolling-number"
	cellGroup    = "rolling."
	workerPause  = 40 * time.Millisecond // between two calls of one worker
	heldLease    = 2 * upBound           // outlasts a node's start
	passedLease  = 2 * time.Second
	refusedEvery = 10 // puts of a writer until one that has to be refused
)

// cells are the cells of the group; each has one writer.
var cells = []string{cellGroup + "a", cellGroup + "b", cellGroup + "c", cellGroup + "d"}

// load is the callers of the control plane that run all the while.
type load struct {
	client   *client
	history  *history
	findings *findings
	held     uint64 // fence of the held lock
	from     uint64 // revision from which the watches follow

	stop    chan struct{} // closed to end the workers
	workers sync.WaitGroup
}

// newLoad takes the held lock and makes the first put, from which the watches follow.
func newLoad(ctx context.Context, c *client, h *history, f *findings) (*load, error) {
	l := &load{client: c, history: h, findings: f, stop: make(chan struct{})}
	status, fence, err := l.acquire(ctx, heldLock, heldLockBy, heldLease)
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("lock: status %d: %w", status, err)
	}
	l.held = fence
	h.addFence(0, fence)
	l.from, err = l.put(ctx, put{cells[0], "first"}, nil)
	return l, err
}

// start starts the callers of the control plane. wait ends them.
func (l *load) start(ctx context.Context) {
	l.run(ctx, "holder of a lock", l.renewHeldLock)
	l.run(ctx, "rival for a lock", l.askForHeldLock)
	l.run(ctx, "passing of a lock", l.passLock)
	for range 2 {
		l.run(ctx, "drawing of numbers", l.drawNumber)
	}
	for i, name := range cells {
		w := &cellWriter{load: l, name: name}
		if i == 0 {
			w.revision = l.from
		}
		l.run(ctx, "writer of "+name, w.write)
	}
	l.run(ctx, "reader of cells", l.readCells)
	for i := range 2 {
		w := &follower{load: l, who: fmt.Sprint("watch ", i+1), at: l.from}
		l.run(ctx, w.who, w.follow)
	}
}

// run starts a worker that repeats a step until the load is ended. A step that has
// begun is waited for, so that no call is under way when the last checks are made.
func (l *load) run(ctx context.Context, who string, step func(context.Context, int) error) {
	l.workers.Go(func() {
		for n := 0; ; n++ {
			if err := step(ctx, n); err != nil {
				l.findings.addf("%s: %w", who, err)
			}
			select {
			case <-l.stop:
				return
			case <-ctx.Done():
				return
			case <-time.After(workerPause):
			}
		}
	})
}

// wait ends the load and waits until no call is under way.
func (l *load) wait() {
	close(l.stop)
	l.workers.Wait()
}

// acquire asks for a lock; the status is 200 or 409.
func (l *load) acquire(ctx context.Context, name, holder string, lease time.Duration) (status int, fence uint64, err error) {
	var answer struct {
		Fence uint64 `json:"fence"`
	}
	status, err = l.client.rpc(ctx, "locks.begin", name, map[string]any{"holder": holder, "hold_s": lease.Seconds()}, &answer)
	return status, answer.Fence, err
}

// renewHeldLock renews the lock that is held all the while.
func (l *load) renewHeldLock(ctx context.Context, _ int) error {
	status, err := l.client.rpc(ctx, "locks.heartbeat", heldLock,
		map[string]any{"holder": heldLockBy, "fence": l.held, "hold_s": heldLease.Seconds()}, nil)
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("the lock is lost while it is held: status %d", status)
	}
	return err
}

// askForHeldLock asks for it as another holder, which must never succeed.
func (l *load) askForHeldLock(ctx context.Context, _ int) error {
	status, fence, err := l.acquire(ctx, heldLock, "rival", heldLease)
	if err == nil && status != http.StatusConflict {
		return fmt.Errorf("status %d, fence %d for a lock that another holds", status, fence)
	}
	return err
}

// passLock takes a lock as a new holder and gives it back. A call without a clear
// answer may still be under way and take the lock for the former holder, until its
// lease is over.
func (l *load) passLock(ctx context.Context, n int) error {
	holder := fmt.Sprint("holder-", n)
	for end := time.Now().Add(upBound); ; {
		before := l.history.highestFence()
		status, fence, err := l.acquire(ctx, passedLock, holder, passedLease)
		if err != nil {
			return err
		}
		if status == http.StatusOK {
			l.history.addFence(before, fence)
			status, err = l.client.rpc(ctx, "locks.finish", passedLock, map[string]any{"holder": holder, "fence": fence}, nil)
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("finish: status %d", status)
			}
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("status %d for a lock that nobody holds", status)
		}
		time.Sleep(workerPause)
	}
}

// drawNumber draws one number.
func (l *load) drawNumber(ctx context.Context, _ int) error {
	before := l.history.highestNumber()
	var answer struct {
		Value uint64 `json:"value"`
	}
	status, err := l.client.do(ctx, http.MethodPost, "/api/numbers/"+numberName, struct{}{}, &answer)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	l.history.addNumber(before, answer.Value)
	return nil
}

// put puts a value and takes it into the history. A put that is repeated gets its
// first revision.
func (l *load) put(ctx context.Context, p put, expected *uint64) (revision uint64, err error) {
	body := map[string]any{"value": p.value}
	if expected != nil {
		body["enabled"] = *expected
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	before := l.history.highestRevision()
	status, err := l.client.rpc(ctx, "cells.replace", p.name, body, &answer)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, fmt.Errorf("put of %v: status %d, revision %d", p, status, answer.Revision)
	}
	l.history.addPut(before, answer.Revision, p)
	return answer.Revision, nil
}

// cellWriter is the only writer of one cell.
type cellWriter struct {
	load     *load
	name     string
	revision uint64 // of the cell; 0 before the first put
}

// write puts one value: mostly under the condition that the cell is as it was left,
// at times without one, at times under one that does not hold.
func (w *cellWriter) write(ctx context.Context, n int) error {
	p := put{w.name, fmt.Sprint(w.name, "=", n)}
	if n%refusedEvery == refusedEvery-1 {
		return w.writeRefused(ctx, p)
	}
	expected := &w.revision
	if n%3 == 0 {
		expected = nil
	}
	revision, err := w.load.put(ctx, p, expected)
	if err == nil {
		w.revision = revision
	}
	return err
}

// writeRefused puts under a revision that the cell has no longer.
func (w *cellWriter) writeRefused(ctx context.Context, p put) error {
	w.load.history.addRefused(p.value)
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	status, err := w.load.client.rpc(ctx, "cells.replace", p.name, map[string]any{"value": p.value, "enabled": w.revision - 1}, &answer)
	if err == nil && (status != http.StatusPreconditionFailed || answer.Revision != w.revision) {
		err = fmt.Errorf("put of %v under revision %d: status %d, revision %d; want 412, revision %d",
			p, w.revision-1, status, answer.Revision, w.revision)
	}
	return err
}

// readCell reads a cell through a client and takes what it gives into the history.
func readCell(ctx context.Context, c *client, h *history, name string) error {
	before := h.newestOf(name)
	var answer struct {
		Value    string `json:"value"`
		Revision uint64 `json:"revision"`
	}
	status, err := c.rpc(ctx, "cells.read", name, nil, &answer)
	if err != nil {
		return err
	}
	if status == http.StatusNotFound && before == 0 {
		return nil
	}
	if status != http.StatusOK {
		return fmt.Errorf("read of %s: status %d", name, status)
	}
	h.addRead(before, read{put{name, answer.Value}, answer.Revision})
	return nil
}

// readCells reads one cell after the other.
func (l *load) readCells(ctx context.Context, n int) error {
	return readCell(ctx, l.client, l.history, cells[n%len(cells)])
}

// follower is a watch that is followed from the first put on.
type follower struct {
	load *load
	who  string
	at   uint64 // the newest revision that it got
}

// follow makes one long poll.
func (w *follower) follow(ctx context.Context, _ int) error {
	events, err := watchOnce(ctx, w.load.client, w.at, callTimeout/3)
	if err != nil {
		return err
	}
	w.load.history.checkEvents(w.who, w.at, events, false)
	w.at += uint64(len(events))
	return nil
}

// watchOnce asks for the events of the group after a revision.
func watchOnce(ctx context.Context, c *client, after uint64, wait time.Duration) ([]event, error) {
	var answer struct {
		Events   []event `json:"events"`
		Revision uint64  `json:"revision"`
	}
	path := fmt.Sprintf("/api/watch/%s?after=%d&wait_ms=%d", cellGroup, after, wait.Milliseconds())
	status, err := c.do(ctx, http.MethodGet, path, nil, &answer)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("watch after %d: status %d", after, status)
	}
	if last := after + uint64(len(answer.Events)); answer.Revision != last {
		return nil, fmt.Errorf("watch after %d: %d events up to revision %d", after, len(answer.Events), answer.Revision)
	}
	return answer.Events, nil
}

// resumeWatch reads all events after a revision until the group's revision is at
// least upTo, and checks them.
func resumeWatch(ctx context.Context, c *client, h *history, who string, after, upTo uint64, isFinal bool) error {
	var all []event
	for at := after; at < upTo; at = after + uint64(len(all)) {
		events, err := watchOnce(ctx, c, at, callTimeout/3)
		if err != nil {
			return err
		}
		if len(events) == 0 {
			return errors.New(who + ": no events, though there were puts")
		}
		all = append(all, events...)
	}
	h.checkEvents(who, after, all, isFinal)
	return nil
}
