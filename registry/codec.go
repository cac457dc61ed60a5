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
	codeTxn     = 1
	codeLatch   = 2
	codeAccount = 3 // the batch as JSON, since it is rare and read by people too

	writeDelete = 1
	writePatch  = 2
)

var errShort = errors.New("registry: command is cut short or of an unknown form")

func putBytes(b []byte, s []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// EncodeCommand writes a command for the log.
func EncodeCommand(c Command) []byte {
	if c.Account != nil {
		return append([]byte{codeAccount}, encode(c.Account)...)
	}
	if l := c.Latch; l != nil {
		b := []byte{codeLatch, byte(l.Op)}
		b = putBytes(b, []byte(l.Name))
		b = putBytes(b, []byte(l.Holder))
		b = putBytes(b, []byte(l.Value))
		has := uint64(0)
		if l.HasExpect {
			has = 1
		}
		for _, v := range []uint64{l.Fence, l.HoldMS, l.SpentFence, l.SpentGrant, l.Expect, has, l.Before} {
			b = binary.AppendUvarint(b, v)
		}
		return b
	}
	b := []byte{codeTxn}
	if c.Txn == nil {
		c.Txn = &Txn{}
	}
	b = binary.AppendUvarint(b, uint64(len(c.Txn.If)))
	for _, x := range c.Txn.If {
		b = putBytes(b, []byte(x.Key))
		b = binary.AppendUvarint(b, x.ModRevision)
	}
	b = binary.AppendUvarint(b, uint64(len(c.Txn.Then)))
	for _, x := range c.Txn.Then {
		b = putBytes(b, []byte(x.Key))
		how := uint64(0)
		if x.Delete {
			how |= writeDelete
		}
		if x.Patch {
			how |= writePatch
		}
		b = binary.AppendUvarint(b, how)
		b = putBytes(b, x.Value)
	}
	return b
}

type reader struct {
	b   []byte
	bad bool
}

func (r *reader) num() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) bytes() []byte {
	n := r.num()
	if r.bad || n > uint64(len(r.b)) {
		r.bad = true
		return nil
	}
	out := append([]byte(nil), r.b[:n]...)
	r.b = r.b[n:]
	return out
}

func (r *reader) count() int {
	n := r.num()
	if n > uint64(len(r.b)) { // every item takes a byte at least
		r.bad = true
		return 0
	}
	return int(n)
}

// DecodeCommand reads a command from the log.
func DecodeCommand(b []byte) (Command, error) {
	if len(b) < 1 {
		return Command{}, errShort
	}
	r := &reader{b: b[1:]}
	var c Command
	switch b[0] {
	case codeAccount:
		c.Account = new(audit.Batch)
		if json.Unmarshal(r.b, c.Account) != nil {
			return Command{}, errShort
		}
		return c, nil
	case codeLatch:
		if len(b) < 2 {
			return Command{}, errShort
		}
		r.b = b[2:]
		l := &coordination.Command{Op: coordination.Op(b[1])}
		l.Name, l.Holder, l.Value = string(r.bytes()), string(r.bytes()), string(r.bytes())
		l.Fence, l.HoldMS, l.SpentFence, l.SpentGrant = r.num(), r.num(), r.num(), r.num()
		l.Expect, l.HasExpect, l.Before = r.num(), r.num() == 1, r.num()
		c.Latch = l
	case codeTxn:
		t := &Txn{}
		for i, n := 0, r.count(); i < n && !r.bad; i++ {
			t.If = append(t.If, Condition{Key: string(r.bytes()), ModRevision: r.num()})
		}
		for i, n := 0, r.count(); i < n && !r.bad; i++ {
			w := Write{Key: string(r.bytes())}
			how := r.num()
			r.bad = r.bad || how > writeDelete|writePatch
			w.Delete, w.Patch = how&writeDelete != 0, how&writePatch != 0
			w.Value = r.bytes()
			t.Then = append(t.Then, w)
		}
		c.Txn = t
	default:
		return Command{}, errShort
	}
	if r.bad || len(r.b) != 0 {
		return Command{}, errShort
	}
	return c, nil
}
