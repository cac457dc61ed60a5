package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// process is a running program.
type process struct {
	name    string
	command *exec.Cmd
	// log may be read once ended is closed.
	log   bytes.Buffer
	ended chan struct{}
	// maxDescriptors is the largest number of open descriptors that was counted.
	maxDescriptors atomic.Int64
}

// countDescriptors counts the open descriptors until the process ends.
func (p *process) countDescriptors() {
	for {
		select {
		case <-p.ended:
			return
		case <-time.After(pollInterval):
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
		if err == nil && int64(len(entries)) > p.maxDescriptors.Load() {
			p.maxDescriptors.Store(int64(len(entries)))
		}
	}
}

// peakMemoryKB returns the largest resident memory so far, in KiB.
func (p *process) peakMemoryKB() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
		}
	}
	return 0, fmt.Errorf("process %d has no VmHWM", p.command.Process.Pid)
}

// check fails the test if the process has ended or has exceeded its limits.
func (p *process) check(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Fatalf("%s has ended", p.name)
	default:
	}
	peak, err := p.peakMemoryKB()
	if err != nil {
		t.Fatal(err)
	}
	descriptors := p.maxDescriptors.Load()
	t.Logf("%s: peak memory %d MiB of %d, descriptors %d of %d", p.name, peak>>10, memoryMB, descriptors, maxOpenFiles-otherFiles)
	if peak > memoryMB<<10 {
		t.Errorf("%s: peak memory is %d KiB, above the limit of %d MiB", p.name, peak, memoryMB)
	}
	if descriptors > maxOpenFiles-otherFiles {
		t.Errorf("%s: %d open descriptors, above the limit of %d", p.name, descriptors, maxOpenFiles-otherFiles)
	}
}
