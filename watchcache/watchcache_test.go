package watchcache_test

import (
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"testing"
	"time"

	"lichentray/registry"
	"lichentray/watchcache"
)

// TestMirrorIsExact: a reader that lists once and then watches, with breaks,
// resumptions, bookmarks and lists after Gone, holds at every revision exactly
// what the store held.
func TestMirrorMatchesStore(t *testing.T) {
	for seed := int64(0); seed < 30; seed++ {
		r := rand.New(rand.NewSource(seed))
		s := registry.NewStore()
		c := watchcache.NewCache(200*time.Millisecond, 12, 30)
		m := watchcache.NewMirror()
		lists := 0
		for step := range 800 {
			now := time.Duration(step) * 10 * time.Millisecond
			if r.Intn(3) > 0 {
				txn := &registry.Txn{}
				for range 1 + r.Intn(2) {
					k := fmt.Sprint("k", r.Intn(6))
					w := registry.Write{Key: k, Value: []byte(fmt.Sprint(step)), IsDelete: r.Intn(4) == 0}
					if o, had := s.Get(k); had && !w.IsDelete && len(txn.Then) == 0 && r.Intn(2) == 0 {
						w.Value, w.IsDelta = registry.ComputeDelta(o.Value, w.Value), true
					}
					txn.Then = append(txn.Then, w)
				}
				_, ev := s.Apply(registry.Command{Txn: txn})
				c.Append(now, s.Revision(), ev)
			}
			if r.Intn(6) > 0 {
				continue // the reader is away or slow
			}
			if !m.HasSynced() {
				if err := m.Replace(s.Revision(), s.List("")); err != nil {
					t.Fatal(err)
				}
				lists++
			}
			for {
				events, err := c.EventsSince(m.Revision(), 3)
				if errors.Is(err, watchcache.ErrGone) {
					if err := m.Replace(s.Revision(), s.List("")); err != nil {
						t.Fatal(err)
					}
					lists++
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				if len(events) == 0 {
					m.ApplyBookmark(c.Revision())
					break
				}
				for _, e := range events {
					if _, err := m.ApplyEvent(e); err != nil {
						t.Fatal(err)
					}
				}
			}
			want := map[string]registry.Object{}
			for _, o := range s.List("") {
				want[o.Key] = o
			}
			if m.Revision() != s.Revision() || !reflect.DeepEqual(m.Objects(), want) {
				t.Fatalf("seed %d step %d: copy at %d is %v, the store at %d holds %v", seed, step, m.Revision(), m.Objects(), s.Revision(), want)
			}
		}
		if lists < 2 {
			t.Errorf("seed %d: the window was never left", seed)
		}
	}
}

func TestRevisionOutOfRange(t *testing.T) {
	c := watchcache.NewCache(time.Second, 10, 1000)
	c.Reset(5)
	if _, err := c.EventsSince(6, 1); !errors.Is(err, watchcache.ErrFutureRevision) {
		t.Errorf("a cache behind its reader said %v", err)
	}
	if _, err := c.EventsSince(4, 1); !errors.Is(err, watchcache.ErrGone) {
		t.Errorf("a cursor before the window got %v", err)
	}
	m := watchcache.NewMirror()
	_ = m.Replace(9, nil)
	if err := m.Replace(8, nil); !errors.Is(err, watchcache.ErrFutureRevision) {
		t.Errorf("an older list got %v", err)
	}
}

func Example() {
	s, c := registry.NewStore(), watchcache.NewCache(time.Minute, 100, 1<<20)
	write := func(key string) {
		_, ev := s.Apply(registry.Command{Txn: &registry.Txn{Then: []registry.Write{{Key: key}}}})
		c.Append(0, s.Revision(), ev)
	}
	write("a")
	m := watchcache.NewMirror()
	_ = m.Replace(s.Revision(), s.List("")) // list at N
	write("b")
	events, _ := c.EventsSince(m.Revision(), 10) // watch from N+1
	for _, e := range events {
		_, _ = m.ApplyEvent(e) // the copy holds the base
	}
	fmt.Println(m.Revision(), len(m.Objects()))
	// Output: 2 2
}
