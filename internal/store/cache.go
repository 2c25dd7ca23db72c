package store

import "wheatspur/wire"

// Cache holds the version of every stored key and hands changed values to its
// update function, which keeps them. It does no I/O and no locking: a Syncer feeds
// it, and the Syncer's lock guards it.
//
// The cache holds every change up to Revision. Single keys may be ahead of it, as the
// controller's own writes are entered once they are answered. A compare on a key
// at the cache's version then still implies that the cache holds every earlier
// write of that key.
type Cache struct {
	revision       uint64 // every change up to it is in the cache
	newestOwnWrite uint64 // revision of the newest of the controller's own writes
	consistentFrom uint64 // the contents are of one revision once revision has reached it
	loaded         bool
	versions       map[string]uint64
	deletedAhead   map[string]uint64 // versions of the deletions that are ahead of revision, by key
	onUpdate       UpdateFunc
}

// UpdateFunc takes a changed value; it is nil if the key was deleted.
type UpdateFunc func(key string, value wire.Raw, version uint64)

// NewCache returns an empty cache, which calls onUpdate for every change.
func NewCache(onUpdate UpdateFunc) *Cache {
	return &Cache{versions: map[string]uint64{}, deletedAhead: map[string]uint64{}, onUpdate: onUpdate}
}

// Revision is the revision up to which the cache is complete.
func (c *Cache) Revision() uint64 { return c.revision }

// NewestRevision is the latest revision of which the cache holds anything: the revision
// up to which it is complete, or that of a later write of the controller's own.
func (c *Cache) NewestRevision() uint64 { return max(c.revision, c.newestOwnWrite) }

// Consistent reports whether the cache is a snapshot of some revision, apart from the
// controller's own later writes. Decisions wait until it is.
func (c *Cache) Consistent() bool { return c.loaded && c.revision >= c.consistentFrom }

// Version returns the version of a key, 0 if it does not exist.
func (c *Cache) Version(key string) uint64 { return c.versions[key] }

// Compare returns a compare on the key at the cache's version.
func (c *Cache) Compare(key string) wire.Compare {
	return wire.Compare{Key: key, Version: c.versions[key]}
}

// isNew reports whether a change of a key is later than all that the cache holds of it.
func (c *Cache) isNew(key string, version uint64) bool {
	return version > c.versions[key] && version > c.deletedAhead[key]
}

func (c *Cache) put(key string, value wire.Raw, version uint64) {
	if !c.isNew(key, version) {
		return
	}
	delete(c.deletedAhead, key)
	c.versions[key] = version
	c.onUpdate(key, value, version)
}

func (c *Cache) delete(key string, version uint64) {
	if !c.isNew(key, version) {
		return
	}
	if version > c.revision {
		// Events of the watch that are older than the deletion may yet come.
		c.deletedAhead[key] = version
	}
	if _, ok := c.versions[key]; ok {
		delete(c.versions, key)
		c.onUpdate(key, nil, version)
	}
}

func (c *Cache) applyEvent(event wire.WatchEvent) {
	if event.Delete != "" {
		c.delete(event.Delete, event.Version)
	} else {
		c.put(event.Put, event.Value, event.Version)
	}
}

// Apply enters a watch response and reports whether it held anything new. Before the
// first Load it enters nothing.
func (c *Cache) Apply(response wire.WatchResponse) bool {
	if !c.loaded || response.Revision <= c.revision {
		return false
	}
	changed := false
	for _, event := range response.Events {
		if event.Version <= c.revision {
			continue
		}
		changed = true
		c.applyEvent(event)
	}
	c.revision = response.Revision
	for key, version := range c.deletedAhead {
		if version <= c.revision {
			delete(c.deletedAhead, key)
		}
	}
	return changed
}

// ApplyOwnWrite enters a transaction of the controller's own, answered with the given
// revision. An answer that the watch has overtaken brings nothing new. Guards
// against the return of a key that another controller has deleted since: it came
// back, with claims that nothing ever released, and every write about it failed.
func (c *Cache) ApplyOwnWrite(operations []wire.Operation, revision uint64) {
	if revision <= c.revision {
		return
	}
	c.newestOwnWrite = max(c.newestOwnWrite, revision)
	for _, op := range operations {
		c.applyEvent(wire.WatchEvent{Put: op.Put, Value: op.Value, Delete: op.Delete, Version: revision})
	}
}

// Load replaces the contents by a full read whose first page showed the revision base
// and whose last page showed last. Pages read later may hold changes after base:
// the cache is consistent once the watch has reached last.
func (c *Cache) Load(pairs []wire.KeyValue, base, last uint64) {
	listed := make(map[string]bool, len(pairs))
	for _, pair := range pairs {
		listed[pair.Key] = true
		c.put(pair.Key, pair.Value, pair.Version)
	}
	for key, version := range c.versions {
		if !listed[key] && version <= base {
			delete(c.versions, key)
			c.onUpdate(key, nil, base)
		}
	}
	c.revision = max(c.revision, base)
	c.consistentFrom = max(c.consistentFrom, last)
	c.loaded = true
}
