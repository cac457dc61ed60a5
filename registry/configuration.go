package registry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

const (
	configVersionSize = 8  // bytes of the version before a configuration's text
	configDigestSize  = 16 // bytes of the SHA-256 sum that are kept
)

// EncodeConfig returns a configuration as the value of the object under ConfigKey:
// the version as 8 bytes big-endian, then the text, so that the version can be read
// without parsing the text.
func EncodeConfig(version uint64, text []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, version), text...)
}

// DecodeConfig reads the object under ConfigKey; ok is false if it holds no
// configuration.
func DecodeConfig(o Object) (version uint64, text []byte, ok bool) {
	if len(o.Value) < configVersionSize {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(o.Value), o.Value[configVersionSize:], true
}

// AcceptedConfigKey returns the key of the object that holds the digest of the
// configuration accepted under a version. The keys sort like the versions.
func AcceptedConfigKey(version uint64) string {
	return fmt.Sprintf("%s%020d", AcceptedConfigPrefix, version)
}

// ConfigDigest returns what identifies a configuration's text: the first 16 bytes
// of its SHA-256 sum.
func ConfigDigest(text []byte) []byte {
	sum := sha256.Sum256(text)
	return sum[:configDigestSize]
}

// ConfigConflictError says that a configuration's version was accepted before with
// another content.
type ConfigConflictError struct {
	Version uint64
	// AcceptedDigest and ProposedDigest are the ConfigDigest of the two contents.
	AcceptedDigest, ProposedDigest []byte
}

// Error implements the error interface.
func (e *ConfigConflictError) Error() string {
	return fmt.Sprintf("version %d was taken with the content %x, not %x", e.Version, e.AcceptedDigest, e.ProposedDigest)
}

// BuildConfigTxn returns the transaction that accepts a configuration, made from the
// state of this replica. It returns nil if there is nothing to write because the same
// content was accepted under the version before, so that a repeated submission is
// idempotent. The error is a *ConfigConflictError if another content was accepted under
// the version. The replica may lag: after a conflict the caller brings it up to date
// with a linearizable read and builds the transaction again.
//
// A version lower than the one in force does not replace it but is accepted all
// the same, so that no other content can take its number.
func (s *Store) BuildConfigTxn(version uint64, text []byte) (*Txn, error) {
	accept := Write{Key: AcceptedConfigKey(version), Value: ConfigDigest(text)}
	notAccepted := Compare{Key: accept.Key}
	current, _ := s.Get(ConfigKey)
	currentVersion, currentText, exists := DecodeConfig(current)

	accepted := s.objects[accept.Key].Value
	if accepted == nil && exists && currentVersion == version {
		// The record of the version in force may have been compacted away.
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

// useDeltaIfShort turns a write into one that carries the delta against the old value
// if that is less than half as long. The object is replaced completely either way; only
// what is logged and sent gets shorter.
func useDeltaIfShort(w Write, old []byte) Write {
	if delta := ComputeDelta(old, w.Value); len(delta) < len(w.Value)/2 {
		w.Value = delta
		w.IsDelta = true
	}
	return w
}
