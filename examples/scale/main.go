// Command scale is a scale test of the control plane with hollow nodes, for one machine. It
// runs real control-plane nodes and proxy nodes as processes, and simulates more proxies and
// endpoints in its own process. A hollow proxy lists, watches and reports like a real one,
// but stores no objects. A hollow endpoint only sends heartbeats.
//
// The program uses only the loopback interface, prints one JSON object and exits.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"slices"
	"time"
)

// options holds the values of the program's flags.
type options struct {
	nodes                int
	proxyNodes           int
	hollowProxies        int
	hollowEndpoints      int
	services             int
	routes               int
	heartbeatInterval    time.Duration
	measurementDuration  time.Duration
	configurationChanges int
	programDirectory     string
}

// result is the output of a run. The field names are the keys of the JSON object.
type result struct {
	Nodes          int
	Routers        int
	Hollow         int
	Endpoints      int
	Services       int
	Routes         int
	BeatS          float64 // interval between two heartbeats of an endpoint
	RegisterS      float64 // time until all endpoints were registered
	BeatsS         float64 // acknowledged heartbeats per second
	BeatP99MS      float64 // 99th percentile of the latency of heartbeats
	Calm           usage   // in the steady state, without configuration changes
	Changing       usage   // during configuration changes
	ChangeAckP99MS float64 // 99th percentile of the time until a change is acknowledged
	ChangeAllMaxMS float64 // maximum time from sending a change until all hollow proxies have it
	ListBytes      int     // size of a list
	BookmarkBytes  int     // size of the largest measured bookmark
	ReportBytes    int     // size of the largest report
	BookmarksS     float64 // bookmarks per second to one hollow proxy
}

func main() {
	var o options
	flag.IntVar(&o.nodes, "nodes", 5, "number of control-plane nodes, run as processes")
	flag.IntVar(&o.proxyNodes, "routers", 20, "number of proxy nodes, run as processes")
	flag.IntVar(&o.hollowProxies, "hollow", 200, "number of hollow proxies")
	flag.IntVar(&o.hollowEndpoints, "endpoints", 1000, "number of hollow endpoints")
	flag.IntVar(&o.services, "services", 50, "number of services, over which the endpoints are distributed evenly")
	flag.IntVar(&o.routes, "routes", 500, "number of routes")
	flag.DurationVar(&o.heartbeatInterval, "beat", 5*time.Second, "heartbeat interval of an endpoint")
	flag.DurationVar(&o.measurementDuration, "span", 10*time.Second, "duration of each measurement")
	flag.IntVar(&o.configurationChanges, "changes", 10, "number of configuration changes")
	flag.StringVar(&o.programDirectory, "bin", "target", "directory of the program binaries")
	flag.Parse()
	if err := run(o, os.Stdout); err != nil {
		log.Fatal(err)
	}
}

// scaleTest is the state of one run.
type scaleTest struct {
	options
	processes            *processGroup
	seeds                []string // API addresses of the seed nodes
	configurationVersion int
	heartbeats           *heartbeatSenders
	proxies              []*hollowProxy
	result               result
}

// run performs the test and writes the result to out.
func run(o options, out io.Writer) error {
	directory, err := os.MkdirTemp("", "scale")
	if err != nil {
		return err
	}
	t := &scaleTest{
		options:    o,
		processes:  &processGroup{options: o, directory: directory},
		heartbeats: &heartbeatSenders{options: o},
		result: result{
			Nodes:     o.nodes,
			Routers:   o.proxyNodes,
			Hollow:    o.hollowProxies,
			Endpoints: o.hollowEndpoints,
			Services:  o.services,
			Routes:    o.routes,
			BeatS:     o.heartbeatInterval.Seconds(),
		},
	}
	defer t.processes.stopAll()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, step := range []func(context.Context) error{
		t.startControlPlane,
		t.registerEndpoints,
		t.startProxies,
		t.measureSteadyState,
		t.measureChanges,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return json.NewEncoder(out).Encode(t.result)
}

// startControlPlane starts the control-plane nodes and stores the first configuration.
func (t *scaleTest) startControlPlane(context.Context) error {
	for i := range min(3, t.nodes) {
		t.seeds = append(t.seeds, controlAddress(i))
	}
	for i := range t.nodes {
		p := process{
			program:  "lichentray-controlplane",
			name:     fmt.Sprint("core-", i),
			ip:       nodeIP(i),
			role:     "control",
			isMember: true,
			seeds:    t.seeds,
		}
		if err := t.processes.start(p); err != nil {
			return err
		}
	}
	t.configurationVersion = 1
	text := t.configuration(t.configurationVersion)
	return waitFor("the acknowledgement of the first configuration", time.Minute, func() bool { return t.replaceConfiguration(0, text) == nil })
}

// maxHeartbeatWorkers limits the number of concurrent heartbeats.
const maxHeartbeatWorkers = 256

// registerEndpoints starts the heartbeats and waits until every endpoint is registered.
func (t *scaleTest) registerEndpoints(ctx context.Context) error {
	began := time.Now()
	t.heartbeats.start(ctx, min(maxHeartbeatWorkers, t.hollowEndpoints))
	err := waitFor("the registration of all endpoints", 10*time.Minute, func() bool {
		return t.heartbeats.registered.Load() == int64(t.hollowEndpoints)
	})
	t.result.RegisterS = time.Since(began).Seconds()
	return err
}

// startProxies starts the proxy nodes and the hollow proxies, and waits until every hollow
// proxy has received a list.
func (t *scaleTest) startProxies(ctx context.Context) error {
	const firstProxyIP = 1000
	for i := range t.proxyNodes {
		p := process{
			program: "lichentray-proxy",
			name:    fmt.Sprint("edge-", i),
			ip:      nodeIP(firstProxyIP + i),
			role:    "edge",
			seeds:   t.seeds,
		}
		if err := t.processes.start(p); err != nil {
			return err
		}
	}
	for i := range t.hollowProxies {
		p := &hollowProxy{name: fmt.Sprint("hollow-", i), node: internalAddress(i % t.nodes), services: t.services}
		t.proxies = append(t.proxies, p)
		go p.run(ctx)
	}
	err := waitFor("the lists of all hollow proxies", 2*time.Minute, func() bool {
		return !slices.ContainsFunc(t.proxies, func(p *hollowProxy) bool { return p.listBytes.Load() == 0 })
	})
	if err != nil {
		return err
	}
	const settleDelay = 5 * time.Second // to exclude the activity of the start from the measurements
	time.Sleep(settleDelay)
	if len(t.proxies) > 0 {
		t.result.ListBytes = int(t.proxies[0].listBytes.Load())
	}
	return nil
}

// measureSteadyState measures without configuration changes.
func (t *scaleTest) measureSteadyState(context.Context) error {
	acknowledged := t.heartbeats.acknowledged.Load()
	bookmarks := t.countBookmarks()
	t.heartbeats.isRecording.Store(true)
	var err error
	t.result.Calm, err = t.processes.measure(func() error {
		time.Sleep(t.measurementDuration)
		return nil
	})
	if err != nil {
		return err
	}
	t.heartbeats.isRecording.Store(false)
	span := t.measurementDuration.Seconds()
	t.result.BookmarksS = float64(t.countBookmarks()-bookmarks) / span / float64(max(1, t.hollowProxies))
	t.result.BeatsS = float64(t.heartbeats.acknowledged.Load()-acknowledged) / span
	t.result.BeatP99MS = t.heartbeats.percentile99MS()
	return nil
}

// countBookmarks returns the number of bookmarks that the hollow proxies have received, and
// updates the message sizes in the result.
func (t *scaleTest) countBookmarks() int64 {
	count := int64(0)
	for _, p := range t.proxies {
		count += p.bookmarks.Load()
		t.result.BookmarkBytes = max(t.result.BookmarkBytes, int(p.bookmarkBytes.Load()))
		t.result.ReportBytes = max(t.result.ReportBytes, int(p.reportBytes.Load()))
	}
	return count
}

// measureChanges measures during configuration changes at regular intervals.
func (t *scaleTest) measureChanges(context.Context) error {
	var latencies []time.Duration
	var err error
	t.result.Changing, err = t.processes.measure(func() error {
		for n := range t.configurationChanges {
			interval := t.measurementDuration / time.Duration(t.configurationChanges)
			began := time.Now()
			latency, err := t.changeConfiguration(n)
			if err != nil {
				return err
			}
			latencies = append(latencies, latency)
			time.Sleep(interval - min(time.Since(began), interval))
		}
		return nil
	})
	t.result.ChangeAckP99MS = percentile99MS(latencies)
	return err
}

// changeConfiguration stores the next version of the configuration by a call to a node, waits
// until all hollow proxies have received the change, and returns the time until the node
// acknowledged it.
func (t *scaleTest) changeConfiguration(node int) (ackLatency time.Duration, err error) {
	t.configurationVersion++
	text := t.configuration(t.configurationVersion)
	countsBefore := make([]int64, len(t.proxies))
	for i, p := range t.proxies {
		countsBefore[i] = p.configurationEvents.Load()
	}
	began := time.Now()
	err = waitFor("the acknowledgement of a configuration change", time.Minute, func() bool { return t.replaceConfiguration(node, text) == nil })
	if err != nil {
		return 0, err
	}
	ackLatency = time.Since(began)
	err = waitFor("a configuration change at all hollow proxies", time.Minute, func() bool {
		for i, p := range t.proxies {
			if p.configurationEvents.Load() == countsBefore[i] {
				return false
			}
		}
		return true
	})
	if err != nil {
		return 0, err
	}
	t.result.ChangeAllMaxMS = max(t.result.ChangeAllMaxMS, float64(time.Since(began).Microseconds())/1000)
	return ackLatency, nil
}

// percentile99MS returns the 99th percentile in milliseconds, or 0 if there are no durations.
// It sorts the durations in place.
func percentile99MS(durations []time.Duration) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[len(durations)*99/100].Microseconds()) / 1000
}

// waitFor polls until the condition is true, and returns an error after the timeout.
func waitFor(description string, timeout time.Duration, condition func() bool) error {
	const interval = 20 * time.Millisecond
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for %s", description)
}
