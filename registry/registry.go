// Package registry is the replicated registry (a multi-version key-value state
// machine): objects under a key per kind and name, conditional transactions,
// one global revision, and the locks, numbers and cells of latch beside them.
//
// It does no input or output and reads no clock. Feed every replica the same
// commands in the same order and all hold the same state.
package registry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"lichentray/audit"
	"lichentray/coordination"
)

// Object is one entry. ModRevision is the global revision of its last write.
type Object struct {
	Key            string
	Value          []byte
	CreateRevision uint64
	ModRevision    uint64
}

// Compare asks that a key's last write has a revision; 0 asks that there is
// no such key.
type Compare struct {
	Key         string
	ModRevision uint64
}

// Write puts or deletes one key. With Patch, Value is a delta against the
// object's present value; the transaction must ask for its revision.
type Write struct {
	Key      string
	Value    []byte
	IsDelete bool
	IsDelta  bool
}

// Txn carries out all its writes if all its conditions hold, else none.
type Txn struct {
	If   []Compare
	Then []Write
}

// Command is one entry of the log: a transaction or a latch command.
type Command struct {
	Txn          *Txn
	Coordination *coordination.Command
	// Audit is a batch of records for the account of failures.
	Audit *audit.Batch
}

// Result is what a command gave. On Conflict nothing was written and Current
// names the objects that stood in the way, without their values.
type Result struct {
	Revision uint64
	Conflict bool
	Current  []Object
	Latch    coordination.Result
	// Audit is the number up to which a life's records are in.
	Account uint64
}

// EventType names what happened to an object.
type EventType uint8

// The kinds of event on a watch.
const (
	Added EventType = iota + 1
	Modified
	Deleted
)

// Event is one change to one object at one global revision. With Patch, the
// value may be left out and be made from the one that the object had at the
// revision Base.
type Event struct {
	Type     EventType
	Object   Object
	Revision uint64
	Patch    []byte
	Base     uint64
}

// Store is the state machine.
type Store struct {
	revision     uint64
	objects      map[string]Object
	coordination *coordination.Table
	auditLog     *audit.Log
}

// NewStore makes an empty store.
func NewStore() *Store {
	return &Store{objects: map[string]Object{}, coordination: coordination.NewTable(), auditLog: audit.NewLog()}
}

// Revision is the global revision of the last success.
func (s *Store) Revision() uint64 { return s.revision }

// Coordination gives the locks and cells for reading.
func (s *Store) Coordination() *coordination.Table { return s.coordination }

// Audit gives the account of failures for reading.
func (s *Store) AuditLog() *audit.Log { return s.auditLog }

// Get reads one object.
func (s *Store) Get(key string) (Object, bool) {
	o, ok := s.objects[key]
	return o, ok
}

// List reads all objects whose key begins with prefix, sorted by key, all true
// at the store's revision.
func (s *Store) List(prefix string) []Object {
	var out []Object
	for k, o := range s.objects {
		if strings.HasPrefix(k, prefix) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Apply carries out one command and tells what changed.
func (s *Store) Apply(c Command) (Result, []Event) {
	if c.Audit != nil {
		s.revision++
		return Result{Revision: s.revision, Account: s.auditLog.Ingest(s.revision, *c.Audit)}, nil
	}
	if c.Coordination != nil {
		r := s.coordination.Apply(s.revision+1, *c.Coordination)
		if r.Code == coordination.OK {
			s.revision++
		}
		if c.Coordination.Operation == coordination.CompactHistory {
			s.auditLog.Compact(c.Coordination.CompactBefore)
		}
		return Result{Revision: s.revision, Latch: r}, nil
	}
	if c.Txn == nil {
		return Result{Revision: s.revision}, nil
	}
	var blocked []Object
	conflict := false
	for _, cond := range c.Txn.If {
		o := s.objects[cond.Key]
		if o.ModRevision != cond.ModRevision {
			conflict = true
			if o.ModRevision != 0 {
				o.Value = nil
				blocked = append(blocked, o)
			}
		}
	}
	whole := map[string][]byte{} // of the patches
	for _, w := range c.Txn.Then {
		if w.IsDelta && !conflict {
			v, err := ApplyDelta(s.objects[w.Key].Value, w.Value)
			whole[w.Key] = v
			conflict = err != nil
		}
	}
	if conflict {
		return Result{Revision: s.revision, Conflict: true, Current: blocked}, nil
	}
	s.revision++
	events := make([]Event, 0, len(c.Txn.Then))
	for _, w := range c.Txn.Then {
		old, had := s.objects[w.Key]
		if w.IsDelete {
			if had {
				delete(s.objects, w.Key)
				events = append(events, Event{Type: Deleted, Object: Object{Key: w.Key, ModRevision: s.revision}, Revision: s.revision})
			}
			continue
		}
		e := Event{Type: Modified, Revision: s.revision}
		e.Object = Object{Key: w.Key, Value: w.Value, CreateRevision: old.CreateRevision, ModRevision: s.revision}
		if !had {
			e.Object.CreateRevision, e.Type = s.revision, Added
		}
		if w.IsDelta {
			e.Object.Value, e.Patch, e.Base = whole[w.Key], w.Value, old.ModRevision
		}
		s.objects[w.Key] = e.Object
		events = append(events, e)
	}
	return Result{Revision: s.revision}, events
}

type snapshotImage struct {
	Revision uint64
	Objects  []Object
	Latches  *coordination.Table
	Account  *audit.Log
}

// Snapshot writes the whole state.
func (s *Store) Snapshot() ([]byte, error) {
	var b bytes.Buffer
	s.auditLog.PrepareEncode()
	if err := gob.NewEncoder(&b).Encode(snapshotImage{s.revision, s.List(""), s.coordination, s.auditLog}); err != nil {
		return nil, fmt.Errorf("registry: snapshot: %w", err)
	}
	return b.Bytes(), nil
}

// Restore replaces the state by a snapshot; on an error nothing changes.
func (s *Store) Restore(data []byte) error {
	im := snapshotImage{Latches: coordination.NewTable(), Account: audit.NewLog()}
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&im); err != nil {
		return fmt.Errorf("registry: restore: %w", err)
	}
	im.Latches.FinishDecode()
	im.Account.FinishDecode()
	objects := make(map[string]Object, len(im.Objects))
	for _, o := range im.Objects {
		objects[o.Key] = o
	}
	s.revision, s.objects, s.coordination, s.auditLog = im.Revision, objects, im.Latches, im.Account
	return nil
}

// Keys of the kinds of object.
const (
	EndpointPrefix       = "endpoints/"
	DepartedPrefix       = "departed/"
	ProxyPrefix          = "proxies/"
	EvacuationPrefix     = "evacuations/"
	RolloutPrefix        = "rollouts/"
	AcceptedConfigPrefix = "accepted/"
	ConfigKey            = "configuration/current"
)

// EncodeConfig writes a configuration as the value under ConfigKey: its version
// before its text, so that the version is read without the text.
func EncodeConfig(version uint64, text []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, version), text...)
}

// DecodeConfig reads the value under ConfigKey; ok is false where there is none.
func DecodeConfig(o Object) (version uint64, text []byte, ok bool) {
	if len(o.Value) < 8 {
		return 0, nil, false
	}
	return binary.BigEndian.Uint64(o.Value), o.Value[8:], true
}

// AcceptedConfigKey is where the digest of the configuration that was taken under a version
// stands, in the order of versions. An order is known by its content, not by its
// number alone.
func AcceptedConfigKey(version uint64) string {
	return fmt.Sprintf("%s%020d", AcceptedConfigPrefix, version)
}

// ConfigDigest is what tells one configuration's text from another (SHA-256, cut to
// 16 bytes).
func ConfigDigest(text []byte) []byte {
	d := sha256.Sum256(text)
	return d[:16]
}

// BuildConfigTxn derives the transaction that takes a configuration, from the state
// held here. It gives nil where there is nothing to write: the same content was taken
// under this version before. A *TakenError tells that another content was.
//
// A version that is overtaken before it came changes nothing, but is taken all the
// same, so that no other content is under its number.
func (s *Store) BuildConfigTxn(version uint64, text []byte) (*Txn, error) {
	mark := Write{Key: AcceptedConfigKey(version), Value: ConfigDigest(text)}
	current, _ := s.Get(ConfigKey)
	held, heldText, ok := DecodeConfig(current)
	taken := s.objects[mark.Key].Value
	if ok && held == version && taken == nil {
		taken = ConfigDigest(heldText) // its mark has been forgotten
	}
	if taken != nil {
		if !bytes.Equal(taken, mark.Value) {
			return nil, &ConfigConflictError{version, taken, mark.Value}
		}
		return nil, nil
	}
	if ok && held > version {
		return &Txn{If: []Compare{{Key: mark.Key}}, Then: []Write{mark}}, nil
	}
	w := Write{Key: ConfigKey, Value: EncodeConfig(version, text)}
	if ok {
		// The whole object is replaced; what is logged and sent is the difference.
		if d := ComputeDelta(current.Value, w.Value); len(d) < len(w.Value)/2 {
			w.Value, w.IsDelta = d, true
		}
	}
	return &Txn{If: []Compare{{ConfigKey, current.ModRevision}, {Key: mark.Key}}, Then: []Write{mark, w}}, nil
}

// ConfigConflictError tells that a version was taken with another content.
type ConfigConflictError struct {
	Version                        uint64
	AcceptedDigest, ProposedDigest []byte // digests
}

func (e *ConfigConflictError) Error() string {
	return fmt.Sprintf("version %d was taken with the content %x, not %x", e.Version, e.AcceptedDigest, e.ProposedDigest)
}

// Endpoint is one life of one server, as kept under EndpointPrefix + its id.
type Endpoint struct {
	ID            string  `json:"id"`
	Service       string  `json:"service"`
	Version       string  `json:"version,omitempty"` // of its software
	Address       string  `json:"address"`
	Zone          string  `json:"zone"`
	Capacity      int     `json:"capacity"`
	Draining      bool    `json:"draining,omitempty"`
	Sequence      uint64  `json:"sequence"`
	WarmUpSeconds float64 `json:"cold_s,omitempty"`
	// WarmingUp stands from the beat that tells of it to the one that no longer does,
	// where the settings bound what a cold endpoint gets.
	WarmingUp bool `json:"cold,omitempty"`
}

// Proxy is one proxy node, as kept under ProxyPrefix + its name where clients
// find proxies through the directory.
type Proxy struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving,omitempty"`
	// Weight is what the node can carry, compared with others.
	Weight float64 `json:"weight"`
}

// Key is where the proxy stands.
func (p Proxy) Key() string { return ProxyPrefix + p.Name }

// Encode writes the proxy as an object's value.
func (p Proxy) Encode() []byte { return marshalValue(p) }

// DecodeProxy reads an object's value.
func DecodeProxy(o Object) (Proxy, error) { return unmarshalValue[Proxy](o) }

// Key is where the endpoint stands.
func (e Endpoint) Key() string { return EndpointPrefix + e.ID }

// Encode writes the endpoint as an object's value.
func (e Endpoint) Encode() []byte { return marshalValue(e) }

// DecodeEndpoint reads an object's value.
func DecodeEndpoint(o Object) (Endpoint, error) { return unmarshalValue[Endpoint](o) }

func marshalValue(v any) []byte {
	b, _ := json.Marshal(v) // a struct of plain fields always encodes
	return b
}

func unmarshalValue[T any](o Object) (v T, err error) {
	if err = json.Unmarshal(o.Value, &v); err != nil {
		err = fmt.Errorf("registry: %s: %w", o.Key, err)
	}
	return v, err
}
