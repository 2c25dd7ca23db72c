package store

import (
	"testing"

	"wheatspur/wire"
)

func encoded(value string) wire.Raw { return wire.MustMarshal(value) }

// cachedValues are the values that a cache has handed out, as the controller keeps them.
type cachedValues map[string]string

func (v cachedValues) update(key string, raw wire.Raw, _ uint64) {
	if raw == nil {
		delete(v, key)
		return
	}
	var value string
	if err := wire.Unmarshal(raw, &value); err != nil {
		panic(err)
	}
	v[key] = value
}

// loadedCache returns a cache that holds what one page showed at revision 10, and the
// values that it hands out.
func loadedCache(t *testing.T, pairs ...wire.KeyValue) (*Cache, cachedValues) {
	t.Helper()
	values := cachedValues{}
	cache := NewCache(values.update)
	cache.Load(pairs, 10, 10)
	if !cache.Consistent() || cache.Revision() != 10 {
		t.Fatalf("after a load at one revision: consistent %v, revision %d", cache.Consistent(), cache.Revision())
	}
	for _, pair := range pairs {
		if cache.Version(pair.Key) != pair.Version {
			t.Fatalf("version of %s after the load: %d, want %d", pair.Key, cache.Version(pair.Key), pair.Version)
		}
	}
	return cache, values
}

func TestCacheKeepsNewestVersionOfEachKey(t *testing.T) {
	cache, values := loadedCache(t, wire.KeyValue{Key: "a", Value: encoded("1"), Version: 5})
	// The controller's own write is ahead of the watch.
	cache.ApplyOwnWrite([]wire.Operation{{Put: "a", Value: encoded("3")}}, 13)
	cache.Apply(wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Put: "a", Value: encoded("2"), Version: 12}, {Put: "b", Value: encoded("x"), Version: 11}}})
	if values["a"] != "3" || values["b"] != "x" || cache.Revision() != 12 {
		t.Fatalf("an older event has overwritten the own write: %v revision %d", values, cache.Revision())
	}
	// A response of an older watch changes nothing.
	cache.Apply(wire.WatchResponse{Revision: 11, Events: []wire.WatchEvent{{Put: "b", Value: encoded("old"), Version: 11}}})
	if values["b"] != "x" || cache.Revision() != 12 {
		t.Fatalf("a late response was applied: %v", values)
	}
}

// A key that the controller deleted itself must not come back by an older event.
func TestCacheOwnDeletionSurvivesOlderEvents(t *testing.T) {
	cache, values := loadedCache(t, wire.KeyValue{Key: "a", Value: encoded("1"), Version: 5})
	cache.ApplyOwnWrite([]wire.Operation{{Delete: "a"}}, 14)
	cache.Apply(wire.WatchResponse{Revision: 13, Events: []wire.WatchEvent{{Put: "a", Value: encoded("2"), Version: 12}}})
	if _, ok := values["a"]; ok || cache.Version("a") != 0 {
		t.Fatal("a deleted key came back")
	}
	cache.Apply(wire.WatchResponse{Revision: 15, Events: []wire.WatchEvent{{Delete: "a", Version: 14}, {Put: "a", Value: encoded("4"), Version: 15}}})
	if values["a"] != "4" {
		t.Fatal("a key put anew is missing")
	}
}

// The answer to a write came after the watch had shown it, and after it that
// another controller deleted the key: the key came back for good.
func TestCacheLateWriteAnswerDoesNotRestoreDeletedKey(t *testing.T) {
	cache, values := loadedCache(t, wire.KeyValue{Key: "a", Value: encoded("1"), Version: 5})
	cache.Apply(wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Put: "a", Value: encoded("2"), Version: 11}, {Delete: "a", Version: 12}}})
	cache.ApplyOwnWrite([]wire.Operation{{Put: "a", Value: encoded("2")}}, 11)
	if _, ok := values["a"]; ok || cache.Version("a") != 0 {
		t.Fatal("a deleted key came back by a late answer")
	}
}

// Pages of one read show different revisions: decisions wait until the watch has
// caught up with the last page, or a team's key could be newer than the claims
// that the cache holds.
func TestCacheInconsistentUntilWatchReachesLastPage(t *testing.T) {
	values := cachedValues{}
	cache := NewCache(values.update)
	cache.Load([]wire.KeyValue{{Key: "a", Value: encoded("1"), Version: 5}, {Key: "z", Value: encoded("1"), Version: 12}}, 10, 12)
	if cache.Consistent() {
		t.Fatal("consistent between two revisions")
	}
	cache.Apply(wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Put: "a", Value: encoded("2"), Version: 12}, {Put: "z", Value: encoded("1"), Version: 12}}})
	if !cache.Consistent() || values["a"] != "2" {
		t.Fatal("not consistent after the watch has caught up")
	}
}

func TestCacheReloadDropsKeysNoLongerListed(t *testing.T) {
	cache, values := loadedCache(t, wire.KeyValue{Key: "a", Value: encoded("1"), Version: 5}, wire.KeyValue{Key: "b", Value: encoded("1"), Version: 6})
	cache.Load([]wire.KeyValue{{Key: "b", Value: encoded("1"), Version: 6}}, 20, 20)
	if _, ok := values["a"]; ok {
		t.Fatal("a key that is gone stayed")
	}
	if values["b"] != "1" {
		t.Fatal("a key that still exists was lost")
	}
}
