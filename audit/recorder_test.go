package audit_test

import (
	"fmt"
	"testing"

	"lichentray/audit"
)

// TestRecorderBound fills a recorder beyond its bound: what does not fit is dropped and
// counted, and an acknowledgement makes room.
func TestRecorderBound(t *testing.T) {
	recorder := audit.NewRecorder("a1", "a", 3)
	for i := range 5 {
		recorder.Append(audit.Record{Attempt: fmt.Sprint(i), Kind: audit.MissedLatencyTarget})
	}
	if b := recorder.NextBatch(1, 10); len(b.Records) != 3 || b.Dropped != 2 {
		t.Errorf("a recorder of three after five records: %+v", b)
	}
	recorder.Acknowledge("other", 2)
	recorder.Acknowledge("a1", 2)
	recorder.Append(audit.Record{Attempt: "5", Kind: audit.MissedLatencyTarget})
	if b := recorder.NextBatch(1, 1); recorder.Pending() != 2 || b.Records[0].Seq != 3 {
		t.Errorf("after an acknowledgement: %d pending, %+v", recorder.Pending(), b.Records)
	}
}
