// Package metrics provides the metrics and the logger of a process.
//
// Frequent events are counted; log lines are written only when a state changes. Metrics are
// exposed in the Prometheus text format, with the prefix lichentray_ and without type information.
//
// The package is safe for concurrent use and starts no goroutine.
package metrics

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// namePrefix is the prefix of every metric name.
const namePrefix = "lichentray_"

// Counter is one metric. Its owner uses it either as a counter, with Add and Inc, or as a gauge,
// with Set.
type Counter struct{ value atomic.Int64 }

// Add increases the counter by n.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Inc increases the counter by 1.
func (c *Counter) Inc() { c.value.Add(1) }

// Set sets the value of a gauge.
func (c *Counter) Set(n int64) { c.value.Store(n) }

// Value returns the current value.
func (c *Counter) Value() int64 { return c.value.Load() }

// Registry is a set of named counters. Counters are never removed.
type Registry struct {
	mu       sync.Mutex
	counters map[string]*Counter // by counterKey
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{counters: map[string]*Counter{}} }

// Counter returns the counter with the given name and labels, and creates it with the value 0 if it
// does not exist. Labels are alternating names and values; their order is part of the counter's
// identity. Callers on performance-critical paths keep the returned counter to avoid the lookup.
func (r *Registry) Counter(name string, labels ...string) *Counter {
	key := counterKey(name, labels)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counters[key]
	if c == nil {
		c = new(Counter)
		r.counters[key] = c
	}
	return c
}

// counterKey returns the name and the labels of a counter in the Prometheus text format.
func counterKey(name string, labels []string) string {
	if len(labels) == 0 {
		return namePrefix + name
	}
	var key strings.Builder
	key.WriteString(namePrefix)
	key.WriteString(name)
	separator := "{"
	for i := 0; i+1 < len(labels); i += 2 {
		key.WriteString(separator)
		key.WriteString(labels[i])
		key.WriteString("=")
		key.WriteString(strconv.Quote(labels[i+1]))
		separator = ","
	}
	key.WriteString("}")
	return key.String()
}

// WriteText writes all counters to w in the Prometheus text format, sorted by name. The values are
// not an atomic snapshot. The returned error is that of w.
func (r *Registry) WriteText(w io.Writer) error {
	names, counters := r.sorted()
	for i, name := range names {
		if _, err := fmt.Fprintf(w, "%s %d\n", name, counters[i].Value()); err != nil {
			return err
		}
	}
	return nil
}

// sorted returns all counters, sorted by name.
func (r *Registry) sorted() (names []string, counters []*Counter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	names = make([]string, 0, len(r.counters))
	for name := range r.counters {
		names = append(names, name)
	}
	slices.Sort(names)
	counters = make([]*Counter, len(names))
	for i, name := range names {
		counters[i] = r.counters[name]
	}
	return names, counters
}

// NewLogger returns the logger of a process. It writes one line of text per record to standard
// output, with the names of the node and the program as attributes.
func NewLogger(node, program string) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stdout, nil)).With("node", node, "program", program)
}
