package store

import (
	"testing"

	"wheatspur/wire"
)

func val(s string) wire.Raw { return wire.MustMarshal(s) }

type seen map[string]string

func (s seen) sink(key string, v wire.Raw, _ uint64) {
	if v == nil {
		delete(s, key)
		return
	}
	var t string
	if err := wire.Unmarshal(v, &t); err != nil {
		panic(err)
	}
	s[key] = t
}

func TestCacheTakesEachChangeOnceAndInOrder(t *testing.T) {
	got := seen{}
	c := NewCache(got.sink)
	c.Load([]wire.KeyValue{{Key: "a", Value: val("1"), Version: 5}}, 10, 10)
	if !c.Consistent() || c.Version("a") != 5 {
		t.Fatal("the load is not settled")
	}
	// Our own write is ahead of the watch.
	c.ApplyOwnWrite([]wire.Operation{{Put: "a", Value: val("3")}}, 13)
	c.Apply(wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Put: "a", Value: val("2"), Version: 12}, {Put: "b", Value: val("x"), Version: 11}}})
	if got["a"] != "3" || got["b"] != "x" || c.Revision() != 12 {
		t.Fatalf("an older event has overwritten our own write: %v revision %d", got, c.Revision())
	}
	// A response of an older watch changes nothing.
	c.Apply(wire.WatchResponse{Revision: 11, Events: []wire.WatchEvent{{Put: "b", Value: val("old"), Version: 11}}})
	if got["b"] != "x" || c.Revision() != 12 {
		t.Fatalf("a late response was applied: %v", got)
	}
}

// A key that we dropped ourselves must not come back by an older event.
func TestCacheOwnDropHoldsAgainstOlderEvents(t *testing.T) {
	got := seen{}
	c := NewCache(got.sink)
	c.Load([]wire.KeyValue{{Key: "a", Value: val("1"), Version: 5}}, 10, 10)
	c.ApplyOwnWrite([]wire.Operation{{Delete: "a"}}, 14)
	c.Apply(wire.WatchResponse{Revision: 13, Events: []wire.WatchEvent{{Put: "a", Value: val("2"), Version: 12}}})
	if _, ok := got["a"]; ok || c.Version("a") != 0 {
		t.Fatal("a dropped key came back")
	}
	c.Apply(wire.WatchResponse{Revision: 15, Events: []wire.WatchEvent{{Delete: "a", Version: 14}, {Put: "a", Value: val("4"), Version: 15}}})
	if got["a"] != "4" {
		t.Fatal("a key set anew is missing")
	}
}

// The answer to a write came after the watch had shown it, and after it that
// another node dropped the key: the key came back for good.
func TestALateAnswerDoesNotBringADroppedKeyBack(t *testing.T) {
	got := seen{}
	c := NewCache(got.sink)
	c.Load([]wire.KeyValue{{Key: "a", Value: val("1"), Version: 5}}, 10, 10)
	c.Apply(wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Put: "a", Value: val("2"), Version: 11}, {Delete: "a", Version: 12}}})
	c.ApplyOwnWrite([]wire.Operation{{Put: "a", Value: val("2")}}, 11)
	if _, ok := got["a"]; ok || c.Version("a") != 0 {
		t.Fatal("a dropped key came back by a late answer")
	}
}

// Pages of one read show different revisions: decisions wait until the watch has
// caught up with the last page, or a team's key could be newer than the claims
// that the cache holds.
func TestCacheIsUnsettledUntilTheLastPagesEpoch(t *testing.T) {
	got := seen{}
	c := NewCache(got.sink)
	c.Load([]wire.KeyValue{{Key: "a", Value: val("1"), Version: 5}, {Key: "z", Value: val("1"), Version: 12}}, 10, 12)
	if c.Consistent() {
		t.Fatal("settled between two revisions")
	}
	c.Apply(wire.WatchResponse{Revision: 12, Events: []wire.WatchEvent{{Put: "a", Value: val("2"), Version: 12}, {Put: "z", Value: val("1"), Version: 12}}})
	if !c.Consistent() || got["a"] != "2" {
		t.Fatal("not settled after the watch has caught up")
	}
}

func TestCacheReloadForgetsWhatIsGone(t *testing.T) {
	got := seen{}
	c := NewCache(got.sink)
	c.Load([]wire.KeyValue{{Key: "a", Value: val("1"), Version: 5}, {Key: "b", Value: val("1"), Version: 6}}, 10, 10)
	c.Load([]wire.KeyValue{{Key: "b", Value: val("1"), Version: 6}}, 20, 20)
	if _, ok := got["a"]; ok {
		t.Fatal("a key that is gone stayed")
	}
	if got["b"] != "1" {
		t.Fatal("a key that stands was lost")
	}
}
