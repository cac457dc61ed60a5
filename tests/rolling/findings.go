package main

import (
	"errors"
	"fmt"
	"sync"
)

// maxFindings limits the findings that are kept; the first ones are closest to the cause.
const maxFindings = 20

// errFindings ends a run after a step with findings.
var errFindings = errors.New("run aborted because of findings")

// findings collects the violations found in a run. Its zero value is empty and ready
// for use. It is safe for concurrent use.
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
	return fmt.Errorf("%d findings, the first of them:\n%w", f.count, errors.Join(f.errs...))
}
