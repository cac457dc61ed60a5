package config

import (
	"fmt"
	"strings"
	"testing"
)

// large is the sample with many more routes.
func large(n int) []byte {
	const mark = `"rules":[`
	var sb strings.Builder
	for i := range n {
		fmt.Fprintf(&sb, `{"name":"b%d","route_type":"idempotent","match":{"path_prefix":"/p%d/"},"action":{"backend_service":"s1","timeout_s":1,"max_attempts":2}},`, i, i)
	}
	return []byte(strings.Replace(sample, mark, mark+sb.String(), 1))
}

func BenchmarkRead(b *testing.B) {
	text := large(2000)
	for b.Loop() {
		if _, err := Read(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReadChecked(b *testing.B) {
	text := large(2000)
	for b.Loop() {
		if _, err := ReadChecked(text); err != nil {
			b.Fatal(err)
		}
	}
}
