package store

import (
	"testing"

	"wheatspur/wire"
)

func encoded(value string) wire.Raw { return wire.MustMarshal(value) }

// cachedValues holds the values that a cache has passed to its update function, by key.
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

// loadedCache returns a cache loaded with one page at revision 10, and the values that
// the cache has passed to its update function.
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
	// The controller's own write is ahead of the watch's revision.
	cache.ApplyOwnWrite([]wire.Operation{{Put: "a", Value: encoded("3")}}, 13)
	cache.Apply(wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Put: "a", Value: encoded("2"), Version: 12}, {Put: "b", Value: encoded("x"), Version: 11}}})
	if values["a"] != "3" || values["b"] != "x" || cache.Revision() != 12 {
		t.Fatalf("an older event has overwritten the controller's own write: values %v, revision %d", values, cache.Revision())
	}
	// A response of an earlier watch changes nothing.
	cache.Apply(wire.WatchResponse{Revision: 11, Events: []wire.WatchEvent{{Put: "b", Value: encoded("old"), Version: 11}}})
	if values["b"] != "x" || cache.Revision() != 12 {
		t.Fatalf("a response of an earlier watch was applied: %v", values)
	}
}

// An event older than the controller's own deletion of a key must not restore the key.
func TestCacheOwnDeletionSurvivesOlderEvents(t *testing.T) {
	cache, values := loadedCache(t, wire.KeyValue{Key: "a", Value: encoded("1"), Version: 5})
	cache.ApplyOwnWrite([]wire.Operation{{Delete: "a"}}, 14)
	cache.Apply(wire.WatchResponse{Revision: 13, Events: []wire.WatchEvent{{Put: "a", Value: encoded("2"), Version: 12}}})
	if _, ok := values["a"]; ok || cache.Version("a") != 0 {
		t.Fatal("an older event restored a deleted key")
	}
	cache.Apply(wire.WatchResponse{Revision: 15, Events: []wire.WatchEvent{{Delete: "a", Version: 14}, {Put: "a", Value: encoded("4"), Version: 15}}})
	if values["a"] != "4" {
		t.Fatal("a key that was put again after its deletion is missing")
	}
}

// The response to a write may arrive after the watch has delivered both that write and
// a later deletion of the key by another controller. Applied then, the write restored
// the key permanently.
func TestCacheLateWriteAnswerDoesNotRestoreDeletedKey(t *testing.T) {
	cache, values := loadedCache(t, wire.KeyValue{Key: "a", Value: encoded("1"), Version: 5})
	cache.Apply(wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Put: "a", Value: encoded("2"), Version: 11}, {Delete: "a", Version: 12}}})
	cache.ApplyOwnWrite([]wire.Operation{{Put: "a", Value: encoded("2")}}, 11)
	if _, ok := values["a"]; ok || cache.Version("a") != 0 {
		t.Fatal("the late response to a write restored a deleted key")
	}
}

// The pages of a full read may have different revisions. Decisions must wait until the
// watch has reached the revision of the last page; otherwise a team's key could be
// newer than the claims in the cache.
func TestCacheInconsistentUntilWatchReachesLastPage(t *testing.T) {
	values := cachedValues{}
	cache := NewCache(values.update)
	cache.Load([]wire.KeyValue{{Key: "a", Value: encoded("1"), Version: 5}, {Key: "z", Value: encoded("1"), Version: 12}}, 10, 12)
	if cache.Consistent() {
		t.Fatal("consistent before the watch has reached the last page's revision")
	}
	cache.Apply(wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Put: "a", Value: encoded("2"), Version: 12}, {Put: "z", Value: encoded("1"), Version: 12}}})
	if !cache.Consistent() || values["a"] != "2" {
		t.Fatal("not consistent after the watch has reached the last page's revision")
	}
}

func TestCacheReloadDropsKeysNoLongerListed(t *testing.T) {
	cache, values := loadedCache(t, wire.KeyValue{Key: "a", Value: encoded("1"), Version: 5}, wire.KeyValue{Key: "b", Value: encoded("1"), Version: 6})
	cache.Load([]wire.KeyValue{{Key: "b", Value: encoded("1"), Version: 6}}, 20, 20)
	if _, ok := values["a"]; ok {
		t.Fatal("a key that is no longer listed was kept")
	}
	if values["b"] != "1" {
		t.Fatal("a key that is still listed was dropped")
	}
}
