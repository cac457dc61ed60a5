package clamp

import (
	"reflect"
	"strings"
	"testing"
)

// TestFingerprintIsComplete: a field that is new in a node, or in anything that
// it holds, fails this until Clone and Fingerprint know of it.
func TestFingerprintIsComplete(t *testing.T) {
	for of, fields := range map[reflect.Type]string{
		reflect.TypeFor[Node](): "cfg now hard role leader heardAt deadline votes forced snap entries stable commit applied memberships " +
			"peers beatAt seq reads transferTo transferAt termStart lagMark lagSince hardDirty unsaved install send after done",
		reflect.TypeFor[progress]():         "match next sentAt heardAt ackedAt context snapshot anewFrom anewThrough anewAt",
		reflect.TypeFor[pendingRead]():      "context seq index",
		reflect.TypeFor[placedMembership](): "index members",
		reflect.TypeFor[Message]():          "Type From To Term Index LogTerm Commit Reject Hint Context Force Entries Snap",
		reflect.TypeFor[Write]():            "Hard Snapshot Entries After",
		reflect.TypeFor[Saved]():            "Hard Snapshot Entries",
		reflect.TypeFor[Snapshot]():         "Index Term Members Data",
		reflect.TypeFor[HardState]():        "Term Vote",
		reflect.TypeFor[Entry]():            "Index Term Type Data",
		reflect.TypeFor[Membership]():       "Voters Learners",
		reflect.TypeFor[Member]():           "ID Addr API",
		reflect.TypeFor[Read]():             "Context Index OK",
	} {
		var have []string
		for f := range of.Fields() {
			have = append(have, f.Name)
		}
		if got := strings.Join(have, " "); got != fields {
			t.Errorf("%s has the fields\n%s\nClone and Fingerprint know\n%s", of, got, fields)
		}
	}
}
