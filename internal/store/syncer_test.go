package store

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wheatspur/wire"
)

// stubStore answers reads by its functions; other calls panic.
type stubStore struct {
	KeyValueStore
	list  func(after string) (wire.ListResponse, error)
	watch func(after uint64, hold time.Duration) (wire.WatchResponse, error)
}

func (s *stubStore) List(_ context.Context, _, after string) (wire.ListResponse, error) {
	return s.list(after)
}

func (s *stubStore) Watch(_ context.Context, _ string, after uint64, hold time.Duration) (wire.WatchResponse, error) {
	return s.watch(after, hold)
}

// newTestSyncer returns a syncer on which at most two callers can wait for a read
// barrier, its cache, and the values that the cache has passed to its update function.
func newTestSyncer(store KeyValueStore) (*Syncer, *Cache, cachedValues) {
	values := cachedValues{}
	cache := NewCache(values.update)
	return NewSyncer(store, "w/", &sync.Mutex{}, cache, func() {}, 2, time.Now, slog.New(slog.DiscardHandler)), cache, values
}

// onePage answers a full read with the key "a" at revision 10.
func onePage(string) (wire.ListResponse, error) {
	return wire.ListResponse{Revision: 10, KeyValues: []wire.KeyValue{{Key: "a", Value: encoded("1"), Version: 5}}}, nil
}

func TestSyncerLoadReadsAllPages(t *testing.T) {
	var afters []string
	store := &stubStore{list: func(after string) (wire.ListResponse, error) {
		afters = append(afters, after)
		if after == "" {
			return wire.ListResponse{Revision: 10, Truncated: true, KeyValues: []wire.KeyValue{{Key: "a", Value: encoded("1"), Version: 5}}}, nil
		}
		return wire.ListResponse{Revision: 12, KeyValues: []wire.KeyValue{{Key: "b", Value: encoded("2"), Version: 11}}}, nil
	}}
	syncer, cache, values := newTestSyncer(store)
	if err := syncer.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(afters, []string{"", "a"}) || values["a"] != "1" || values["b"] != "2" {
		t.Fatalf("pages read after %q, values %v", afters, values)
	}
	if cache.Revision() != 10 || cache.Consistent() {
		t.Fatalf("revision %d, consistent %v; want the first page's revision 10, and inconsistent until the last page's", cache.Revision(), cache.Consistent())
	}
}

func TestSyncerLoadAppliesNothingIfPageFails(t *testing.T) {
	store := &stubStore{list: func(after string) (wire.ListResponse, error) {
		if after != "" {
			return wire.ListResponse{}, ErrRejected
		}
		return wire.ListResponse{Revision: 10, Truncated: true, KeyValues: []wire.KeyValue{{Key: "a", Value: encoded("1"), Version: 5}}}, nil
	}}
	syncer, cache, values := newTestSyncer(store)
	if err := syncer.Load(t.Context()); !errors.Is(err, ErrRejected) || len(values) != 0 || cache.Revision() != 0 {
		t.Fatalf("error %v, values %v, revision %d", err, values, cache.Revision())
	}
}

func TestSyncerReloadsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var calls []string
		store := &stubStore{
			list: func(after string) (wire.ListResponse, error) {
				calls = append(calls, "list")
				return onePage(after)
			},
			watch: func(uint64, time.Duration) (wire.WatchResponse, error) {
				calls = append(calls, "watch")
				switch len(calls) {
				case 2:
					return wire.WatchResponse{}, ErrOutcomeUnknown
				case 3:
					return wire.WatchResponse{}, ErrCompacted
				}
				cancel()
				return wire.WatchResponse{Revision: 11}, nil
			},
		}
		syncer, _, _ := newTestSyncer(store)
		if err := syncer.Run(ctx); err != nil {
			t.Fatal(err)
		}
		if want := []string{"list", "watch", "watch", "list", "watch"}; !slices.Equal(calls, want) {
			t.Fatalf("calls %v, want %v", calls, want)
		}
	})
}

// serveBarriers runs ServeBarriers until the test ends.
func serveBarriers(t *testing.T, syncer *Syncer) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		synctest.Wait()
	})
	go func() {
		if err := syncer.ServeBarriers(ctx); err != nil {
			t.Error(err)
		}
	}()
}

func TestReadBarrierIsSharedAndBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		watches := 0
		store := &stubStore{list: onePage, watch: func(_ uint64, hold time.Duration) (wire.WatchResponse, error) {
			watches++
			if hold != 0 {
				t.Errorf("the watch of a barrier has hold time %v, want 0", hold)
			}
			time.Sleep(time.Millisecond)
			return wire.WatchResponse{Revision: 11, Events: []wire.WatchEvent{{Put: "a", Value: encoded("2"), Version: 11}}}, nil
		}}
		syncer, _, values := newTestSyncer(store)
		if err := syncer.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		errs := make(chan error, 3)
		for range 3 {
			go func() { errs <- syncer.ReadBarrier(time.Second) }()
		}
		synctest.Wait()
		if len(errs) != 1 || !errors.Is(<-errs, ErrQueueFull) {
			t.Fatal("the third caller was not rejected, with a limit of two")
		}
		sent := time.Now()
		serveBarriers(t, syncer)
		for range 2 {
			if err := <-errs; err != nil {
				t.Fatal(err)
			}
		}
		if watches != 1 || values["a"] != "2" || !syncer.LastReadAt().Equal(sent) {
			t.Fatalf("%d reads, values %v, last read at %v; want one read sent at %v", watches, values, syncer.LastReadAt(), sent)
		}
	})
}

func TestReadBarrierErrors(t *testing.T) {
	for _, c := range []struct {
		name         string
		load, served bool
		want         error
	}{
		{"cache not loaded yet", false, true, ErrRejected},
		{"read fails", true, true, ErrCompacted},
		{"not served before the timeout", true, false, ErrOutcomeUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				syncer, _, _ := newTestSyncer(&stubStore{list: onePage, watch: func(uint64, time.Duration) (wire.WatchResponse, error) {
					return wire.WatchResponse{}, ErrCompacted
				}})
				if c.load {
					if err := syncer.Load(t.Context()); err != nil {
						t.Fatal(err)
					}
				}
				if c.served {
					serveBarriers(t, syncer)
				}
				if err := syncer.ReadBarrier(time.Second); !errors.Is(err, c.want) {
					t.Fatalf("error %v, want %v", err, c.want)
				}
			})
		})
	}
}
