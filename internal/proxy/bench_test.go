package proxy

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strings"
	"testing"

	"lichentray/internal/controlplanetest"
	"lichentray/internal/metrics"
	"lichentray/registry"
)

// BenchmarkApplyState measures the cost of a proxy's copy of the registry: the memory for each
// endpoint and route, and the time to apply one change.
func BenchmarkApplyState(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, n := range []int{11000, 44000} {
		set := controlplanetest.Settings(b, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
		p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
		before := heap()
		for i := range n {
			x := registry.Endpoint{ID: fmt.Sprintf("i-%08x", i*7919), Service: fmt.Sprint("s", i%1500), Version: "v1", Address: fmt.Sprintf("10.0.%d.%d:8080", i>>8&255, i&255), Zone: "a", Capacity: 4}
			o := registry.Object{Key: x.Key(), Value: x.Encode(), CreateRevision: uint64(i + 1), ModRevision: uint64(i + 1)}
			if err := p.applyEvent(registry.Event{Type: registry.Added, Object: o, Revision: uint64(i + 1)}); err != nil {
				b.Fatal(err)
			}
		}
		each := (heap() - before) / float64(n)
		b.Run(fmt.Sprint("change among ", n, " endpoints"), func(b *testing.B) {
			rev := uint64(n)
			for b.Loop() {
				rev++
				x := registry.Endpoint{ID: fmt.Sprintf("i-%08x", int(rev)%n*7919), Service: fmt.Sprint("s", int(rev)%n%1500), Version: "v1", Address: "10.0.0.1:8080", Zone: "a", Capacity: 4, Sequence: rev}
				if err := p.applyEvent(registry.Event{Type: registry.Modified, Object: registry.Object{Key: x.Key(), Value: x.Encode(), ModRevision: rev}, Revision: rev}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(each, "heap-bytes/endpoint")
		})
	}
	for _, n := range []int{2000, 40000} {
		set := controlplanetest.Settings(b, "127.0.0.1", "", 1, 2, []string{"127.0.0.1"}, false)
		p := New(set, slog.New(slog.NewTextHandler(io.Discard, nil)), metrics.NewRegistry())
		text := func(version uint64) []byte {
			var sb strings.Builder
			fmt.Fprintf(&sb, `{"config_version":%d,"clusters":[{"name":"s","health_check_path":"/health"}],"listeners":[`, version)
			for i := range n {
				if i%50 == 0 {
					if i > 0 {
						sb.WriteString(`]},`)
					}
					fmt.Fprintf(&sb, `{"hostname":"h%d.example","rules":[`, i/50)
				} else {
					sb.WriteByte(',')
				}
				fmt.Fprintf(&sb, `{"name":"r%d","route_type":"idempotent","target_latency_s":1,"priority":1,"match":{"path_prefix":"/p%d/"},"action":{"backend_service":"s","timeout_s":5,"max_attempts":2}}`, i, i)
			}
			sb.WriteString(`]}]}`)
			return registry.EncodeConfig(version, []byte(sb.String()))
		}
		before := heap()
		p.applyConfig(registry.Object{Key: registry.ConfigKey, Value: text(1)})
		each, size := (heap()-before)/float64(n), len(text(1))
		version := uint64(1)
		b.Run(fmt.Sprint("configuration of ", n, " routes"), func(b *testing.B) {
			for b.Loop() {
				version++
				p.applyConfig(registry.Object{Key: registry.ConfigKey, Value: text(version)})
			}
			b.ReportMetric(each, "heap-bytes/route")
			b.ReportMetric(float64(size)/float64(n), "text-bytes/route")
		})
	}
}
