package registry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

const (
	configVersionSize = 8  // length in bytes of the version that precedes the text
	configDigestSize  = 16 // length in bytes of the truncated SHA-256 sum
)

// EncodeConfig encodes a configuration as the value of the object under ConfigKey: the
// version as 8 big-endian bytes, followed by the text. The version can thus be read
// without parsing the text.
func EncodeConfig(version uint64, text []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, version), text...)
}

// DecodeConfig decodes the object under ConfigKey. ok is false if it holds no
// configuration.
func DecodeConfig(o Object) (version uint64, text []byte, ok bool) {
	if len(o.Value) < configVersionSize {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(o.Value), o.Value[configVersionSize:], true
}

// AcceptedConfigKey returns the key of the object that holds the digest of the
// configuration accepted under a version. The keys sort in the order of the versions.
func AcceptedConfigKey(version uint64) string {
	return fmt.Sprintf("%s%020d", AcceptedConfigPrefix, version)
}

// ConfigDigest returns the digest that identifies a configuration's text: the first 16
// bytes of its SHA-256 sum.
func ConfigDigest(text []byte) []byte {
	sum := sha256.Sum256(text)
	return sum[:configDigestSize]
}

// ConfigConflictError reports that the version of a configuration was already accepted
// with different content.
type ConfigConflictError struct {
	Version uint64
	// AcceptedDigest and ProposedDigest are the ConfigDigest values of the two contents.
	AcceptedDigest, ProposedDigest []byte
}

// Error implements the error interface.
func (e *ConfigConflictError) Error() string {
	return fmt.Sprintf("version %d was taken with the content %x, not %x", e.Version, e.AcceptedDigest, e.ProposedDigest)
}

// BuildConfigTxn returns the transaction that accepts a configuration, based on the state
// of this replica. It returns nil if the same content was already accepted under the
// version, which makes repeated submissions idempotent. The error is a
// *ConfigConflictError if different content was accepted under the version. The replica
// may be behind: if the transaction conflicts, the caller brings the replica up to date
// with a linearizable read and builds the transaction again.
//
// A version lower than the active one does not replace it but is still recorded as
// accepted, so that no other content can be accepted under the same version.
func (s *Store) BuildConfigTxn(version uint64, text []byte) (*Txn, error) {
	accept := Write{Key: AcceptedConfigKey(version), Value: ConfigDigest(text)}
	notAccepted := Compare{Key: accept.Key}
	current, _ := s.Get(ConfigKey)
	currentVersion, currentText, exists := DecodeConfig(current)

	accepted := s.objects[accept.Key].Value
	if accepted == nil && exists && currentVersion == version {
		// The record of the active version may have been removed by compaction.
		accepted = ConfigDigest(currentText)
	}
	if accepted != nil {
		if !bytes.Equal(accepted, accept.Value) {
			return nil, &ConfigConflictError{version, accepted, accept.Value}
		}
		return nil, nil
	}
	if exists && currentVersion > version {
		return &Txn{If: []Compare{notAccepted}, Then: []Write{accept}}, nil
	}
	replace := Write{Key: ConfigKey, Value: EncodeConfig(version, text)}
	if exists {
		replace = useDeltaIfShort(replace, current.Value)
	}
	return &Txn{
		If:   []Compare{{Key: ConfigKey, ModRevision: current.ModRevision}, notAccepted},
		Then: []Write{accept, replace},
	}, nil
}

// useDeltaIfShort replaces the value of a write by the delta against the old value if the
// delta is less than half as long. Either way the write replaces the complete object; the
// delta only shortens what is logged and sent.
func useDeltaIfShort(w Write, old []byte) Write {
	if delta := ComputeDelta(old, w.Value); len(delta) < len(w.Value)/2 {
		w.Value = delta
		w.IsDelta = true
	}
	return w
}
