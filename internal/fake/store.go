// Package fake holds stand-ins for what the controllers talk to: the state
// service, the cloud and the workers, after the protocol's page. They are for
// tests: in one process with a fake clock, or over HTTP on loopback with links
// that fail.
package fake

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"wheatspur/internal/store"
	"wheatspur/wire"
)

// Entry is a stored value.
type Entry struct {
	Value   wire.Raw
	Version uint64
	LeaseID uint64
}

// Store is a stand-in for the state service. It implements store.Service.
type Store struct {
	Mu       sync.Mutex // guards all below
	Revision uint64
	Keys     map[string]Entry
	Events   []wire.WatchEvent // in the order of their versions
	Leases   map[uint64]bool
	Reads    int // watches asked for
	Down     bool
	Lose     int // so many answers of transactions get lost after they were applied
	Refused  int // transactions that were beyond the limits

	ValueLimit, OpsLimit int // of a value in bytes, of a transaction's changes; 0: none
	KeepEvents           int // events kept for watches; 0: all

	// Applied is called with Mu held after every transaction that was applied;
	// nil: by nobody.
	Applied func(changes []wire.Operation)

	lastLease uint64
	changed   chan struct{} // closed with the next change
	forgotten uint64        // version of the newest event that is not kept
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Keys: map[string]Entry{}, Leases: map[uint64]bool{}, changed: make(chan struct{})}
}

// List returns the keys with a prefix, after a key.
func (s *Store) List(_ context.Context, prefix, after string) (wire.ListResponse, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	out := wire.ListResponse{Revision: s.Revision}
	if s.Down {
		return out, store.ErrRejected
	}
	for key, e := range s.Keys {
		if strings.HasPrefix(key, prefix) && key > after {
			out.KeyValues = append(out.KeyValues, wire.KeyValue{Key: key, Value: e.Value, Version: e.Version})
		}
	}
	slices.SortFunc(out.KeyValues, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// CompareAndSwap applies a transaction if its guards hold.
func (s *Store) CompareAndSwap(_ context.Context, _ store.Class, guards []wire.Compare, changes []wire.Operation) (uint64, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if s.Down {
		return 0, store.ErrRejected
	}
	for _, c := range changes {
		if c.LeaseID != 0 && !s.Leases[c.LeaseID] {
			return 0, store.ErrLeaseExpired
		}
	}
	if s.beyond(guards, changes) {
		s.Refused++
		return 0, store.ErrMalformed
	}
	for _, g := range guards {
		if s.Keys[g.Key].Version != g.Version {
			return s.Revision, fmt.Errorf("%w: %s", store.ErrConflict, g.Key)
		}
	}
	s.Revision++
	for _, c := range changes {
		s.change(c)
	}
	if s.Applied != nil {
		s.Applied(changes)
	}
	if s.Lose > 0 {
		s.Lose--
		return 0, store.ErrOutcomeUnknown
	}
	return s.Revision, nil
}

// change makes one change at the present revision; Mu is held.
func (s *Store) change(c wire.Operation) {
	if c.Delete != "" {
		delete(s.Keys, c.Delete)
		s.Events = append(s.Events, wire.WatchEvent{Delete: c.Delete, Version: s.Revision})
	} else {
		s.Keys[c.Put] = Entry{c.Value, s.Revision, c.LeaseID}
		s.Events = append(s.Events, wire.WatchEvent{Put: c.Put, Value: c.Value, Version: s.Revision})
	}
	if s.KeepEvents > 0 && len(s.Events) > 2*s.KeepEvents {
		gone := len(s.Events) - s.KeepEvents
		s.forgotten = s.Events[gone-1].Version
		s.Events = slices.Clone(s.Events[gone:])
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// beyond reports whether a transaction is larger than the service takes; Mu is
// held.
func (s *Store) beyond(guards []wire.Compare, changes []wire.Operation) bool {
	if s.OpsLimit > 0 && (len(changes) > s.OpsLimit || len(guards) > 4*s.OpsLimit) {
		return true
	}
	for _, c := range changes {
		if s.ValueLimit > 0 && c.Put != "" && JSONSize(c.Value) > s.ValueLimit {
			return true
		}
	}
	return false
}

// JSONSize is the size of a value's JSON form.
func JSONSize(raw wire.Raw) int {
	var v any
	if err := wire.Unmarshal(raw, &v); err != nil {
		return 0
	}
	b, err := json.Marshal(textKeys(v))
	if err != nil {
		panic(err)
	}
	return len(b)
}

// textKeys gives the maps of a decoded value keys that JSON takes.
func textKeys(v any) any {
	switch v := v.(type) {
	case map[any]any:
		out := map[string]any{}
		for k, e := range v {
			out[fmt.Sprint(k)] = textKeys(e)
		}
		return out
	case []any:
		for i := range v {
			v[i] = textKeys(v[i])
		}
	}
	return v
}

// Put stores a value of any size without guards, as an earlier version did.
func (s *Store) Put(key string, value wire.Raw) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.Revision++
	s.change(wire.Operation{Put: key, Value: value})
}

// GrantLease opens a lease; it ends with Expire alone.
func (s *Store) GrantLease(context.Context, time.Duration) (uint64, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.lastLease++
	s.Leases[s.lastLease] = true
	return s.lastLease, nil
}

// RenewLease renews a lease.
func (s *Store) RenewLease(_ context.Context, id uint64) error {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.Leases[id] {
		return store.ErrLeaseExpired
	}
	return nil
}

// RevokeLease ends a lease at its holder's wish.
func (s *Store) RevokeLease(ctx context.Context, id uint64) error {
	if err := s.RenewLease(ctx, id); err != nil {
		return err
	}
	s.Expire(id)
	return nil
}

// Expire ends a lease and drops its keys.
func (s *Store) Expire(id uint64) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	delete(s.Leases, id)
	for key, e := range s.Keys {
		if e.LeaseID == id {
			s.Revision++
			s.change(wire.Operation{Delete: key})
		}
	}
}

// Watch returns at once what has changed after a revision.
func (s *Store) Watch(_ context.Context, prefix string, after uint64, _ time.Duration) (wire.WatchResponse, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.Reads++
	if s.Down {
		return wire.WatchResponse{Revision: s.Revision}, store.ErrRejected
	}
	return s.since(prefix, after)
}

// since is what has changed below a prefix after a revision; Mu is held.
func (s *Store) since(prefix string, after uint64) (wire.WatchResponse, error) {
	if after < s.forgotten {
		return wire.WatchResponse{}, store.ErrCompacted
	}
	out := wire.WatchResponse{Revision: s.Revision}
	first, _ := slices.BinarySearchFunc(s.Events, after+1, func(e wire.WatchEvent, version uint64) int {
		return int(int64(e.Version) - int64(version))
	})
	for _, e := range s.Events[first:] {
		if strings.HasPrefix(e.Put+e.Delete, prefix) {
			out.Events = append(out.Events, e)
		}
	}
	return out, nil
}
