package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// TestDecodeBytesIsAboveWhatParseTakes compares the estimate with the memory that is allocated and
// not yet freed when Parse is done, for valid texts and for texts of many small values.
func TestDecodeBytesIsAboveWhatParseTakes(t *testing.T) {
	if err := CompileSchema(); err != nil {
		t.Fatal(err)
	}
	const rule = `{"name":"r-%d","route_type":"idempotent","target_latency_s":1,"priority":2,"match":{"path_prefix":"/r-%d/"},"action":{"traffic_split":[{"backend_service":"s","weight":9},{"backend_service":"s","weight":1}],"timeout_s":2,"max_attempts":2}}`
	var rules []string
	for i := range 2000 {
		rules = append(rules, fmt.Sprintf(rule, i, i))
	}
	repeated := func(start, element string) string {
		return start + strings.Repeat(element+",", 100000/len(element)) + element + "]}"
	}
	tests := map[string]string{
		"valid":            `{"config_version":1,"listeners":[{"hostname":"h","rules":[` + strings.Join(rules, ",") + `]}],"clusters":[{"name":"s","health_check_path":"/h"}]}`,
		"numbers":          repeated(`{"config_version":1,"listeners":[`, "0"),
		"objects":          repeated(`{"config_version":1,"listeners":[`, "{}"),
		"arrays":           repeated(`{"config_version":1,"clusters":[`, "[]"),
		"rules":            repeated(`{"config_version":1,"listeners":[{"hostname":"h","rules":[`, "{}") + "]}",
		"objects in rules": repeated(`{"config_version":1,"listeners":[{"hostname":"h","rules":[`, `{"match":{},"action":{}}`) + "]}",
		"empty strings":    repeated(`{"config_version":1,"clusters":[`, `""`),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			estimate, err := DecodeBytes([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = Parse([]byte(text))
			runtime.ReadMemStats(&after)
			taken := int(after.TotalAlloc - before.TotalAlloc)
			t.Logf("estimate %d, allocated in all %d, text %d, error %.60v", estimate, taken, len(text), err)
			if isValid := name == "valid"; isValid != (err == nil) {
				t.Errorf("Parse() = %v", err)
			}
			if taken > 2*estimate {
				t.Errorf("Parse allocates %d bytes, over twice the estimate of %d", taken, estimate)
			}
		})
	}
}

// TestDeepNesting checks that a text that is nested too deeply is not decoded.
func TestDeepNesting(t *testing.T) {
	if _, err := DecodeBytes([]byte(strings.Repeat("[", maxNesting+1))); err == nil {
		t.Error("DecodeBytes() = nil, want an error")
	}
	if _, err := DecodeBytes([]byte(strings.Repeat("[", maxNesting) + `"[[["`)); err != nil {
		t.Errorf("DecodeBytes() = %v", err)
	}
}
