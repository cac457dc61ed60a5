// Package metrics holds counters and the log (metrics and structured logging).
// Counters come first; a log line is written only when a state changes.
package metrics

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"sort"
	"sync"
	"sync/atomic"
)

// Counter is one figure, raised or set by the code that owns it.
type Counter struct{ v atomic.Int64 }

// Add raises the counter.
func (c *Counter) Add(n int64) { c.v.Add(n) }

// Inc raises the counter by one.
func (c *Counter) Inc() { c.v.Add(1) }

// Set makes the counter a gauge reading.
func (c *Counter) Set(n int64) { c.v.Store(n) }

// Value reads the counter.
func (c *Counter) Value() int64 { return c.v.Load() }

// Board is a set of named counters.
type Board struct {
	mu   sync.Mutex
	rows map[string]*Counter
}

// NewBoard makes an empty set.
func NewBoard() *Board { return &Board{rows: map[string]*Counter{}} }

// Counter finds or makes the counter of a name; labels come in pairs.
func (b *Board) Counter(name string, labels ...string) *Counter {
	key := "lichentray_" + name
	if len(labels) > 0 {
		key += "{"
		for i := 0; i+1 < len(labels); i += 2 {
			if i > 0 {
				key += ","
			}
			key += fmt.Sprintf("%s=%q", labels[i], labels[i+1])
		}
		key += "}"
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.rows[key]
	if c == nil {
		c = new(Counter)
		b.rows[key] = c
	}
	return c
}

// Write prints every counter in Prometheus text form, sorted by name.
func (b *Board) Write(w io.Writer) error {
	b.mu.Lock()
	names := make([]string, 0, len(b.rows))
	for n := range b.rows {
		names = append(names, n)
	}
	sort.Strings(names)
	rows := make([]*Counter, len(names))
	for i, n := range names {
		rows[i] = b.rows[n]
	}
	b.mu.Unlock()
	for i, n := range names {
		if _, err := fmt.Fprintf(w, "%s %d\n", n, rows[i].Value()); err != nil {
			return err
		}
	}
	return nil
}

// Log makes the process's logger: one line a change of state, with the
// node's name.
func Log(node, program string) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stdout, nil)).With("node", node, "program", program)
}
