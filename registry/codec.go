package registry

import (
	"encoding/binary"
	"encoding/json"
	"errors"

	"lichentray/audit"
	"lichentray/coordination"
)

// The log stores a command in a compact binary encoding: one byte for the kind, then
// uvarints and length-prefixed byte strings. Gob would repeat its type descriptors in
// every entry. The encoding is stored data, so a new kind must get a new byte.
const (
	commandTxn          = 1
	commandCoordination = 2
	commandAudit        = 3 // followed by JSON: audit batches are rare, and JSON is readable

	writeFlagDelete = 1
	writeFlagDelta  = 2
)

// ErrMalformedCommand is returned for bytes that do not encode a command: truncated data,
// trailing bytes or an unknown kind.
var ErrMalformedCommand = errors.New("registry: malformed command")

// EncodeCommand returns the log encoding of a command. A command with no field set is
// encoded as an empty transaction.
func EncodeCommand(c Command) []byte {
	switch {
	case c.Audit != nil:
		return append([]byte{commandAudit}, marshalValue(c.Audit)...)
	case c.Coordination != nil:
		return encodeCoordination(c.Coordination)
	case c.Txn != nil:
		return encodeTxn(c.Txn)
	}
	return encodeTxn(&Txn{})
}

func encodeCoordination(c *coordination.Command) []byte {
	b := []byte{commandCoordination, byte(c.Operation)}
	b = appendBytes(b, []byte(c.Name))
	b = appendBytes(b, []byte(c.Holder))
	b = appendBytes(b, []byte(c.Value))
	b = binary.AppendUvarint(b, c.FencingToken)
	b = binary.AppendUvarint(b, c.LeaseMS)
	b = binary.AppendUvarint(b, c.ExpiredToken)
	b = binary.AppendUvarint(b, c.ExpiredGrant)
	b = binary.AppendUvarint(b, c.ExpectedRevision)
	if c.HasExpectedRevision {
		b = binary.AppendUvarint(b, 1)
	} else {
		b = binary.AppendUvarint(b, 0)
	}
	return binary.AppendUvarint(b, c.CompactBefore)
}

func encodeTxn(txn *Txn) []byte {
	b := []byte{commandTxn}
	b = binary.AppendUvarint(b, uint64(len(txn.If)))
	for _, c := range txn.If {
		b = appendBytes(b, []byte(c.Key))
		b = binary.AppendUvarint(b, c.ModRevision)
	}
	b = binary.AppendUvarint(b, uint64(len(txn.Then)))
	for _, w := range txn.Then {
		b = appendBytes(b, []byte(w.Key))
		flags := uint64(0)
		if w.IsDelete {
			flags |= writeFlagDelete
		}
		if w.IsDelta {
			flags |= writeFlagDelta
		}
		b = binary.AppendUvarint(b, flags)
		b = appendBytes(b, w.Value)
	}
	return b
}

// DecodeCommand decodes a command from its log encoding. The error is
// ErrMalformedCommand. The command does not share memory with b.
func DecodeCommand(b []byte) (Command, error) {
	if len(b) == 0 {
		return Command{}, ErrMalformedCommand
	}
	var c Command
	r := &byteReader{rest: b[1:]}
	switch b[0] {
	case commandAudit:
		c.Audit = new(audit.Batch)
		if json.Unmarshal(r.rest, c.Audit) != nil {
			return Command{}, ErrMalformedCommand
		}
		return c, nil
	case commandCoordination:
		c.Coordination = decodeCoordination(r)
	case commandTxn:
		c.Txn = decodeTxn(r)
	default:
		return Command{}, ErrMalformedCommand
	}
	if r.malformed || len(r.rest) != 0 {
		return Command{}, ErrMalformedCommand
	}
	return c, nil
}

func decodeCoordination(r *byteReader) *coordination.Command {
	// Go evaluates the calls in source order, which must match encodeCoordination.
	return &coordination.Command{
		Operation:           coordination.Operation(r.byte()),
		Name:                string(r.bytes()),
		Holder:              string(r.bytes()),
		Value:               string(r.bytes()),
		FencingToken:        r.uvarint(),
		LeaseMS:             r.uvarint(),
		ExpiredToken:        r.uvarint(),
		ExpiredGrant:        r.uvarint(),
		ExpectedRevision:    r.uvarint(),
		HasExpectedRevision: r.uvarint() == 1,
		CompactBefore:       r.uvarint(),
	}
}

func decodeTxn(r *byteReader) *Txn {
	txn := &Txn{}
	for i, n := 0, r.count(); i < n && !r.malformed; i++ {
		txn.If = append(txn.If, Compare{Key: string(r.bytes()), ModRevision: r.uvarint()})
	}
	for i, n := 0, r.count(); i < n && !r.malformed; i++ {
		w := Write{Key: string(r.bytes())}
		flags := r.uvarint()
		if flags > writeFlagDelete|writeFlagDelta {
			r.malformed = true
		}
		w.IsDelete = flags&writeFlagDelete != 0
		w.IsDelta = flags&writeFlagDelta != 0
		w.Value = r.bytes()
		txn.Then = append(txn.Then, w)
	}
	return txn
}

// appendBytes appends a length-prefixed byte string.
func appendBytes(b, s []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// byteReader decodes the output of binary.AppendUvarint and appendBytes. malformed stays
// set after the first failed read, so that a caller can read several items and check
// once.
type byteReader struct {
	rest      []byte
	malformed bool
}

func (r *byteReader) byte() byte {
	if len(r.rest) == 0 {
		r.malformed = true
		return 0
	}
	b := r.rest[0]
	r.rest = r.rest[1:]
	return b
}

func (r *byteReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.malformed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// bytes reads a byte string and returns a copy of it.
func (r *byteReader) bytes() []byte {
	n := r.uvarint()
	if r.malformed || n > uint64(len(r.rest)) {
		r.malformed = true
		return nil
	}
	s := append([]byte(nil), r.rest[:n]...)
	r.rest = r.rest[n:]
	return s
}

// count reads the number of items that follow. An item takes at least one byte, so a count
// above the number of remaining bytes is malformed. The check bounds the memory that a
// corrupt entry can allocate.
func (r *byteReader) count() int {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.malformed = true
		return 0
	}
	return int(n)
}
