// Package metrics holds the counters of a process and makes its logger.
//
// What happens often is counted; a line is logged only when a state changes. Counters are printed
// in the text form of Prometheus, each with the prefix lichentray_ and without a type.
//
// Everything in the package is safe for concurrent use. It starts no goroutine.
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

// namePrefix begins the name of every counter.
const namePrefix = "lichentray_"

// Counter is one figure. The code that owns it either raises it, or sets it as a gauge.
type Counter struct{ value atomic.Int64 }

// Add raises the counter by n.
func (c *Counter) Add(n int64) { c.value.Add(n) }

// Inc raises the counter by one.
func (c *Counter) Inc() { c.value.Add(1) }

// Set replaces the value, which makes the counter a gauge.
func (c *Counter) Set(n int64) { c.value.Store(n) }

// Value returns the present value.
func (c *Counter) Value() int64 { return c.value.Load() }

// Registry is a set of named counters. Counters are never removed.
type Registry struct {
	mu       sync.Mutex
	counters map[string]*Counter // by name and labels, as they are printed
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{counters: map[string]*Counter{}} }

// Counter returns the counter with a name and labels, and creates it with the value 0 if there is
// none. Labels are given as name, value, name, value; their order is part of the counter's
// identity. On a path where every nanosecond counts, the counter is kept by its user.
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

// counterKey returns a name with its labels as they are printed.
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

// WriteText prints every counter in the text form of Prometheus, sorted by name. The values are
// not of one moment. An error is that of w.
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

// NewLogger returns the logger of a process, which writes a line of text for each record to the
// standard output, with the names of the node and of the program.
func NewLogger(node, program string) *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stdout, nil)).With("node", node, "program", program)
}
