package main

import (
	"errors"
	"fmt"
	"sync"
)

// maxFindings bounds what is kept; the first ones tell most.
const maxFindings = 20

// errFindings ends a run after a step in which something was found to be wrong.
var errFindings = errors.New("the run ends here because of what was found")

// findings collects what was found to be wrong. Its zero value is empty, and all
// goroutines may use it.
type findings struct {
	mu    sync.Mutex
	count int
	errs  []error
}

// addf adds one finding.
func (f *findings) addf(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	if len(f.errs) < maxFindings {
		f.errs = append(f.errs, fmt.Errorf(format, args...))
	}
}

// err returns all findings as one error, or nil if there are none.
func (f *findings) err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count == 0 {
		return nil
	}
	return fmt.Errorf("%d findings, the first ones:\n%w", f.count, errors.Join(f.errs...))
}
