package audit_test

import (
	"fmt"
	"testing"

	"lichentray/audit"
)

// TestRecorderBound fills a recorder beyond its limit. Excess records must be dropped and
// counted, and an acknowledgement of this incarnation must free space.
func TestRecorderBound(t *testing.T) {
	recorder := audit.NewRecorder("a1", "a", 3)
	for i := range 5 {
		recorder.Append(audit.Record{Attempt: fmt.Sprint(i), Kind: audit.MissedLatencyTarget})
	}
	if b := recorder.NextBatch(1, 10); len(b.Records) != 3 || b.Dropped != 2 {
		t.Errorf("NextBatch() = %+v, want 3 records and 2 dropped", b)
	}
	recorder.Acknowledge("other", 2)
	recorder.Acknowledge("a1", 2)
	recorder.Append(audit.Record{Attempt: "5", Kind: audit.MissedLatencyTarget})
	if b := recorder.NextBatch(1, 1); recorder.Pending() != 2 || b.Records[0].Seq != 3 {
		t.Errorf("after an acknowledgement: Pending() = %d, records = %+v, want 2 and a first record of sequence number 3", recorder.Pending(), b.Records)
	}
}
