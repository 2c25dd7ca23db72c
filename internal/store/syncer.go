package store

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"wheatspur/internal/logging"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Syncer keeps a cache current by watching the store, and serves read barriers. Run and
// ServeBarriers are its two loops; the controller runs both and waits for them.
type Syncer struct {
	store     KeyValueStore
	prefix    string
	cacheLock sync.Locker // guards the cache
	cache     *Cache
	onChange  func() // called with cacheLock held after each applied read
	now       func() time.Time
	log       *slog.Logger

	barrierMu      sync.Mutex
	barrierWaiters []chan error  // each has a buffer for its one result
	barrierWake    chan struct{} // holds at most one signal that callers are waiting
	barrierLimit   int           // maximum number of callers that wait

	readMu     sync.Mutex
	lastReadAt time.Time
}

// NewSyncer returns a syncer for the keys with the prefix. cacheLock guards the
// cache; onChange is called with it held after each applied read.
// barrierLimit bounds the callers that wait for a read barrier.
func NewSyncer(store KeyValueStore, prefix string, cacheLock sync.Locker, cache *Cache, onChange func(), barrierLimit int, now func() time.Time, log *slog.Logger) *Syncer {
	return &Syncer{store: store, prefix: prefix, cacheLock: cacheLock, cache: cache, onChange: onChange, now: now, log: log,
		barrierWake: make(chan struct{}, 1), barrierLimit: barrierLimit}
}

// LastReadAt returns the send time of the latest answered watch: the cache holds
// everything that was stored before it.
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

// Run keeps the cache current until ctx ends: a full read, then one watch after the
// other, and another full read when the store no longer keeps the events that the
// next watch needs.
func (s *Syncer) Run(ctx context.Context) error {
	loaded := false
	for ctx.Err() == nil {
		if !loaded {
			if err := s.Load(ctx); err != nil {
				s.log.Info(logging.EventStoreLoadFailed, logging.KeyError, err)
				timing.Sleep(ctx, tuning.RetryPause)
				continue
			}
			loaded = true
		}
		switch err := s.watch(ctx, tuning.WatchHold); {
		case errors.Is(err, ErrCompacted):
			loaded = false
		case err != nil:
			s.log.Debug(logging.EventStoreWatchFailed, logging.KeyError, err)
			timing.Sleep(ctx, tuning.RetryPause)
		default:
			timing.Sleep(ctx, tuning.WatchPause)
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
		waiters := s.takeBarrierWaiters()
		if len(waiters) == 0 {
			continue
		}
		err := error(ErrRejected)
		if s.isLoaded() {
			err = s.Refresh(ctx)
		}
		for _, waiter := range waiters {
			waiter <- err
		}
		timing.Sleep(ctx, tuning.BarrierPause)
	}
}

// ReadBarrier returns nil once the cache holds everything that was stored before
// the call, which makes a subsequent read of the cache linearizable. All callers
// that wait at the same time share one request.
func (s *Syncer) ReadBarrier(timeout time.Duration) error {
	waiter := make(chan error, 1)
	if !s.addBarrierWaiter(waiter) {
		return ErrQueueFull
	}
	select {
	case s.barrierWake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-waiter:
		return err
	case <-timer.C:
		return ErrOutcomeUnknown
	}
}

// addBarrierWaiter adds a waiter unless barrierLimit is reached, and reports whether it
// did.
func (s *Syncer) addBarrierWaiter(waiter chan error) bool {
	s.barrierMu.Lock()
	defer s.barrierMu.Unlock()
	if len(s.barrierWaiters) >= s.barrierLimit {
		return false
	}
	s.barrierWaiters = append(s.barrierWaiters, waiter)
	return true
}

func (s *Syncer) takeBarrierWaiters() []chan error {
	s.barrierMu.Lock()
	defer s.barrierMu.Unlock()
	waiters := s.barrierWaiters
	s.barrierWaiters = nil
	return waiters
}

func (s *Syncer) isLoaded() bool {
	s.cacheLock.Lock()
	defer s.cacheLock.Unlock()
	return s.cache.loaded
}

func (s *Syncer) revision() uint64 {
	s.cacheLock.Lock()
	defer s.cacheLock.Unlock()
	return s.cache.Revision()
}

// update applies change to the cache and calls onChange, in one critical section.
func (s *Syncer) update(change func(*Cache)) {
	s.cacheLock.Lock()
	defer s.cacheLock.Unlock()
	change(s.cache)
	s.onChange()
}

// Refresh reads all changes up to now and applies them, without waiting for new ones.
func (s *Syncer) Refresh(ctx context.Context) error { return s.watch(ctx, 0) }

func (s *Syncer) watch(ctx context.Context, hold time.Duration) error {
	revision := s.revision()
	sent := s.now()
	response, err := s.store.Watch(ctx, s.prefix, revision, hold)
	if err != nil {
		return err
	}
	s.update(func(c *Cache) { c.Apply(response) })
	s.recordRead(sent)
	return nil
}

// Load reads all keys and replaces the contents of the cache with them.
func (s *Syncer) Load(ctx context.Context) error {
	pairs, base, last, err := s.list(ctx)
	if err != nil {
		return err
	}
	s.update(func(c *Cache) { c.Load(pairs, base, last) })
	return nil
}

// list reads all pages of keys, and also returns the revisions of the first and the
// last page.
func (s *Syncer) list(ctx context.Context) (pairs []wire.KeyValue, base, last uint64, err error) {
	after := ""
	for {
		page, err := s.store.List(ctx, s.prefix, after)
		if err != nil {
			return nil, 0, 0, err
		}
		if after == "" {
			base = page.Revision
		}
		last = page.Revision
		pairs = append(pairs, page.KeyValues...)
		if !page.Truncated || len(page.KeyValues) == 0 {
			return pairs, base, last, nil
		}
		after = page.KeyValues[len(page.KeyValues)-1].Key
	}
}
