package raft

import (
	"reflect"
	"strings"
	"testing"
)

// TestFingerprintIsComplete guards against a new field of Node, or of a type that it
// contains, that Clone and Fingerprint do not handle. It fails until the field is listed
// here.
func TestFingerprintIsComplete(t *testing.T) {
	for typ, fields := range map[reflect.Type]string{
		reflect.TypeFor[Node](): "config now hardState role log leaderID lastLeaderContact electionDeadline votes isForcedCampaign incomingSnapshot contact " +
			"progress lastHeartbeatAt reads transferTarget transferStartedAt termStartIndex diskLagIndex diskLagSince hardStateChanged snapshotToInstall messages messagesAfterAppend",
		reflect.TypeFor[raftLog]():          "snapshot entries compactedTail entriesToWrite stableIndex commitIndex appliedIndex memberships",
		reflect.TypeFor[quorumContact]():    "last pendingProof newestProof",
		reflect.TypeFor[readOnly]():         "round pending deferred states",
		reflect.TypeFor[progress]():         "matchIndex nextIndex lastSentAt lastContact lastProgressAt ackedHeartbeatSentAt peerClock ackedReadRound flow pendingSnapshot resentFrom resentThrough resentAt",
		reflect.TypeFor[pendingRead]():      "requestID round readIndex",
		reflect.TypeFor[loggedMembership](): "index membership",
		reflect.TypeFor[Message]():          "Type From To Term Index LogTerm Commit Reject Hint Context Force Sent Echo Touch Entries Snap Offset Size Sum",
		reflect.TypeFor[StorageWrite]():     "HardState Snapshot Entries MessagesAfterAppend",
		reflect.TypeFor[PersistentState]():  "HardState Snapshot Entries",
		reflect.TypeFor[Snapshot]():         "Index Term Members Data",
		reflect.TypeFor[HardState]():        "Term Vote",
		reflect.TypeFor[Entry]():            "Index Term Type Data",
		reflect.TypeFor[Membership]():       "Voters Learners",
		reflect.TypeFor[Member]():           "ID Addr API Uncounted Storage",
		reflect.TypeFor[contactProof]():     "asOf commitIndex",
		reflect.TypeFor[flowControl]():      "windowBytes inflightBytes inflights minRTT consecutiveTimeouts",
		reflect.TypeFor[inflight]():         "end size sentAt",
		reflect.TypeFor[snapshotTransfer](): "snapshot checksum ackedOffset isAwaitingAck",
		reflect.TypeFor[incomingSnapshot](): "snapshot totalSize checksum",
		reflect.TypeFor[ReadState]():        "RequestID Index Confirmed",
	} {
		var have []string
		for f := range typ.Fields() {
			have = append(have, f.Name)
		}
		if got := strings.Join(have, " "); got != fields {
			t.Errorf("%s has the fields\n%s\nwant the fields that Clone and Fingerprint handle\n%s", typ, got, fields)
		}
	}
}
