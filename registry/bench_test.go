package registry_test

import (
	"fmt"
	"runtime"
	"testing"

	"lichentray/registry"
)

func benchmarkEndpoint(i int) registry.Endpoint {
	return registry.Endpoint{ID: fmt.Sprintf("i-%08x", i*7919), Service: fmt.Sprint("s-", i%1500), Version: "v1", Address: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255), Zone: fmt.Sprint("zone-", i%12), Capacity: 4, Sequence: 1}
}

func createEndpoint(s *registry.Store, i int) {
	e := benchmarkEndpoint(i)
	s.Apply(registry.Command{Txn: &registry.Txn{If: []registry.Compare{{Key: e.Key()}}, Then: []registry.Write{{Key: e.Key(), Value: e.Encode()}}}})
}

// BenchmarkEndpoints measures the cost of an endpoint: a conditional create, its memory,
// and its share of a snapshot and of a list.
func BenchmarkEndpoints(b *testing.B) {
	for _, n := range []int{11000, 44000} {
		s := registry.NewStore()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range n {
			createEndpoint(s, i)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.Run(fmt.Sprint("create among ", n), func(b *testing.B) {
			i := 0
			for b.Loop() {
				createEndpoint(s, n+i%1000)
				e := benchmarkEndpoint(n + i%1000)
				s.Apply(registry.Command{Txn: &registry.Txn{Then: []registry.Write{{Key: e.Key(), IsDelete: true}}}})
				i++
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-bytes/endpoint")
		})
		b.Run(fmt.Sprint("snapshot of ", n), func(b *testing.B) {
			size := 0
			for b.Loop() {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "bytes/endpoint")
		})
		b.Run(fmt.Sprint("list of ", n), func(b *testing.B) {
			for b.Loop() {
				s.List(registry.EndpointPrefix)
			}
		})
	}
}
