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

// savedWrite is one call of Save.
type savedWrite struct {
	hardState  *raft.HardState
	snapshot   *raft.Snapshot
	replaceLog bool
	entries    []raft.Entry
}

// fakeDisk records what is saved and refuses the first writes.
type fakeDisk struct {
	refusals int
	saved    []savedWrite
	isClosed bool
}

func (d *fakeDisk) Save(hardState *raft.HardState, snapshot *raft.Snapshot, replaceLog bool, entries []raft.Entry) error {
	if d.refusals > 0 {
		d.refusals--
		return errors.New("no space left")
	}
	d.saved = append(d.saved, savedWrite{hardState, snapshot, replaceLog, entries})
	return nil
}

func (d *fakeDisk) Close() { d.isClosed = true }

// newTestEnvironment returns an environment without settings, closed with the test.
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

// TestLogWriterSendsAfterTheDiskTakesTheWrite: nothing that depends on a write
// leaves before it is durable, however often the disk refuses it.
func TestLogWriterSendsAfterTheDiskTakesTheWrite(t *testing.T) {
	env := newTestEnvironment(t)
	disk := &fakeDisk{refusals: 3}
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
		t.Errorf("reported %+v, %d messages sent", got, sent)
	}
	if n := env.metrics.diskFailures.Value(); n != 3 {
		t.Errorf("%d failures counted, want 3", n)
	}
	env.close()
	if !disk.isClosed {
		t.Error("the disk is not closed with the node")
	}
}

// TestLogWriterDropsWritesOfAClosedNode: a write that the disk never took is
// neither sent nor reported, and does not delay the end of the node.
func TestLogWriterDropsWritesOfAClosedNode(t *testing.T) {
	env := newTestEnvironment(t)
	writer := newLogWriter(env, &fakeDisk{refusals: 1 << 30})
	writer.send = func([]raft.Message) { t.Error("sent without a write") }
	writer.reportPersisted = func(uint64, uint64) { t.Error("reported without a write") }
	writer.submit(writeRequest{entries: []raft.Entry{{Index: 1, Term: 1}}})
	env.start(writer.run)
	for env.metrics.diskFailures.Value() == 0 {
		time.Sleep(time.Millisecond)
	}
	env.close()
}

// TestInstalledSnapshotIsNotMerged: what waits before an installed snapshot is
// written before it, what waits after it stays in the queue.
func TestInstalledSnapshotIsNotMerged(t *testing.T) {
	writer := newLogWriter(newTestEnvironment(t), &fakeDisk{})
	installed := &raft.Snapshot{Index: 9}
	writer.submit(writeRequest{entries: []raft.Entry{{Index: 2, Term: 1}}})
	writer.submit(writeRequest{installedSnapshot: installed})
	writer.submit(writeRequest{entries: []raft.Entry{{Index: 10, Term: 2}}})
	batch, next := writer.collect(writeRequest{entries: []raft.Entry{{Index: 1, Term: 1}}})
	if len(batch.entries) != 2 || batch.installedSnapshot != nil {
		t.Errorf("before the snapshot: %+v", batch)
	}
	if next == nil || next.installedSnapshot != installed {
		t.Fatalf("the snapshot: %+v", next)
	}
	if len(writer.queue) != 1 {
		t.Errorf("%d writes wait, want 1", len(writer.queue))
	}
}

func TestMergeWrites(t *testing.T) {
	e := func(i, term uint64) raft.Entry { return raft.Entry{Index: i, Term: term} }
	j := mergeWrites(writeRequest{entries: []raft.Entry{e(5, 1), e(6, 1), e(7, 1)}, hardState: &raft.HardState{Term: 1}},
		writeRequest{entries: []raft.Entry{e(6, 2)}, hardState: &raft.HardState{Term: 2}})
	if len(j.entries) != 2 || j.entries[1].Term != 2 || j.hardState.Term != 2 {
		t.Errorf("a truncation was lost in the merge: %+v", j.entries)
	}
	j = mergeWrites(writeRequest{entries: []raft.Entry{e(5, 1), e(6, 1)}}, writeRequest{entries: []raft.Entry{e(3, 2)}})
	if len(j.entries) != 1 || j.entries[0].Index != 3 {
		t.Errorf("a truncation below the batch was lost: %+v", j.entries)
	}
}
