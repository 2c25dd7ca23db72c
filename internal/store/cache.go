package store

import "wheatspur/wire"

// Cache holds the version of every key below the prefix and hands changed values
// to its sink. It is pure: the Syncer feeds it.
//
// A key may be ahead of Revision: the node's own transactions are entered as soon
// as they are answered. A guard on a key at the cache's version then still
// implies that the cache holds every earlier change that wrote that key.
type Cache struct {
	revision       uint64 // every change up to it is in the cache
	newestOwn      uint64 // of the node's own transactions
	consistentFrom uint64 // decisions wait until revision has reached it
	loaded         bool
	versions       map[string]uint64
	deletedAhead   map[string]uint64 // keys dropped ahead of revision
	onUpdate       UpdateFunc
}

// UpdateFunc takes changed values; v is nil when the key is gone.
type UpdateFunc func(key string, v wire.Raw, version uint64)

// NewCache returns an empty cache.
func NewCache(sink UpdateFunc) *Cache {
	return &Cache{versions: map[string]uint64{}, deletedAhead: map[string]uint64{}, onUpdate: sink}
}

// Revision is the revision up to which the cache is complete.
func (c *Cache) Revision() uint64 { return c.revision }

// NewestRevision is the latest revision of which the cache holds anything: the revision
// up to which it is complete, or that of a later transaction of the node's own.
func (c *Cache) NewestRevision() uint64 { return max(c.revision, c.newestOwn) }

// Consistent reports whether the cache is a consistent picture of some revision.
func (c *Cache) Consistent() bool { return c.loaded && c.revision >= c.consistentFrom }

// Version returns the version of a key, 0 if it does not exist.
func (c *Cache) Version(key string) uint64 { return c.versions[key] }

// Compare returns a guard on the key at the cache's version.
func (c *Cache) Compare(key string) wire.Compare {
	return wire.Compare{Key: key, Version: c.versions[key]}
}

func (c *Cache) put(key string, v wire.Raw, version uint64) {
	if version <= c.versions[key] || version <= c.deletedAhead[key] {
		return
	}
	delete(c.deletedAhead, key)
	c.versions[key] = version
	c.onUpdate(key, v, version)
}

func (c *Cache) delete(key string, version uint64) {
	if version <= c.versions[key] || version <= c.deletedAhead[key] {
		return
	}
	if version > c.revision {
		c.deletedAhead[key] = version
	}
	if _, ok := c.versions[key]; ok {
		delete(c.versions, key)
		c.onUpdate(key, nil, version)
	}
}

// Apply enters a watch response; false if it held nothing new.
func (c *Cache) Apply(ev wire.WatchResponse) bool {
	if !c.loaded || ev.Revision <= c.revision {
		return false
	}
	changed := false
	for _, e := range ev.Events {
		if e.Version <= c.revision {
			continue
		}
		changed = true
		if e.Delete != "" {
			c.delete(e.Delete, e.Version)
		} else {
			c.put(e.Put, e.Value, e.Version)
		}
	}
	c.revision = ev.Revision
	for k, s := range c.deletedAhead {
		if s <= c.revision {
			delete(c.deletedAhead, k)
		}
	}
	return changed
}

// ApplyOwnWrite enters the node's own transaction, answered with the given revision. An
// answer that the watch has overtaken brings nothing new. Guards against a key
// that another node has dropped since: it came back, with claims that nothing
// ever released, and every write about it failed.
func (c *Cache) ApplyOwnWrite(changes []wire.Operation, revision uint64) {
	if revision <= c.revision {
		return
	}
	c.newestOwn = max(c.newestOwn, revision)
	for _, ch := range changes {
		if ch.Delete != "" {
			c.delete(ch.Delete, revision)
		} else {
			c.put(ch.Put, ch.Value, revision)
		}
	}
}

// Load replaces the contents by a full read whose first page showed base and
// whose last page showed last. Pages read later may hold changes after base;
// the cache is settled once the watch has reached last.
func (c *Cache) Load(pairs []wire.KeyValue, base, last uint64) {
	listed := make(map[string]bool, len(pairs))
	for _, p := range pairs {
		listed[p.Key] = true
		c.put(p.Key, p.Value, p.Version)
	}
	for k, s := range c.versions {
		if !listed[k] && s <= base {
			delete(c.versions, k)
			c.onUpdate(k, nil, base)
		}
	}
	c.revision = max(c.revision, base)
	c.consistentFrom = max(c.consistentFrom, last)
	c.loaded = true
}
