package controlplane

import (
	"slices"
	"time"

	"lichentray/raft"
)

// writeQueueLength bounds the writes that wait for the disk. The event loop waits
// when it is full.
const writeQueueLength = 4096

// durableStore is the disk of a log writer. It is implemented by storage.Store.
type durableStore interface {
	// Save returns once its arguments are durable, or changes nothing. replaceLog drops
	// all stored entries, as the snapshot includes them.
	Save(hardState *raft.HardState, snapshot *raft.Snapshot, replaceLog bool, entries []raft.Entry) error
	Close()
}

// logWriter makes entries, votes and snapshots durable, in the order in which they
// were submitted. It is a goroutine of its own, so that a slow disk delays only
// what depends on it. All writes that wait go into one sync.
type logWriter struct {
	*environment
	store durableStore
	queue chan writeRequest
	// send sends what must not leave before the write is durable.
	send func([]raft.Message)
	// reportPersisted informs consensus that the log is durable up to an entry.
	reportPersisted func(index, term uint64)
}

// writeRequest is a batch for the disk. At most one of the snapshots is set.
type writeRequest struct {
	hardState *raft.HardState
	// installedSnapshot came from the leader and replaces the complete log.
	installedSnapshot *raft.Snapshot
	// compactedSnapshot was made here and stands for the log up to its index.
	compactedSnapshot *raft.Snapshot
	// entries replace the log from the index of the first one on.
	entries       []raft.Entry
	sendAfterSync []raft.Message
}

// isEmpty reports whether nothing is to be written; there may be messages to send.
func (w *writeRequest) isEmpty() bool {
	return w.hardState == nil && w.installedSnapshot == nil && w.compactedSnapshot == nil && len(w.entries) == 0
}

func newLogWriter(env *environment, store durableStore) *logWriter {
	return &logWriter{environment: env, store: store, queue: make(chan writeRequest, writeQueueLength)}
}

// submit queues a write. It waits while the queue is full and drops the write when
// the node is closing.
func (w *logWriter) submit(request writeRequest) {
	select {
	case w.queue <- request:
	case <-w.ctx.Done():
	}
}

// run writes until the node closes, and closes the store then.
func (w *logWriter) run() {
	defer w.store.Close()
	for {
		select {
		case <-w.ctx.Done():
			return
		case request := <-w.queue:
			batch, next := w.collect(request)
			w.persist(batch)
			if next != nil {
				w.persist(*next)
			}
		}
	}
}

// collect merges whatever waits into the first request. An installed snapshot is
// never merged: if one is met, it is returned as next.
func (w *logWriter) collect(first writeRequest) (batch writeRequest, next *writeRequest) {
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

// mergeWrites returns one write with the effect of two in order, neither of which
// installs a snapshot.
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

// replaceTail returns entries with those from the first index of tail on replaced.
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

// persist writes a batch, then sends and reports what depended on it. When the
// node closes before the disk takes the write, nothing is sent or reported.
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

// save retries until the disk takes the write. It returns false when the node
// closes first.
func (w *logWriter) save(batch writeRequest) bool {
	for failures := 0; ; failures++ {
		err := w.saveOnce(batch)
		if err == nil {
			if failures > 0 {
				w.logger.Info("disk takes writes again")
			}
			return true
		}
		w.metrics.diskFailures.Inc()
		if failures == 0 {
			w.logger.Error("disk refuses writes, nothing is acknowledged until it takes them", "error", err)
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
