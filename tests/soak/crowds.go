package soak

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxCrowd is the largest number of connections of a crowd.
	maxCrowd = 1000
	// maxCrowdDuration limits how long the connections of a crowd stay open.
	maxCrowdDuration = 6 * time.Second
	// crowdSeedFactor keeps the random numbers of crowds apart from those of faults.
	crowdSeedFactor = 7919
	// crowdBodyBytes is the length of the bodies that a crowd announces; a proxy buffers slightly more.
	crowdBodyBytes = 255 << 10
	// trickleInterval is the time between two bytes of a crowd that trickles.
	trickleInterval = 100 * time.Millisecond
)

// crowdKind is a kind of misbehaving client. Its connections send a text, and then bytes one by one if
// trickles is set. They never read, and stay open until the process is gone or the crowd's time is over.
type crowdKind struct {
	name string
	// text returns what is sent at once, given the start of a request without the end of its head.
	text     func(head string) string
	trickles bool
}

// crowdKinds lists the kinds of crowds.
var crowdKinds = []crowdKind{
	{name: "idle", text: func(string) string { return "" }},
	{name: "heads without an end", text: func(head string) string { return head + "X-Filler: " + strings.Repeat("f", 15<<10) }},
	{name: "bodies short of their end", text: func(head string) string { return head + crowdLength + strings.Repeat(" ", crowdBodyBytes-1) }},
	{name: "chunks short of their end", text: func(head string) string { return head + crowdChunk + strings.Repeat(" ", crowdBodyBytes-1) }},
	{name: "trickling bodies", text: func(head string) string { return head + crowdLength + strings.Repeat(" ", crowdBodyBytes/2) }, trickles: true},
	{name: "complete bodies", text: func(head string) string { return head + crowdLength + strings.Repeat(" ", crowdBodyBytes) }},
	{name: "readers of nothing", text: func(head string) string { return strings.Repeat(head+"Content-Length: 0\r\n\r\n", 50) }},
}

// crowdLength and crowdChunk end a head and announce a body of crowdBodyBytes.
var (
	crowdLength = fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes)
	crowdChunk  = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", crowdBodyBytes)
)

// crowdTargets returns the address that crowds connect to, and the target of their requests.
func (n node) crowdTargets(random *rand.Rand) (address, target string) {
	if n.bindIP == "" {
		return n.address(frontendPort), "/safe/crowd"
	}
	calls := []string{"configuration.replace", "configuration.read", "instances.heartbeat&of=crowd"}
	return n.metricsAddress(), "/api/rpc?call=" + calls[random.Intn(len(calls))]
}

// runCrowds lets one crowd after another meet random nodes until the context ends.
func (f *injector) runCrowds(ctx context.Context, seed int64) {
	random := rand.New(rand.NewSource(seed * crowdSeedFactor))
	for ctx.Err() == nil {
		pause(ctx, time.Duration(random.Int63n(int64(time.Second))))
		n := randomNode(random, allNodes())
		kind := crowdKinds[random.Intn(len(crowdKinds))]
		size := 1 + random.Intn(maxCrowd)
		length := time.Duration(random.Int63n(int64(maxCrowdDuration)))
		address, target := n.crowdTargets(random)
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: crowd\r\n", target, hostName)
		f.report("crowd of %d at %s for %v: %s", size, n.name, length.Round(time.Millisecond), kind.name)
		kind.meet(ctx, address, kind.text(head), size, length)
	}
}

// meet opens the connections of a crowd, and closes them after a duration.
func (k crowdKind) meet(ctx context.Context, address, text string, size int, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	var members sync.WaitGroup
	for range size {
		members.Go(func() { k.join(ctx, address, text) })
	}
	members.Wait()
}

// join is one connection of a crowd.
func (k crowdKind) join(ctx context.Context, address, text string) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return // the process is down, or its queue of new connections is full
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	if _, err := conn.Write([]byte(text)); err != nil {
		return
	}
	for k.trickles {
		pause(ctx, trickleInterval)
		if _, err := conn.Write([]byte(" ")); err != nil {
			return
		}
	}
	<-ctx.Done()
}

// checkLimits records a violation for each process that exceeds the memory or the descriptors of its
// settings. A process that has exited is skipped.
func (k *cluster) checkLimits() {
	for name, pid := range k.processIDs() {
		if peak, ok := peakMemoryMB(pid); ok && peak > memoryMB {
			k.checks.fail("%s has used %d MB of memory, of %d", name, peak, memoryMB)
		}
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err == nil && len(entries) > maxOpenFiles-otherFiles {
			k.checks.fail("%s has %d open descriptors, of %d", name, len(entries), maxOpenFiles-otherFiles)
		}
	}
}

// processIDs returns the IDs of the running processes by node name.
func (k *cluster) processIDs() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	ids := map[string]int{}
	for name, p := range k.running {
		ids[name] = p.command.Process.Pid
	}
	return ids
}

// peakMemoryMB returns the largest resident memory of a process so far, in MiB.
func peakMemoryMB(pid int) (peak int, ok bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	_, line, _ := strings.Cut(string(text), "VmHWM:")
	line, _, _ = strings.Cut(line, "kB")
	kilobytes, err := strconv.Atoi(strings.TrimSpace(line))
	return kilobytes >> 10, err == nil
}
