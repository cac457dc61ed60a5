package registry

import (
	"encoding/binary"
	"encoding/json"
	"errors"

	"lichentray/audit"
	"lichentray/coordination"
)

// Commands stand in the log in a small binary form of their own: gob would
// write its type descriptions into every entry.

const (
	commandTxn          = 1
	commandCoordination = 2
	commandAudit        = 3 // the batch as JSON, since it is rare and read by people too

	writeFlagDelete = 1
	writeFlagDelta  = 2
)

var ErrMalformedCommand = errors.New("registry: command is cut short or of an unknown form")

func appendBytes(b []byte, s []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// EncodeCommand writes a command for the log.
func EncodeCommand(c Command) []byte {
	if c.Audit != nil {
		return append([]byte{commandAudit}, marshalValue(c.Audit)...)
	}
	if l := c.Coordination; l != nil {
		b := []byte{commandCoordination, byte(l.Operation)}
		b = appendBytes(b, []byte(l.Name))
		b = appendBytes(b, []byte(l.Holder))
		b = appendBytes(b, []byte(l.Value))
		has := uint64(0)
		if l.HasExpectedRevision {
			has = 1
		}
		for _, v := range []uint64{l.FencingToken, l.LeaseMS, l.ExpiredToken, l.ExpiredGrant, l.ExpectedRevision, has, l.CompactBefore} {
			b = binary.AppendUvarint(b, v)
		}
		return b
	}
	b := []byte{commandTxn}
	if c.Txn == nil {
		c.Txn = &Txn{}
	}
	b = binary.AppendUvarint(b, uint64(len(c.Txn.If)))
	for _, x := range c.Txn.If {
		b = appendBytes(b, []byte(x.Key))
		b = binary.AppendUvarint(b, x.ModRevision)
	}
	b = binary.AppendUvarint(b, uint64(len(c.Txn.Then)))
	for _, x := range c.Txn.Then {
		b = appendBytes(b, []byte(x.Key))
		how := uint64(0)
		if x.IsDelete {
			how |= writeFlagDelete
		}
		if x.IsDelta {
			how |= writeFlagDelta
		}
		b = binary.AppendUvarint(b, how)
		b = appendBytes(b, x.Value)
	}
	return b
}

type byteReader struct {
	rest      []byte
	malformed bool
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

func (r *byteReader) bytes() []byte {
	n := r.uvarint()
	if r.malformed || n > uint64(len(r.rest)) {
		r.malformed = true
		return nil
	}
	out := append([]byte(nil), r.rest[:n]...)
	r.rest = r.rest[n:]
	return out
}

func (r *byteReader) count() int {
	n := r.uvarint()
	if n > uint64(len(r.rest)) { // every item takes a byte at least
		r.malformed = true
		return 0
	}
	return int(n)
}

// DecodeCommand reads a command from the log.
func DecodeCommand(b []byte) (Command, error) {
	if len(b) < 1 {
		return Command{}, ErrMalformedCommand
	}
	r := &byteReader{rest: b[1:]}
	var c Command
	switch b[0] {
	case commandAudit:
		c.Audit = new(audit.Batch)
		if json.Unmarshal(r.rest, c.Audit) != nil {
			return Command{}, ErrMalformedCommand
		}
		return c, nil
	case commandCoordination:
		if len(b) < 2 {
			return Command{}, ErrMalformedCommand
		}
		r.rest = b[2:]
		l := &coordination.Command{Operation: coordination.Operation(b[1])}
		l.Name, l.Holder, l.Value = string(r.bytes()), string(r.bytes()), string(r.bytes())
		l.FencingToken, l.LeaseMS, l.ExpiredToken, l.ExpiredGrant = r.uvarint(), r.uvarint(), r.uvarint(), r.uvarint()
		l.ExpectedRevision, l.HasExpectedRevision, l.CompactBefore = r.uvarint(), r.uvarint() == 1, r.uvarint()
		c.Coordination = l
	case commandTxn:
		t := &Txn{}
		for i, n := 0, r.count(); i < n && !r.malformed; i++ {
			t.If = append(t.If, Compare{Key: string(r.bytes()), ModRevision: r.uvarint()})
		}
		for i, n := 0, r.count(); i < n && !r.malformed; i++ {
			w := Write{Key: string(r.bytes())}
			how := r.uvarint()
			r.malformed = r.malformed || how > writeFlagDelete|writeFlagDelta
			w.IsDelete, w.IsDelta = how&writeFlagDelete != 0, how&writeFlagDelta != 0
			w.Value = r.bytes()
			t.Then = append(t.Then, w)
		}
		c.Txn = t
	default:
		return Command{}, ErrMalformedCommand
	}
	if r.malformed || len(r.rest) != 0 {
		return Command{}, ErrMalformedCommand
	}
	return c, nil
}
