package raft

import (
	"reflect"
	"strings"
	"testing"
)

// TestFingerprintIsComplete: a field that is new in a node, or in anything that
// it holds, fails this until Clone and Fingerprint know of it.
func TestFingerprintIsComplete(t *testing.T) {
	for of, fields := range map[reflect.Type]string{
		reflect.TypeFor[Node](): "cfg now hard role leader heardAt touchedAt touching lastTouch deadline votes forced snap entries tail incoming stable commit applied memberships " +
			"peers beatAt seq reads early transferTo transferAt termStart lagMark lagSince hardDirty unsaved install send after done",
		reflect.TypeFor[progress]():         "match next sentAt heardAt askedAt theirs ackedAt context flow transfer anewFrom anewThrough anewAt",
		reflect.TypeFor[pendingRead]():      "context seq index",
		reflect.TypeFor[placedMembership](): "index members",
		reflect.TypeFor[Message]():          "Type From To Term Index LogTerm Commit Reject Hint Context Force Sent Echo Touch Entries Snap Offset Size Sum",
		reflect.TypeFor[Write]():            "Hard Snapshot Entries After",
		reflect.TypeFor[Saved]():            "Hard Snapshot Entries",
		reflect.TypeFor[Snapshot]():         "Index Term Members Data",
		reflect.TypeFor[HardState]():        "Term Vote",
		reflect.TypeFor[Entry]():            "Index Term Type Data",
		reflect.TypeFor[Membership]():       "Voters Learners",
		reflect.TypeFor[Member]():           "ID Addr API Uncounted",
		reflect.TypeFor[touch]():            "at commit",
		reflect.TypeFor[flow]():             "window bytes flights rtt tries",
		reflect.TypeFor[flight]():           "last size at",
		reflect.TypeFor[transfer]():         "snap sum offset waiting",
		reflect.TypeFor[incoming]():         "snap size sum",
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
