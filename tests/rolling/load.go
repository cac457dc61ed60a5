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
	heldLock        = "rolling-held"
	heldLockHolder  = "keeper"
	handoverLock    = "rolling-passed"
	numberName      = "rolling-number"
	cellGroup       = "rolling."
	workerInterval  = 40 * time.Millisecond // between two calls of one worker
	heldLease       = 2 * operationTimeout  // longer than a node's restart
	handoverLease   = 2 * time.Second
	staleWriteEvery = 10 // every such put of a writer has a stale revision
)

// cellNames are the names of the group's cells; each cell has one writer.
var cellNames = []string{cellGroup + "a", cellGroup + "b", cellGroup + "c", cellGroup + "d"}

// load runs the workers that call the control plane throughout the run.
type load struct {
	client        *client
	history       *history
	findings      *findings
	heldFence     uint64 // fencing token of the held lock
	startRevision uint64 // revision after which the watches start

	stop    chan struct{} // closed to end the workers
	workers sync.WaitGroup
}

// newLoad acquires the held lock and makes the first put, after which the watches start.
func newLoad(ctx context.Context, c *client, h *history, f *findings) (*load, error) {
	l := &load{client: c, history: h, findings: f, stop: make(chan struct{})}
	status, fence, err := l.acquire(ctx, heldLock, heldLockHolder, heldLease)
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("acquiring the held lock: status %d: %w", status, err)
	}
	l.heldFence = fence
	h.addFence(0, fence)
	l.startRevision, err = l.put(ctx, put{cellNames[0], "first"}, nil)
	return l, err
}

// start starts the workers that call the control plane. stopAndWait ends them.
func (l *load) start(ctx context.Context) {
	l.runWorker(ctx, "lock holder", l.renewHeldLock)
	l.runWorker(ctx, "lock contender", l.contendForHeldLock)
	l.runWorker(ctx, "lock handover", l.handOverLock)
	for range 2 {
		l.runWorker(ctx, "number allocation", l.allocateNumber)
	}
	for i, name := range cellNames {
		w := &cellWriter{load: l, name: name}
		if i == 0 {
			w.revision = l.startRevision
		}
		l.runWorker(ctx, "writer of "+name, w.write)
	}
	l.runWorker(ctx, "cell reader", l.readCells)
	for i := range 2 {
		w := &watcher{load: l, name: fmt.Sprint("watch ", i+1), revision: l.startRevision}
		l.runWorker(ctx, w.name, w.poll)
	}
}

// runWorker starts a worker that repeats a step until the load is stopped. A step in
// progress is completed, so that no call is in progress during the final checks.
func (l *load) runWorker(ctx context.Context, who string, step func(context.Context, int) error) {
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
			case <-time.After(workerInterval):
			}
		}
	})
}

// stopAndWait stops the workers and waits until their last calls have returned.
func (l *load) stopAndWait() {
	close(l.stop)
	l.workers.Wait()
}

// acquire calls locks.begin; the status is 200 if it is granted and 409 if another holds it.
func (l *load) acquire(ctx context.Context, name, holder string, lease time.Duration) (status int, fence uint64, err error) {
	var answer struct {
		Fence uint64 `json:"fence"`
	}
	status, err = l.client.rpc(ctx, "locks.begin", name, map[string]any{"holder": holder, "hold_s": lease.Seconds()}, &answer)
	return status, answer.Fence, err
}

// renewHeldLock renews the lease of the held lock.
func (l *load) renewHeldLock(ctx context.Context, _ int) error {
	status, err := l.client.rpc(ctx, "locks.heartbeat", heldLock,
		map[string]any{"holder": heldLockHolder, "fence": l.heldFence, "hold_s": heldLease.Seconds()}, nil)
	if err == nil && status != http.StatusOK {
		return fmt.Errorf("renewing a held lock: status %d, want 200", status)
	}
	return err
}

// contendForHeldLock tries to acquire the held lock as another holder, which must never succeed.
func (l *load) contendForHeldLock(ctx context.Context, _ int) error {
	status, fence, err := l.acquire(ctx, heldLock, "rival", heldLease)
	if err == nil && status != http.StatusConflict {
		return fmt.Errorf("acquiring a lock that another holds: status %d, fencing token %d; want 409", status, fence)
	}
	return err
}

// handOverLock acquires a lock as a new holder and releases it. An earlier attempt
// whose outcome is unknown may still be executed and acquire the lock for a former
// holder until the lease expires, so acquiring is retried.
func (l *load) handOverLock(ctx context.Context, n int) error {
	holder := fmt.Sprint("holder-", n)
	for end := time.Now().Add(operationTimeout); ; {
		before := l.history.highestFence()
		status, fence, err := l.acquire(ctx, handoverLock, holder, handoverLease)
		if err != nil {
			return err
		}
		if status == http.StatusOK {
			l.history.addFence(before, fence)
			status, err = l.client.rpc(ctx, "locks.finish", handoverLock, map[string]any{"holder": holder, "fence": fence}, nil)
			if err == nil && status != http.StatusOK {
				err = fmt.Errorf("locks.finish: status %d, want 200", status)
			}
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("acquiring a free lock: status %d, want 200", status)
		}
		time.Sleep(workerInterval)
	}
}

// allocateNumber allocates one number and records it.
func (l *load) allocateNumber(ctx context.Context, _ int) error {
	before := l.history.highestNumber()
	var answer struct {
		Value uint64 `json:"value"`
	}
	status, err := l.client.do(ctx, http.MethodPost, "/api/numbers/"+numberName, struct{}{}, &answer)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("allocating a number: status %d, want 200", status)
	}
	l.history.addNumber(before, answer.Value)
	return nil
}

// put puts a value and records it in the history. A retried put returns the revision of
// its first execution.
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
		return 0, fmt.Errorf("put of %v: status %d, revision %d; want 200", p, status, answer.Revision)
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

// write puts one value: usually on condition that the cell still has the revision of the
// writer's last put, sometimes unconditionally, sometimes with a stale revision.
func (w *cellWriter) write(ctx context.Context, n int) error {
	p := put{w.name, fmt.Sprint(w.name, "=", n)}
	if n%staleWriteEvery == staleWriteEvery-1 {
		return w.writeStale(ctx, p)
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

// writeStale makes a put with a stale expected revision, which has to be rejected.
func (w *cellWriter) writeStale(ctx context.Context, p put) error {
	w.load.history.addRejected(p.value)
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	status, err := w.load.client.rpc(ctx, "cells.replace", p.name, map[string]any{"value": p.value, "enabled": w.revision - 1}, &answer)
	if err == nil && (status != http.StatusPreconditionFailed || answer.Revision != w.revision) {
		err = fmt.Errorf("put of %v with expected revision %d: status %d, revision %d; want 412, revision %d",
			p, w.revision-1, status, answer.Revision, w.revision)
	}
	return err
}

// readCell reads a cell through a client and records the result in the history.
func readCell(ctx context.Context, c *client, h *history, name string) error {
	before := h.latestRevision(name)
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
		return fmt.Errorf("read of cell %s: status %d, want 200", name, status)
	}
	h.addRead(before, read{put{name, answer.Value}, answer.Revision})
	return nil
}

// readCells reads one cell, the next one with each n.
func (l *load) readCells(ctx context.Context, n int) error {
	return readCell(ctx, l.client, l.history, cellNames[n%len(cellNames)])
}

// watcher follows a watch of the group, starting after the first put.
type watcher struct {
	load     *load
	name     string
	revision uint64 // of the last event received
}

// poll makes one long poll.
func (w *watcher) poll(ctx context.Context, _ int) error {
	events, err := watchOnce(ctx, w.load.client, w.revision, attemptTimeout/3)
	if err != nil {
		return err
	}
	w.load.history.checkEvents(w.name, w.revision, events, false)
	w.revision += uint64(len(events))
	return nil
}

// watchOnce makes one long poll for the events of the group after a revision.
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
		return nil, fmt.Errorf("watch after %d: status %d, want 200", after, status)
	}
	if last := after + uint64(len(answer.Events)); answer.Revision != last {
		return nil, fmt.Errorf("watch after %d: %d events, but revision %d", after, len(answer.Events), answer.Revision)
	}
	return answer.Events, nil
}

// resumeWatch reads and checks all events after a revision, until their revision is at
// least upTo.
func resumeWatch(ctx context.Context, c *client, h *history, who string, after, upTo uint64, isFinal bool) error {
	var all []event
	for at := after; at < upTo; at = after + uint64(len(all)) {
		events, err := watchOnce(ctx, c, at, attemptTimeout/3)
		if err != nil {
			return err
		}
		if len(events) == 0 {
			return errors.New(who + ": no events, want those of acknowledged puts")
		}
		all = append(all, events...)
	}
	h.checkEvents(who, after, all, isFinal)
	return nil
}
