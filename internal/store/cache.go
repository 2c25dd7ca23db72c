package store

import "wheatspur/wire"

// Cache holds the version of every stored key and passes changed values to its
// update function, which stores them. It does no I/O and no locking: a Syncer feeds
// it, and the Syncer's lock guards it.
//
// The cache holds every change up to Revision. Single keys may be ahead of it, because
// the controller's own writes are applied as soon as the store has answered them. A
// compare on a key at the cache's version still implies that the cache holds every
// earlier write of that key.
type Cache struct {
	revision       uint64 // every change up to it is in the cache
	newestOwnWrite uint64 // revision of the controller's own latest write
	consistentFrom uint64 // the contents are a snapshot once revision has reached it
	loaded         bool
	versions       map[string]uint64
	deletedAhead   map[string]uint64 // versions of deletions that are ahead of revision, by key
	onUpdate       UpdateFunc
}

// UpdateFunc receives a changed value, which is nil if the key was deleted.
type UpdateFunc func(key string, value wire.Raw, version uint64)

// NewCache returns an empty cache that calls onUpdate for every change.
func NewCache(onUpdate UpdateFunc) *Cache {
	return &Cache{versions: map[string]uint64{}, deletedAhead: map[string]uint64{}, onUpdate: onUpdate}
}

// Revision returns the revision up to which the cache holds every change.
func (c *Cache) Revision() uint64 { return c.revision }

// NewestRevision returns the latest revision of which the cache holds any change:
// Revision, or the revision of a later write by the controller itself.
func (c *Cache) NewestRevision() uint64 { return max(c.revision, c.newestOwnWrite) }

// Consistent reports whether the cache is a snapshot of some revision, apart from
// later writes by the controller itself. Decisions wait until it is.
func (c *Cache) Consistent() bool { return c.loaded && c.revision >= c.consistentFrom }

// Version returns the version of a key, or 0 if the key does not exist.
func (c *Cache) Version(key string) uint64 { return c.versions[key] }

// Compare returns a transaction compare that requires the cache's version of the key.
func (c *Cache) Compare(key string) wire.Compare {
	return wire.Compare{Key: key, Version: c.versions[key]}
}

// isNewer reports whether a version of a key is newer than any that the cache has seen.
func (c *Cache) isNewer(key string, version uint64) bool {
	return version > c.versions[key] && version > c.deletedAhead[key]
}

func (c *Cache) put(key string, value wire.Raw, version uint64) {
	if !c.isNewer(key, version) {
		return
	}
	delete(c.deletedAhead, key)
	c.versions[key] = version
	c.onUpdate(key, value, version)
}

func (c *Cache) delete(key string, version uint64) {
	if !c.isNewer(key, version) {
		return
	}
	if version > c.revision {
		// The watch may still deliver events that are older than the deletion.
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

// Apply applies a watch response and reports whether it contained anything new. Before
// the first Load it applies nothing.
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

// ApplyOwnWrite applies a transaction of this controller, to which the store assigned
// the given revision. It ignores a transaction that the watch has already delivered:
// another controller may have deleted a key since. Otherwise a late transaction would
// restore the deleted key: its claims would never be released, and every write that
// involves the key would fail.
func (c *Cache) ApplyOwnWrite(operations []wire.Operation, revision uint64) {
	if revision <= c.revision {
		return
	}
	c.newestOwnWrite = max(c.newestOwnWrite, revision)
	for _, op := range operations {
		c.applyEvent(wire.WatchEvent{Put: op.Put, Value: op.Value, Delete: op.Delete, Version: revision})
	}
}

// Load replaces the contents with a full read whose first page was read at the revision
// base and whose last page at the revision last. Pages after the first may include
// changes after base, so the cache is consistent once the watch has reached last.
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
