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
	revision uint64 // every change up to it is in the cache
	newest   uint64 // of the node's own transactions
	settle   uint64 // decisions wait until revision has reached it
	ready    bool
	versions map[string]uint64
	drops    map[string]uint64 // keys dropped ahead of revision
	sink     Sink
}

// Sink takes changed values; v is nil when the key is gone.
type Sink func(key string, v wire.Raw, version uint64)

// NewCache returns an empty cache.
func NewCache(sink Sink) *Cache {
	return &Cache{versions: map[string]uint64{}, drops: map[string]uint64{}, sink: sink}
}

// Revision is the revision up to which the cache is complete.
func (c *Cache) Revision() uint64 { return c.revision }

// Newest is the latest revision of which the cache holds anything: the revision
// up to which it is complete, or that of a later transaction of the node's own.
func (c *Cache) Newest() uint64 { return max(c.revision, c.newest) }

// Settled reports whether the cache is a consistent picture of some revision.
func (c *Cache) Settled() bool { return c.ready && c.revision >= c.settle }

// Version returns the version of a key, 0 if it does not exist.
func (c *Cache) Version(key string) uint64 { return c.versions[key] }

// Guard returns a guard on the key at the cache's version.
func (c *Cache) Guard(key string) wire.Compare {
	return wire.Compare{Key: key, Version: c.versions[key]}
}

func (c *Cache) set(key string, v wire.Raw, version uint64) {
	if version <= c.versions[key] || version <= c.drops[key] {
		return
	}
	delete(c.drops, key)
	c.versions[key] = version
	c.sink(key, v, version)
}

func (c *Cache) drop(key string, version uint64) {
	if version <= c.versions[key] || version <= c.drops[key] {
		return
	}
	if version > c.revision {
		c.drops[key] = version
	}
	if _, ok := c.versions[key]; ok {
		delete(c.versions, key)
		c.sink(key, nil, version)
	}
}

// Apply enters a watch response; false if it held nothing new.
func (c *Cache) Apply(ev wire.WatchResponse) bool {
	if !c.ready || ev.Revision <= c.revision {
		return false
	}
	changed := false
	for _, e := range ev.Events {
		if e.Version <= c.revision {
			continue
		}
		changed = true
		if e.Delete != "" {
			c.drop(e.Delete, e.Version)
		} else {
			c.set(e.Put, e.Value, e.Version)
		}
	}
	c.revision = ev.Revision
	for k, s := range c.drops {
		if s <= c.revision {
			delete(c.drops, k)
		}
	}
	return changed
}

// Own enters the node's own transaction, answered with the given revision. An
// answer that the watch has overtaken brings nothing new. Guards against a key
// that another node has dropped since: it came back, with claims that nothing
// ever released, and every write about it failed.
func (c *Cache) Own(changes []wire.Operation, revision uint64) {
	if revision <= c.revision {
		return
	}
	c.newest = max(c.newest, revision)
	for _, ch := range changes {
		if ch.Delete != "" {
			c.drop(ch.Delete, revision)
		} else {
			c.set(ch.Put, ch.Value, revision)
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
		c.set(p.Key, p.Value, p.Version)
	}
	for k, s := range c.versions {
		if !listed[k] && s <= base {
			delete(c.versions, k)
			c.sink(k, nil, base)
		}
	}
	c.revision = max(c.revision, base)
	c.settle = max(c.settle, last)
	c.ready = true
}

// Syncer keeps a cache current and serves read barriers.
type Syncer struct {
	svc    Service
	prefix string
	mu     sync.Locker // guards the cache
	cache  *Cache
	after  func() // called with mu held after changes
	now    func() time.Time
	log    *slog.Logger

	bmu     sync.Mutex
	waiters []chan error
	wake    chan struct{}
	room    int

	fmu   sync.Mutex
	fresh time.Time
}

// NewSyncer returns a syncer; mu guards the cache and after is called with it
// held whenever the cache has changed.
func NewSyncer(svc Service, prefix string, mu sync.Locker, c *Cache, after func(), room int, now func() time.Time, log *slog.Logger) *Syncer {
	return &Syncer{svc: svc, prefix: prefix, mu: mu, cache: c, after: after, now: now, log: log,
		wake: make(chan struct{}, 1), room: room}
}

// Fresh is the send time of the last answered read.
func (s *Syncer) Fresh() time.Time {
	s.fmu.Lock()
	defer s.fmu.Unlock()
	return s.fresh
}

func (s *Syncer) freshened(sent time.Time) {
	s.fmu.Lock()
	defer s.fmu.Unlock()
	if sent.After(s.fresh) {
		s.fresh = sent
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

// Barriers serves read barriers until ctx ends.
func (s *Syncer) Barriers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		s.bmu.Lock()
		ws := s.waiters
		s.waiters = nil
		s.bmu.Unlock()
		if len(ws) == 0 {
			continue
		}
		s.mu.Lock()
		ready := s.cache.ready
		s.mu.Unlock()
		err := error(ErrRefused)
		if ready {
			err = s.Refresh(ctx)
		}
		for _, w := range ws {
			w <- err
		}
		pause(ctx, tuning.BarrierPause)
	}
}

// Barrier returns nil once the cache holds everything that was stored before
// the call. All callers that wait at the same time share one request.
func (s *Syncer) Barrier(timeout time.Duration) error {
	w := make(chan error, 1)
	s.bmu.Lock()
	if len(s.waiters) >= s.room {
		s.bmu.Unlock()
		return ErrBusy
	}
	s.waiters = append(s.waiters, w)
	s.bmu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case err := <-w:
		return err
	case <-t.C:
		return ErrLost
	}
}

// Refresh reads all changes up to now.
func (s *Syncer) Refresh(ctx context.Context) error { return s.watch(ctx, 0) }

func (s *Syncer) watch(ctx context.Context, hold time.Duration) error {
	s.mu.Lock()
	revision := s.cache.Revision()
	s.mu.Unlock()
	sent := s.now()
	ev, err := s.svc.Watch(ctx, s.prefix, revision, hold)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.cache.Apply(ev)
	s.after()
	s.mu.Unlock()
	s.freshened(sent)
	return nil
}

// Load reads all keys and enters them.
func (s *Syncer) Load(ctx context.Context) error {
	var all []wire.KeyValue
	var base, last uint64
	after := ""
	for {
		page, err := s.svc.List(ctx, s.prefix, after)
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
	s.mu.Lock()
	s.cache.Load(all, base, last)
	s.after()
	s.mu.Unlock()
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
