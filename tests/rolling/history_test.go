package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// newTestHistory returns a history with three puts, a number and a fencing token.
func newTestHistory() (*history, *findings) {
	f := &findings{}
	h := newHistory(f)
	h.addNumber(0, 5)
	h.addFence(0, 6)
	h.addPut(0, 1, put{"g.a", "a1"})
	h.addPut(1, 2, put{"g.b", "b1"})
	h.addPut(2, 3, put{"g.a", "a2"})
	h.addRejected("bad")
	return h, f
}

func TestHistoryFindsViolations(t *testing.T) {
	whole := []event{{"g.a", "a1", 1}, {"g.b", "b1", 2}, {"g.a", "a2", 3}}
	for _, test := range []struct {
		name string
		add  func(*history)
		want string // substring of the only finding; "" if none is expected
	}{
		{"higher number", func(h *history) { h.addNumber(5, 7) }, ""},
		{"number below one allocated by a concurrent call", func(h *history) { h.addNumber(4, 5+1); h.addNumber(5, 9) }, ""},
		{"lower number", func(h *history) { h.addNumber(5, 4) }, "number 4 is not above 5"},
		{"duplicate number", func(h *history) { h.addNumber(4, 5) }, "number 5 was allocated twice"},
		{"higher fencing token", func(h *history) { h.addFence(6, 8) }, ""},
		{"lower fencing token", func(h *history) { h.addFence(6, 3) }, "fencing token 3 is not above 6"},
		{"duplicate fencing token", func(h *history) { h.addFence(5, 6) }, "fencing token 6 was granted twice"},
		{"lower revision", func(h *history) { h.addPut(9, 4, put{"g.a", "a3"}) }, "revision 4 is not above 9"},
		{"duplicate revision", func(h *history) { h.addPut(2, 3, put{"g.b", "b2"}) }, "revision 3 was assigned to"},
		{"missing revision", func(h *history) { h.addPut(3, 5, put{"g.b", "b2"}); h.checkAll() }, "put 4 of the group has revision 5"},
		{"read of the latest revision", func(h *history) { h.addRead(3, read{put{"g.a", "a2"}, 3}); h.checkAll() }, ""},
		{"read of an old revision", func(h *history) { h.addRead(3, read{put{"g.a", "a1"}, 1}); h.checkAll() }, "read of cell g.a returned revision 1, below the acknowledged 3"},
		{"read of another value", func(h *history) { h.addRead(3, read{put{"g.a", "a1"}, 3}); h.checkAll() }, "but {g.a a2} was put"},
		{"read of another cell's value", func(h *history) { h.addRead(2, read{put{"g.b", "a1"}, 2}); h.checkAll() }, "but {g.b b1} was put"},
		{"read of a rejected value", func(h *history) { h.addRead(3, read{put{"g.a", "bad"}, 4}); h.checkAll() }, "is of a rejected put"},
		{"read of an unknown value", func(h *history) { h.addRead(3, read{put{"g.a", "a9"}, 4}); h.checkAll() }, "was never put"},
		{"watch", func(h *history) { h.checkEvents("w", 0, whole, true) }, ""},
		{"watch resumed", func(h *history) { h.checkEvents("w", 1, whole[1:], true) }, ""},
		{"watch of a put in progress", func(h *history) {
			h.checkEvents("w", 3, []event{{"g.b", "b2", 4}}, false)
			h.addPut(3, 4, put{"g.b", "b2"})
			h.checkAll()
		}, ""},
		{"watch of a put in progress with another value", func(h *history) {
			h.checkEvents("w", 3, []event{{"g.b", "b9", 4}}, false)
			h.addPut(3, 4, put{"g.b", "b2"})
			h.checkAll()
		}, "but {g.b b2} was put"},
		{"watch with a missing event", func(h *history) { h.checkEvents("w", 0, []event{whole[0], whole[2]}, true) }, ", want revision 2"},
		{"watch with a duplicate event", func(h *history) { h.checkEvents("w", 0, []event{whole[0], whole[0]}, false) }, ", want revision 2"},
		{"watch that ends early", func(h *history) { h.checkEvents("w", 0, whole[:2], true) }, "last event has revision 2, last acknowledged put 3"},
		{"watch with another value", func(h *history) { h.checkEvents("w", 2, []event{{"g.a", "a1", 3}}, true) }, "but {g.a a2} was put"},
		{"watch with a rejected value", func(h *history) { h.checkEvents("w", 3, []event{{"g.a", "bad", 4}}, false) }, "is of a rejected put"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, f := newTestHistory()
			test.add(h)
			err := f.err()
			switch {
			case test.want == "" && err != nil:
				t.Error(err)
			case test.want != "" && (err == nil || f.count != 1 || !strings.Contains(err.Error(), test.want)):
				t.Errorf("findings = %v, want one that contains %q", err, test.want)
			}
		})
	}
}

func TestCompareJSON(t *testing.T) {
	text := configurationText(3)
	if err := compareJSON([]byte(" "+strings.ReplaceAll(text, ",", " , ")), []byte(text)); err != nil {
		t.Error(err)
	}
	if err := compareJSON([]byte(configurationText(2)), []byte(text)); err == nil {
		t.Error("compareJSON of two versions = nil, want an error")
	}
	if err := compareJSON([]byte(text[:len(text)-1]), []byte(text)); err == nil {
		t.Error("compareJSON of a truncated text = nil, want an error")
	}
}

func TestFindProgramsByEitherName(t *testing.T) {
	for _, names := range [][]string{
		{"lichentray-controlplane", "lichentray-proxy", "lichentrayctl", "endpoint"},
		{"vise", "router", "gauge", "endpoint"},
	} {
		directory := t.TempDir()
		for _, name := range names {
			if err := os.WriteFile(filepath.Join(directory, name), nil, 0o700); err != nil {
				t.Fatal(err)
			}
		}
		p, err := findPrograms("first", directory)
		if err != nil {
			t.Fatal(err)
		}
		for i, path := range []string{p.controlPlane, p.proxy, p.command, p.endpoint} {
			if filepath.Base(path) != names[i] {
				t.Errorf("findPrograms found %s, want %s", path, names[i])
			}
		}
		if err := os.Remove(filepath.Join(directory, names[1])); err != nil {
			t.Fatal(err)
		}
		if _, err := findPrograms("first", directory); err == nil {
			t.Error("findPrograms without a proxy = nil, want an error")
		}
	}
}
