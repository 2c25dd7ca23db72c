package store

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

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

// Syncer keeps a cache current and serves read barriers.
type Syncer struct {
	store     KeyValueStore
	prefix    string
	cacheLock sync.Locker // guards the cache
	cache     *Cache
	onChange  func() // called with mu held after changes
	now       func() time.Time
	log       *slog.Logger

	barrierMu      sync.Mutex
	barrierWaiters []chan error
	barrierWake    chan struct{}
	barrierLimit   int

	readMu     sync.Mutex
	lastReadAt time.Time
}

// NewSyncer returns a syncer; mu guards the cache and after is called with it
// held whenever the cache has changed.
func NewSyncer(svc KeyValueStore, prefix string, mu sync.Locker, c *Cache, after func(), room int, now func() time.Time, log *slog.Logger) *Syncer {
	return &Syncer{store: svc, prefix: prefix, cacheLock: mu, cache: c, onChange: after, now: now, log: log,
		barrierWake: make(chan struct{}, 1), barrierLimit: room}
}

// LastReadAt is the send time of the last answered read.
func (s *Syncer) LastReadAt() time.Time {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	return s.lastReadAt
}

func (s *Syncer) recordRead(sent time.Time) {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	if sent.After(s.lastReadAt) {
		s.lastReadAt = sent
	}
}

// Run keeps the cache current until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	loaded := false
	for ctx.Err() == nil {
		if !loaded {
			if err := s.Load(ctx); err != nil {
				s.log.Info("state load failed", "err", err)
				pause(ctx, tuning.RetryPause)
				continue
			}
			loaded = true
		}
		switch err := s.watch(ctx, tuning.WatchHold); {
		case errors.Is(err, ErrCompacted):
			loaded = false
		case err != nil:
			s.log.Debug("watch failed", "err", err)
			pause(ctx, tuning.RetryPause)
		default:
			pause(ctx, tuning.WatchPause)
		}
	}
	return nil
}

// ServeBarriers serves read barriers until ctx ends.
func (s *Syncer) ServeBarriers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.barrierWake:
		}
		s.barrierMu.Lock()
		ws := s.barrierWaiters
		s.barrierWaiters = nil
		s.barrierMu.Unlock()
		if len(ws) == 0 {
			continue
		}
		s.cacheLock.Lock()
		ready := s.cache.loaded
		s.cacheLock.Unlock()
		err := error(ErrRejected)
		if ready {
			err = s.Refresh(ctx)
		}
		for _, w := range ws {
			w <- err
		}
		pause(ctx, tuning.BarrierPause)
	}
}

// ReadBarrier returns nil once the cache holds everything that was stored before
// the call. All callers that wait at the same time share one request.
func (s *Syncer) ReadBarrier(timeout time.Duration) error {
	w := make(chan error, 1)
	s.barrierMu.Lock()
	if len(s.barrierWaiters) >= s.barrierLimit {
		s.barrierMu.Unlock()
		return ErrQueueFull
	}
	s.barrierWaiters = append(s.barrierWaiters, w)
	s.barrierMu.Unlock()
	select {
	case s.barrierWake <- struct{}{}:
	default:
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case err := <-w:
		return err
	case <-t.C:
		return ErrOutcomeUnknown
	}
}

// Refresh reads all changes up to now.
func (s *Syncer) Refresh(ctx context.Context) error { return s.watch(ctx, 0) }

func (s *Syncer) watch(ctx context.Context, hold time.Duration) error {
	s.cacheLock.Lock()
	revision := s.cache.Revision()
	s.cacheLock.Unlock()
	sent := s.now()
	ev, err := s.store.Watch(ctx, s.prefix, revision, hold)
	if err != nil {
		return err
	}
	s.cacheLock.Lock()
	s.cache.Apply(ev)
	s.onChange()
	s.cacheLock.Unlock()
	s.recordRead(sent)
	return nil
}

// Load reads all keys and enters them.
func (s *Syncer) Load(ctx context.Context) error {
	var all []wire.KeyValue
	var base, last uint64
	after := ""
	for {
		page, err := s.store.List(ctx, s.prefix, after)
		if err != nil {
			return err
		}
		if after == "" {
			base = page.Revision
		}
		last = page.Revision
		all = append(all, page.KeyValues...)
		if !page.Truncated || len(page.KeyValues) == 0 {
			break
		}
		after = page.KeyValues[len(page.KeyValues)-1].Key
	}
	s.cacheLock.Lock()
	s.cache.Load(all, base, last)
	s.onChange()
	s.cacheLock.Unlock()
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
