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

// TestMirrorMatchesStore lets a follower list once and then watch, with interruptions,
// resumptions, bookmarks and lists after ErrGone. At every revision its mirror must hold
// exactly what the store held.
func TestMirrorMatchesStore(t *testing.T) {
	for seed := int64(0); seed < 30; seed++ {
		random := rand.New(rand.NewSource(seed))
		store := registry.NewStore()
		cache := watchcache.NewCache(200*time.Millisecond, 12, 30)
		mirror := watchcache.NewMirror()
		lists := 0
		for step := range 800 {
			now := time.Duration(step) * 10 * time.Millisecond
			if random.Intn(3) > 0 {
				txn := &registry.Txn{}
				for range 1 + random.Intn(2) {
					k := fmt.Sprint("k", random.Intn(6))
					w := registry.Write{Key: k, Value: []byte(fmt.Sprint(step)), IsDelete: random.Intn(4) == 0}
					if o, had := store.Get(k); had && !w.IsDelete && len(txn.Then) == 0 && random.Intn(2) == 0 {
						w.Value, w.IsDelta = registry.ComputeDelta(o.Value, w.Value), true
					}
					txn.Then = append(txn.Then, w)
				}
				_, ev := store.Apply(registry.Command{Txn: txn})
				cache.Append(now, store.Revision(), ev)
			}
			if random.Intn(6) > 0 {
				continue // the follower is disconnected or slow
			}
			if !mirror.HasSynced() {
				if err := mirror.Replace(store.Revision(), store.List("")); err != nil {
					t.Fatal(err)
				}
				lists++
			}
			for {
				events, err := cache.EventsSince(mirror.Revision(), 3)
				if errors.Is(err, watchcache.ErrGone) {
					if err := mirror.Replace(store.Revision(), store.List("")); err != nil {
						t.Fatal(err)
					}
					lists++
					break
				}
				if err != nil {
					t.Fatal(err)
				}
				if len(events) == 0 {
					mirror.ApplyBookmark(cache.Revision())
					break
				}
				for _, e := range events {
					if _, err := mirror.ApplyEvent(e); err != nil {
						t.Fatal(err)
					}
				}
			}
			want := map[string]registry.Object{}
			for _, o := range store.List("") {
				want[o.Key] = o
			}
			if mirror.Revision() != store.Revision() || !reflect.DeepEqual(mirror.Objects(), want) {
				t.Fatalf("seed %d step %d: the mirror at %d is %v, the store at %d holds %v", seed, step, mirror.Revision(), mirror.Objects(), store.Revision(), want)
			}
		}
		if lists < 2 {
			t.Errorf("seed %d: the follower never fell out of the window", seed)
		}
	}
}

// TestRevisionOutOfRange asks for revisions that a cache or a mirror cannot serve.
func TestRevisionOutOfRange(t *testing.T) {
	cache := watchcache.NewCache(time.Second, 10, 1000)
	cache.Reset(5)
	if _, err := cache.EventsSince(6, 1); !errors.Is(err, watchcache.ErrFutureRevision) {
		t.Errorf("a cache that lags behind its reader returned %v", err)
	}
	if _, err := cache.EventsSince(4, 1); !errors.Is(err, watchcache.ErrGone) {
		t.Errorf("a revision before the window returned %v", err)
	}
	mirror := watchcache.NewMirror()
	_ = mirror.Replace(9, nil)
	if err := mirror.Replace(8, nil); !errors.Is(err, watchcache.ErrFutureRevision) {
		t.Errorf("an older list returned %v", err)
	}
}

func Example() {
	store, cache := registry.NewStore(), watchcache.NewCache(time.Minute, 100, 1<<20)
	write := func(key string) {
		_, ev := store.Apply(registry.Command{Txn: &registry.Txn{Then: []registry.Write{{Key: key}}}})
		cache.Append(0, store.Revision(), ev)
	}
	write("a")
	mirror := watchcache.NewMirror()
	_ = mirror.Replace(store.Revision(), store.List("")) // list at N
	write("b")
	events, _ := cache.EventsSince(mirror.Revision(), 10) // watch from N+1
	for _, e := range events {
		_, _ = mirror.ApplyEvent(e)
	}
	fmt.Println(mirror.Revision(), len(mirror.Objects()))
	// Output: 2 2
}
