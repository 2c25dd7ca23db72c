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
