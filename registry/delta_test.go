package registry_test

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"lichentray/registry"
)

// TestDeltaRoundTrip checks that applying the delta between two configurations to the first
// yields the second, and that the delta is short if little changed.
func TestDeltaRoundTrip(t *testing.T) {
	for seed := int64(0); seed < 200; seed++ {
		r := rand.New(rand.NewSource(seed))
		rules := make([]string, 1+r.Intn(300))
		for i := range rules {
			rules[i] = fmt.Sprintf(`{"name":"r-%d","match":{"path_prefix":"/p%d/"},"action":{"timeout_s":%d}}`, i, r.Intn(1000), r.Intn(60))
		}
		old := []byte(fmt.Sprintf(`{"config_version":%d,"rules":[%s]}`, seed, strings.Join(rules, ",")))
		for range 1 + r.Intn(3) {
			i := r.Intn(len(rules))
			switch r.Intn(3) {
			case 0:
				rules[i] = `{"name":"new","match":{},"action":{}}`
			case 1:
				rules = append(rules[:i], append([]string{rules[i], "{}"}, rules[i+1:]...)...)
			default:
				rules = append(rules[i:], rules[:i]...)
			}
		}
		value := []byte(fmt.Sprintf(`{"config_version":%d,"rules":[%s]}`, seed+1, strings.Join(rules, ",")))
		if seed%10 == 0 {
			old, value = []byte(fmt.Sprint(r.Int63())), nil
		}
		d := registry.ComputeDelta(old, value)
		got, err := registry.ApplyDelta(old, d)
		if err != nil || !bytes.Equal(got, value) {
			t.Fatalf("seed %d: ApplyDelta returned error %v; want value %q, got %q", seed, err, value, got)
		}
		if len(value) > 8000 && len(d) > len(value)/4 {
			t.Errorf("seed %d: delta has %d bytes for a value of %d bytes, want at most a quarter", seed, len(d), len(value))
		}
	}
}

func FuzzApplyDelta(f *testing.F) {
	f.Add([]byte("abc"), registry.ComputeDelta([]byte("abc"), []byte("abd")))
	f.Add([]byte("abc"), []byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 1, 9, 0})
	f.Fuzz(func(_ *testing.T, old, delta []byte) {
		_, _ = registry.ApplyDelta(old, delta) // must not panic
	})
}
