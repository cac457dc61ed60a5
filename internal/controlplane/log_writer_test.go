package controlplane

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"lichentray/internal/metrics"
	"lichentray/raft"
)

// savedWrite holds the arguments of one call of Save.
type savedWrite struct {
	hardState  *raft.HardState
	snapshot   *raft.Snapshot
	replaceLog bool
	entries    []raft.Entry
}

// fakeStore records what is saved. Its first remainingFailures writes fail.
type fakeStore struct {
	remainingFailures int
	saved             []savedWrite
	isClosed          bool
}

func (s *fakeStore) Save(hardState *raft.HardState, snapshot *raft.Snapshot, replaceLog bool, entries []raft.Entry) error {
	if s.remainingFailures > 0 {
		s.remainingFailures--
		return errors.New("no space left")
	}
	s.saved = append(s.saved, savedWrite{hardState, snapshot, replaceLog, entries})
	return nil
}

func (s *fakeStore) Close() { s.isClosed = true }

// newTestEnvironment returns an environment without settings. It is closed at the end of the
// test.
func newTestEnvironment(t *testing.T) *environment {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	env := &environment{
		timing:    Timing{TickInterval: time.Millisecond, HeartbeatInterval: time.Millisecond, ElectionTimeout: 20 * time.Millisecond, RequestTimeout: time.Second},
		logger:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		metrics:   newNodeMetrics(metrics.NewRegistry()),
		startedAt: time.Now(),
		self:      raft.Member{ID: 1, Addr: "127.0.0.1:1"},
		ctx:       ctx,
		cancel:    cancel,
	}
	t.Cleanup(env.close)
	return env
}

// TestLogWriterSendsAfterWriteIsDurable guards against messages or reports that leave before
// the write they depend on is durable, when the first attempts to write fail.
func TestLogWriterSendsAfterWriteIsDurable(t *testing.T) {
	env := newTestEnvironment(t)
	disk := &fakeStore{remainingFailures: 3}
	writer := newLogWriter(env, disk)
	type report struct{ index, term uint64 }
	reports := make(chan report, 1)
	sent := 0
	writer.send = func(messages []raft.Message) {
		if len(disk.saved) == 0 {
			t.Error("sent before the write was durable")
		}
		sent += len(messages)
	}
	writer.reportPersisted = func(index, term uint64) { reports <- report{index, term} }
	entries := []raft.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}
	writer.submit(writeRequest{entries: entries, sendAfterSync: []raft.Message{{To: 2}}})
	env.start(writer.run)
	if got := <-reports; got != (report{2, 1}) || sent != 1 {
		t.Errorf("reported %+v, %d messages sent; want {2 1} and 1", got, sent)
	}
	if n := env.metrics.diskFailures.Value(); n != 3 {
		t.Errorf("diskFailures = %d, want 3", n)
	}
	env.close()
	if !disk.isClosed {
		t.Error("the store was not closed with the node")
	}
}

// TestLogWriterDropsWritesOfClosedNode guards against a closing node that sends or reports a
// write that never succeeded, or that waits for such a write.
func TestLogWriterDropsWritesOfClosedNode(t *testing.T) {
	env := newTestEnvironment(t)
	writer := newLogWriter(env, &fakeStore{remainingFailures: 1 << 30})
	writer.send = func([]raft.Message) { t.Error("messages sent without a durable write") }
	writer.reportPersisted = func(uint64, uint64) { t.Error("index reported without a durable write") }
	writer.submit(writeRequest{entries: []raft.Entry{{Index: 1, Term: 1}}})
	env.start(writer.run)
	for env.metrics.diskFailures.Value() == 0 {
		time.Sleep(time.Millisecond)
	}
	env.close()
}

// TestInstalledSnapshotIsNotMerged guards against writes that are reordered around an installed
// snapshot: those queued before it must be written before it, and those after it must stay in
// the queue.
func TestInstalledSnapshotIsNotMerged(t *testing.T) {
	writer := newLogWriter(newTestEnvironment(t), &fakeStore{})
	installed := &raft.Snapshot{Index: 9}
	writer.submit(writeRequest{entries: []raft.Entry{{Index: 2, Term: 1}}})
	writer.submit(writeRequest{installedSnapshot: installed})
	writer.submit(writeRequest{entries: []raft.Entry{{Index: 10, Term: 2}}})
	batch, next := writer.collectBatch(writeRequest{entries: []raft.Entry{{Index: 1, Term: 1}}})
	if len(batch.entries) != 2 || batch.installedSnapshot != nil {
		t.Errorf("batch before the snapshot: %+v", batch)
	}
	if next == nil || next.installedSnapshot != installed {
		t.Fatalf("next = %+v, want the installed snapshot", next)
	}
	if len(writer.queue) != 1 {
		t.Errorf("%d writes queued, want 1", len(writer.queue))
	}
}

func TestMergeWrites(t *testing.T) {
	e := func(i, term uint64) raft.Entry { return raft.Entry{Index: i, Term: term} }
	merged := mergeWrites(writeRequest{entries: []raft.Entry{e(5, 1), e(6, 1), e(7, 1)}, hardState: &raft.HardState{Term: 1}},
		writeRequest{entries: []raft.Entry{e(6, 2)}, hardState: &raft.HardState{Term: 2}})
	if len(merged.entries) != 2 || merged.entries[1].Term != 2 || merged.hardState.Term != 2 {
		t.Errorf("a truncation was lost in the merge: %+v", merged.entries)
	}
	merged = mergeWrites(writeRequest{entries: []raft.Entry{e(5, 1), e(6, 1)}}, writeRequest{entries: []raft.Entry{e(3, 2)}})
	if len(merged.entries) != 1 || merged.entries[0].Index != 3 {
		t.Errorf("a truncation below the batch was lost: %+v", merged.entries)
	}
}
