package coordination

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkPutCell writes to cells in ten groups with a history of 20,000 writes, and
// reports the memory used per history entry.
func BenchmarkPutCell(b *testing.B) {
	const historySize = 20000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	t := NewTable()
	put := func(at int) {
		t.Apply(uint64(at), Command{Operation: PutCell, Name: fmt.Sprintf("g%d.%d", at%10, at%50), Value: fmt.Sprintf("%016x", at)})
	}
	for at := 1; at <= historySize; at++ {
		put(at)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for i := range b.N {
		put(historySize + 1 + i)
		if i%1000 == 999 {
			t.Apply(uint64(historySize+1+i), Command{Operation: CompactHistory, CompactBefore: uint64(i)})
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/historySize, "bytes/entry")
}
