// Command scale measures the control plane at the size that one machine can run (scale
// test with hollow nodes): real control-plane nodes and proxy nodes as processes, and
// beside them hollow proxies and endpoints that share this process. A hollow proxy
// lists, watches and reports as a real one does, but keeps no objects; a hollow
// endpoint only sends heartbeats.
//
// It ends by itself, prints one JSON object, and uses the loopback alone.
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

// options are the flags of the program.
type options struct {
	nodes                int
	proxyNodes           int
	hollowProxies        int
	hollowEndpoints      int
	services             int
	routes               int
	heartbeatInterval    time.Duration
	measuredTime         time.Duration
	configurationChanges int
	programDirectory     string
}

// result is what one run prints. The names of its fields are the keys of the JSON
// object.
type result struct {
	Nodes          int
	Routers        int
	Hollow         int
	Endpoints      int
	Services       int
	Routes         int
	BeatS          float64 // interval of the heartbeats of an endpoint
	RegisterS      float64 // until all endpoints were registered
	BeatsS         float64 // heartbeats acknowledged per second
	BeatP99MS      float64 // 99th percentile of their latency
	Calm           usage   // without changes
	Changing       usage   // while the configuration changes
	ChangeAckP99MS float64 // 99th percentile until a change is acknowledged
	ChangeAllMaxMS float64 // longest time from sending a change to its arrival at the last proxy
	ListBytes      int     // size of a list
	BookmarkBytes  int     // size of the largest bookmark
	ReportBytes    int     // size of the largest report
	BookmarksS     float64 // bookmarks per second to one proxy
}

func main() {
	var o options
	flag.IntVar(&o.nodes, "nodes", 5, "control-plane nodes, all of them processes")
	flag.IntVar(&o.proxyNodes, "routers", 20, "proxy nodes that are processes")
	flag.IntVar(&o.hollowProxies, "hollow", 200, "hollow proxies")
	flag.IntVar(&o.hollowEndpoints, "endpoints", 1000, "hollow endpoints")
	flag.IntVar(&o.services, "services", 50, "services, with as many endpoints each")
	flag.IntVar(&o.routes, "routes", 500, "routes")
	flag.DurationVar(&o.heartbeatInterval, "beat", 5*time.Second, "interval of the endpoints' heartbeats")
	flag.DurationVar(&o.measuredTime, "span", 10*time.Second, "time measured over")
	flag.IntVar(&o.configurationChanges, "changes", 10, "changes of the configuration")
	flag.StringVar(&o.programDirectory, "bin", "target", "folder of the programs")
	flag.Parse()
	if err := run(o, os.Stdout); err != nil {
		log.Fatal(err)
	}
}

// scaleTest is one run.
type scaleTest struct {
	options
	processes            *processGroup
	seeds                []string // control-plane addresses
	configurationVersion int
	heartbeats           *heartbeatSenders
	proxies              []*hollowProxy
	result               result
}

// run performs the test and writes its result.
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
		t.measureCalm,
		t.measureChanges,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return json.NewEncoder(out).Encode(t.result)
}

// startControlPlane starts the control-plane nodes and puts a configuration in force.
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
	return waitFor("a first configuration", time.Minute, func() bool { return t.replaceConfiguration(0, text) == nil })
}

// maxHeartbeatWorkers bounds the heartbeats that are in flight at once.
const maxHeartbeatWorkers = 256

// registerEndpoints starts the heartbeats and waits for the first one of each endpoint.
func (t *scaleTest) registerEndpoints(ctx context.Context) error {
	began := time.Now()
	t.heartbeats.start(ctx, min(maxHeartbeatWorkers, t.hollowEndpoints))
	err := waitFor("all endpoints", 10*time.Minute, func() bool {
		return t.heartbeats.registered.Load() == int64(t.hollowEndpoints)
	})
	t.result.RegisterS = time.Since(began).Seconds()
	return err
}

// startProxies starts the proxy nodes and the hollow proxies, and waits until each
// hollow one has a list.
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
	err := waitFor("all lists", 2*time.Minute, func() bool {
		return !slices.ContainsFunc(t.proxies, func(p *hollowProxy) bool { return p.listBytes.Load() == 0 })
	})
	if err != nil {
		return err
	}
	const settlingTime = 5 * time.Second // what belongs to the start has ended
	time.Sleep(settlingTime)
	if len(t.proxies) > 0 {
		t.result.ListBytes = int(t.proxies[0].listBytes.Load())
	}
	return nil
}

// measureCalm measures without changes of the configuration.
func (t *scaleTest) measureCalm(context.Context) error {
	acknowledged := t.heartbeats.acknowledged.Load()
	bookmarks := t.countBookmarks()
	t.heartbeats.isRecording.Store(true)
	var err error
	t.result.Calm, err = t.processes.measure(func() error {
		time.Sleep(t.measuredTime)
		return nil
	})
	if err != nil {
		return err
	}
	t.heartbeats.isRecording.Store(false)
	span := t.measuredTime.Seconds()
	t.result.BookmarksS = float64(t.countBookmarks()-bookmarks) / span / float64(max(1, t.hollowProxies))
	t.result.BeatsS = float64(t.heartbeats.acknowledged.Load()-acknowledged) / span
	t.result.BeatP99MS = t.heartbeats.percentile99MS()
	return nil
}

// countBookmarks returns how many bookmarks the hollow proxies have received, and takes
// the sizes of messages into the result.
func (t *scaleTest) countBookmarks() int64 {
	count := int64(0)
	for _, p := range t.proxies {
		count += p.bookmarks.Load()
		t.result.BookmarkBytes = max(t.result.BookmarkBytes, int(p.bookmarkBytes.Load()))
		t.result.ReportBytes = max(t.result.ReportBytes, int(p.reportBytes.Load()))
	}
	return count
}

// measureChanges measures while the configuration changes at even intervals.
func (t *scaleTest) measureChanges(context.Context) error {
	var acknowledgements []time.Duration
	var err error
	t.result.Changing, err = t.processes.measure(func() error {
		for n := range t.configurationChanges {
			interval := t.measuredTime / time.Duration(t.configurationChanges)
			began := time.Now()
			took, err := t.changeConfiguration(n)
			if err != nil {
				return err
			}
			acknowledgements = append(acknowledgements, took)
			time.Sleep(interval - min(time.Since(began), interval))
		}
		return nil
	})
	t.result.ChangeAckP99MS = percentile99MS(acknowledgements)
	return err
}

// changeConfiguration changes one route by a call to a node, waits until the change is
// at all hollow proxies, and returns the time until it was acknowledged.
func (t *scaleTest) changeConfiguration(node int) (acknowledged time.Duration, err error) {
	t.configurationVersion++
	text := t.configuration(t.configurationVersion)
	before := make([]int64, len(t.proxies))
	for i, p := range t.proxies {
		before[i] = p.configurationEvents.Load()
	}
	began := time.Now()
	err = waitFor("an acknowledgement", time.Minute, func() bool { return t.replaceConfiguration(node, text) == nil })
	if err != nil {
		return 0, err
	}
	acknowledged = time.Since(began)
	err = waitFor("a change at all proxies", time.Minute, func() bool {
		for i, p := range t.proxies {
			if p.configurationEvents.Load() == before[i] {
				return false
			}
		}
		return true
	})
	if err != nil {
		return 0, err
	}
	t.result.ChangeAllMaxMS = max(t.result.ChangeAllMaxMS, float64(time.Since(began).Microseconds())/1000)
	return acknowledged, nil
}

// percentile99MS returns the 99th percentile in milliseconds, or 0 of nothing. It sorts
// the durations.
func percentile99MS(d []time.Duration) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return float64(d[len(d)*99/100].Microseconds()) / 1000
}

// waitFor waits until a condition holds, and fails after a limit.
func waitFor(what string, limit time.Duration, isDone func() bool) error {
	const interval = 20 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(interval) {
		if isDone() {
			return nil
		}
	}
	return fmt.Errorf("never came: %s", what)
}
