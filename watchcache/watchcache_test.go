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

// TestMirrorMatchesStore guards against events that a mirror misses or applies wrongly. A
// watcher lists once and then watches with interruptions, bookmarks and a new list after
// each ErrGone. Each time it has caught up, its mirror must equal the store.
func TestMirrorMatchesStore(t *testing.T) {
	for seed := int64(0); seed < 30; seed++ {
		random := rand.New(rand.NewSource(seed))
		store := registry.NewStore()
		cache := watchcache.NewCache(200*time.Millisecond, 12, 30)
		mirror := watchcache.NewMirror()
		listCount := 0
		for step := range 800 {
			now := time.Duration(step) * 10 * time.Millisecond
			if random.Intn(3) > 0 {
				txn := &registry.Txn{}
				for range 1 + random.Intn(2) {
					key := fmt.Sprint("k", random.Intn(6))
					w := registry.Write{Key: key, Value: []byte(fmt.Sprint(step)), IsDelete: random.Intn(4) == 0}
					if o, exists := store.Get(key); exists && !w.IsDelete && len(txn.Then) == 0 && random.Intn(2) == 0 {
						w.Value, w.IsDelta = registry.ComputeDelta(o.Value, w.Value), true
					}
					txn.Then = append(txn.Then, w)
				}
				_, events := store.Apply(registry.Command{Txn: txn})
				cache.Append(now, store.Revision(), events)
			}
			if random.Intn(6) > 0 {
				continue // the watcher is disconnected or slow
			}
			if !mirror.HasSynced() {
				if err := mirror.Replace(store.Revision(), store.List("")); err != nil {
					t.Fatal(err)
				}
				listCount++
			}
			for {
				events, err := cache.EventsSince(mirror.Revision(), 3)
				if errors.Is(err, watchcache.ErrGone) {
					if err := mirror.Replace(store.Revision(), store.List("")); err != nil {
						t.Fatal(err)
					}
					listCount++
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
				t.Fatalf("seed %d, step %d: mirror at revision %d holds %v; store at revision %d holds %v", seed, step, mirror.Revision(), mirror.Objects(), store.Revision(), want)
			}
		}
		if listCount < 2 {
			t.Errorf("seed %d: the watcher never fell behind the event window", seed)
		}
	}
}

// TestRevisionOutOfRange guards against serving a watcher from a cache that is behind it or
// has dropped its events, and against replacing a mirror by an older list.
func TestRevisionOutOfRange(t *testing.T) {
	cache := watchcache.NewCache(time.Second, 10, 1000)
	cache.Reset(5)
	if _, err := cache.EventsSince(6, 1); !errors.Is(err, watchcache.ErrFutureRevision) {
		t.Errorf("EventsSince beyond the cache's revision = %v, want ErrFutureRevision", err)
	}
	if _, err := cache.EventsSince(4, 1); !errors.Is(err, watchcache.ErrGone) {
		t.Errorf("EventsSince before the event window = %v, want ErrGone", err)
	}
	mirror := watchcache.NewMirror()
	_ = mirror.Replace(9, nil)
	if err := mirror.Replace(8, nil); !errors.Is(err, watchcache.ErrFutureRevision) {
		t.Errorf("Replace with an older list = %v, want ErrFutureRevision", err)
	}
}

func Example() {
	store, cache := registry.NewStore(), watchcache.NewCache(time.Minute, 100, 1<<20)
	write := func(key string) {
		_, events := store.Apply(registry.Command{Txn: &registry.Txn{Then: []registry.Write{{Key: key}}}})
		cache.Append(0, store.Revision(), events)
	}
	write("a")
	mirror := watchcache.NewMirror()
	_ = mirror.Replace(store.Revision(), store.List("")) // list
	write("b")
	events, _ := cache.EventsSince(mirror.Revision(), 10) // watch from the revision of the list
	for _, e := range events {
		_, _ = mirror.ApplyEvent(e)
	}
	fmt.Println(mirror.Revision(), len(mirror.Objects()))
	// Output: 2 2
}
