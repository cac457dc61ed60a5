package config_test

import (
	"fmt"
	"strings"
	"testing"

	"lichentray/config"
)

// largeConfiguration returns sampleConfiguration with n additional routes.
func largeConfiguration(n int) []byte {
	const marker = `"rules":[`
	var sb strings.Builder
	for i := range n {
		fmt.Fprintf(&sb, `{"name":"b%d","route_type":"idempotent","match":{"path_prefix":"/p%d/"},"action":{"backend_service":"s1","timeout_s":1,"max_attempts":2}},`, i, i)
	}
	return []byte(strings.Replace(sampleConfiguration, marker, marker+sb.String(), 1))
}

func BenchmarkParse(b *testing.B) {
	text := largeConfiguration(2000)
	for b.Loop() {
		if _, err := config.Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeValidated(b *testing.B) {
	text := largeConfiguration(2000)
	for b.Loop() {
		if _, err := config.DecodeValidated(text); err != nil {
			b.Fatal(err)
		}
	}
}
