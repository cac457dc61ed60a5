package controlplane

import (
	"slices"
	"time"

	"lichentray/raft"
)

// writeQueueLength is the maximum number of queued writes. The event loop blocks while the
// queue is full.
const writeQueueLength = 4096

// durableStore is the store that a log writer writes to. storage.Store implements it.
type durableStore interface {
	// Save returns once its arguments are durable, or fails without changing anything.
	// replaceLog deletes all stored entries, as the snapshot includes them.
	Save(hardState *raft.HardState, snapshot *raft.Snapshot, replaceLog bool, entries []raft.Entry) error
	Close()
}

// logWriter makes entries, votes and snapshots durable in the order of their submission. It
// runs in its own goroutine, so that a slow disk delays only what depends on it. All queued
// writes share one sync.
type logWriter struct {
	*environment
	store durableStore
	queue chan writeRequest
	// send sends the messages that must not be sent before the write is durable.
	send func([]raft.Message)
	// reportPersisted informs consensus that the log is durable up to an entry.
	reportPersisted func(index, term uint64)
}

// writeRequest is a batch of writes. At most one of the snapshots is set.
type writeRequest struct {
	hardState *raft.HardState
	// installedSnapshot was received from the leader and replaces the complete log.
	installedSnapshot *raft.Snapshot
	// compactedSnapshot was created by this node and replaces the log up to its index.
	compactedSnapshot *raft.Snapshot
	// entries replace the log from the index of the first one.
	entries       []raft.Entry
	sendAfterSync []raft.Message
}

// isEmpty reports whether there is nothing to write. There may still be messages to send.
func (w *writeRequest) isEmpty() bool {
	return w.hardState == nil && w.installedSnapshot == nil && w.compactedSnapshot == nil && len(w.entries) == 0
}

func newLogWriter(env *environment, store durableStore) *logWriter {
	return &logWriter{environment: env, store: store, queue: make(chan writeRequest, writeQueueLength)}
}

// submit queues a write. It blocks while the queue is full and drops the write if the node is
// closing.
func (w *logWriter) submit(request writeRequest) {
	select {
	case w.queue <- request:
	case <-w.ctx.Done():
	}
}

// run processes writes until the node closes, and then closes the store.
func (w *logWriter) run() {
	defer w.store.Close()
	for {
		select {
		case <-w.ctx.Done():
			return
		case request := <-w.queue:
			batch, next := w.collectBatch(request)
			w.persist(batch)
			if next != nil {
				w.persist(*next)
			}
		}
	}
}

// collectBatch merges all queued requests into the first one. It never merges an installed
// snapshot: if it finds one, it returns that as next.
func (w *logWriter) collectBatch(first writeRequest) (batch writeRequest, next *writeRequest) {
	batch = first
	for batch.installedSnapshot == nil {
		select {
		case request := <-w.queue:
			if request.installedSnapshot != nil {
				return batch, &request
			}
			batch = mergeWrites(batch, request)
		default:
			return batch, nil
		}
	}
	return batch, nil
}

// mergeWrites returns one write with the effect of both in order. Neither of them may install a
// snapshot.
func mergeWrites(first, second writeRequest) writeRequest {
	merged := first
	if second.hardState != nil {
		merged.hardState = second.hardState
	}
	if second.compactedSnapshot != nil {
		merged.compactedSnapshot = second.compactedSnapshot
	}
	if len(second.entries) > 0 {
		merged.entries = replaceTail(first.entries, second.entries)
	}
	merged.sendAfterSync = append(merged.sendAfterSync, second.sendAfterSync...)
	return merged
}

// replaceTail returns entries with those from the first index of tail on replaced by tail.
func replaceTail(entries, tail []raft.Entry) []raft.Entry {
	kept := len(entries)
	for kept > 0 && entries[kept-1].Index >= tail[0].Index {
		kept--
	}
	if kept == 0 {
		return tail
	}
	return append(slices.Clip(entries[:kept]), tail...)
}

// persist saves a batch, then sends the messages and reports the index that depended on it. If
// the node closes before the batch is saved, nothing is sent or reported.
func (w *logWriter) persist(batch writeRequest) {
	if !batch.isEmpty() && !w.save(batch) {
		return
	}
	w.send(batch.sendAfterSync)
	if n := len(batch.entries); n > 0 {
		last := batch.entries[n-1]
		w.reportPersisted(last.Index, last.Term)
	}
}

// save retries until the batch is saved. It returns false if the node closes first.
func (w *logWriter) save(batch writeRequest) bool {
	for failures := 0; ; failures++ {
		err := w.saveOnce(batch)
		if err == nil {
			if failures > 0 {
				w.logger.Info("disk writes succeed again")
			}
			return true
		}
		w.metrics.diskFailures.Inc()
		if failures == 0 {
			w.logger.Error("disk write failed; nothing is acknowledged until writes succeed", "error", err)
		}
		select {
		case <-w.ctx.Done():
			return false
		case <-time.After(w.timing.HeartbeatInterval):
		}
	}
}

func (w *logWriter) saveOnce(batch writeRequest) error {
	snapshot := batch.compactedSnapshot
	if batch.installedSnapshot != nil {
		snapshot = batch.installedSnapshot
	}
	begin := time.Now()
	err := w.store.Save(batch.hardState, snapshot, batch.installedSnapshot != nil, batch.entries)
	w.metrics.diskSyncs.Inc()
	w.metrics.diskSyncMicros.Add(time.Since(begin).Microseconds())
	return err
}
