// Command cases plays the cases of the review against the project's own programs, which it
// starts as separate processes on the loopback. Clients, servers and the platform are
// stand-ins in this process; they follow the users' pages.
//
// Usage: cases NAME DIRECTORY. It writes DIRECTORY/record.txt and exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	longest   = 115 * time.Second
	maxDetail = 400 // lines of detail in a record
)

// run is one run of a case.
type run struct {
	fleet     *fleet
	isTrouble bool
	began     time.Time

	mu      sync.Mutex
	file    *os.File
	details int
}

// note writes a line to the record and to standard output.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f %s", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// detail writes a line to the record alone, up to a bound.
func (r *run) detail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.details++; r.details <= maxDetail {
		fmt.Fprintf(r.file, "%8.3f   %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	}
}

// impossible is the panic of a case that cannot run.
type impossible string

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		panic(impossible(err.Error()))
	}
}

// play is a case. It returns whether the rule was broken.
type play func(r *run) (isBroken bool)

// plays are the cases by name; each file of a case adds its own.
var plays = map[string]play{}

func main() { os.Exit(start()) }

func start() (code int) {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME DIRECTORY")
		return couldNot
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer file.Close()
	r := &run{began: time.Now(), file: file, isTrouble: os.Getenv("TROUBLE") != "0"}
	r.note("case %s, disruption: %v", os.Args[1], r.isTrouble)
	defer func() {
		if r.fleet != nil {
			r.fleet.end()
		}
		if reason := recover(); reason != nil { // impossible, or a fault of the case itself
			r.note("could not run: %v", reason)
			code = couldNot
		}
		r.note("exit code %d", code)
	}()
	giveUp := func(reason string) {
		r.note("could not run: %s", reason)
		if r.fleet != nil {
			r.fleet.end()
		}
		os.Exit(couldNot)
	}
	time.AfterFunc(longest, func() { giveUp(fmt.Sprintf("it took over %v", longest)) })
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() { giveUp((<-interrupted).String()) }()
	if plays[os.Args[1]](r) {
		r.note("BROKEN")
		return broken
	}
	r.note("held")
	return held
}
