package rollout_test

import (
	"bytes"
	"strings"
	"testing"

	"lichentray/internal/goldentest"
	"lichentray/rollout"
)

// TestGoldenRollouts guards against changes of the stored format. It compares the JSON that
// the registry stores with a golden file, byte by byte and field by field.
func TestGoldenRollouts(t *testing.T) {
	want := []rollout.Rollout{
		{Base: "v1"},
		{Base: "v1", OrderNumber: 3, Target: "v2", State: rollout.InProgress, Stage: 2, DeadlineSeconds: 600.5, ElapsedSeconds: 361.25, Reason: "none yet"},
		{Base: "v2", OrderNumber: 4, Target: "v2", State: rollout.Succeeded, Stage: 3, DeadlineSeconds: 120, ElapsedSeconds: 96},
		{Base: "v2", OrderNumber: 5, Target: "v3", State: rollout.RolledBack, Stage: 1, DeadlineSeconds: 60, ElapsedSeconds: 7, Reason: "it fails"},
	}
	golden := goldentest.File(t, "testdata/golden/rollouts.jsonl", func() []byte {
		var b bytes.Buffer
		for _, r := range want {
			b.Write(append(r.Encode(), '\n'))
		}
		return b.Bytes()
	})
	lines := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	if len(lines) != len(want) {
		t.Fatalf("golden file has %d lines, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		if got := string(want[i].Encode()); got != line {
			t.Errorf("encoded %s, want %s", got, line)
		}
		got, err := rollout.Decode([]byte(line))
		if err != nil {
			t.Error(err)
		}
		goldentest.CheckEqual(t, line, got, want[i])
	}
	goldentest.CheckComplete(t, want)
}
