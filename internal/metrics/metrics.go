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
type Counter struct{ value atomic.Int64 }

// Add raises the counter.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Inc raises the counter by one.
func (c *Counter) Inc() { c.value.Add(1) }

// Set makes the counter a gauge reading.
func (c *Counter) Set(n int64) { c.value.Store(n) }

// Value reads the counter.
func (c *Counter) Value() int64 { return c.value.Load() }

// Registry is a set of named counters.
type Registry struct {
	mu       sync.Mutex
	counters map[string]*Counter
}

// NewRegistry makes an empty set.
func NewRegistry() *Registry { return &Registry{counters: map[string]*Counter{}} }

// Counter finds or makes the counter of a name; labels come in pairs.
func (b *Registry) Counter(name string, labels ...string) *Counter {
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
	c := b.counters[key]
	if c == nil {
		c = new(Counter)
		b.counters[key] = c
	}
	return c
}

// WriteText prints every counter in Prometheus text form, sorted by name.
func (b *Registry) WriteText(w io.Writer) error {
	b.mu.Lock()
	names := make([]string, 0, len(b.counters))
	for n := range b.counters {
		names = append(names, n)
	}
	sort.Strings(names)
	rows := make([]*Counter, len(names))
	for i, n := range names {
		rows[i] = b.counters[n]
	}
	b.mu.Unlock()
	for i, n := range names {
		if _, err := fmt.Fprintf(w, "%s %d\n", n, rows[i].Value()); err != nil {
			return err
		}
	}
	return nil
}

// NewLogger makes the process's logger: one line a change of state, with the
// node's name.
func NewLogger(node, program string) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stdout, nil)).With("node", node, "program", program)
}
