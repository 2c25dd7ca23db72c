// Package fake provides fakes of the services that controllers call: the key-value store (the
// protocol's state service), the cloud, and the workers. They follow the documented protocol
// and are for tests only. A test calls them directly in one process with a fake clock, or
// serves them over HTTP on loopback behind links that inject faults. The package also records
// what controllers do to the fakes: commands and quota usage. It runs no controllers; package
// testcluster does.
package fake

import (
	"cmp"
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

// comparesPerOperation is how many compares a transaction may have for each operation that
// OpsLimit allows.
const comparesPerOperation = 4

// Entry is a stored value.
type Entry struct {
	Value   wire.Raw
	Version uint64 // revision of the last write
	LeaseID uint64 // the lease whose expiry deletes the key; 0: none
}

// Store is a fake key-value store that keeps everything in memory. It ignores lease TTLs: a
// lease ends only with RevokeLease or ExpireLease.
type Store struct {
	Mu                sync.Mutex // guards all below
	Revision          uint64
	Keys              map[string]Entry
	Events            []wire.WatchEvent // in the order of their versions
	Leases            map[uint64]bool   // leases that have not ended
	WatchCalls        int               // number of calls to Watch
	Unavailable       bool              // lists, watches and transactions are rejected
	LoseResponses     int               // how many more transactions are applied but return ErrOutcomeUnknown
	RejectedOverLimit int               // number of transactions rejected for exceeding the limits

	// ValueLimit is the maximum size of a value in bytes of its JSON form, OpsLimit the
	// maximum number of operations in a transaction; 0: no limit.
	ValueLimit, OpsLimit int
	// RetainedEvents is how many events are kept for watches; 0: all.
	RetainedEvents int

	// OnApply, if set, is called with Mu held after every transaction that was applied.
	OnApply func(changes []wire.Operation)

	lastLeaseID      uint64
	changed          chan struct{} // closed on the next change
	compactedVersion uint64        // version of the newest event that was dropped
}

var _ store.KeyValueStore = (*Store)(nil)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Keys: map[string]Entry{}, Leases: map[uint64]bool{}, changed: make(chan struct{})}
}

// List returns the keys with a prefix that sort after a key, in ascending order.
func (s *Store) List(_ context.Context, prefix, after string) (wire.ListResponse, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	out := wire.ListResponse{Revision: s.Revision}
	if s.Unavailable {
		return out, store.ErrRejected
	}
	for key, entry := range s.Keys {
		if strings.HasPrefix(key, prefix) && key > after {
			out.KeyValues = append(out.KeyValues, wire.KeyValue{Key: key, Value: entry.Value, Version: entry.Version})
		}
	}
	slices.SortFunc(out.KeyValues, func(a, b wire.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return out, nil
}

// CompareAndSwap applies all operations of a transaction if all its compares hold, otherwise
// none.
func (s *Store) CompareAndSwap(_ context.Context, _ store.Class, compares []wire.Compare, operations []wire.Operation) (uint64, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if s.Unavailable {
		return 0, store.ErrRejected
	}
	for _, operation := range operations {
		if operation.LeaseID != 0 && !s.Leases[operation.LeaseID] {
			return 0, store.ErrLeaseExpired
		}
	}
	if s.exceedsLimits(compares, operations) {
		s.RejectedOverLimit++
		return 0, store.ErrMalformed
	}
	for _, compare := range compares {
		if s.Keys[compare.Key].Version != compare.Version {
			return s.Revision, fmt.Errorf("%w: %s", store.ErrConflict, compare.Key)
		}
	}
	s.Revision++
	for _, operation := range operations {
		s.apply(operation)
	}
	if s.OnApply != nil {
		s.OnApply(operations)
	}
	if s.LoseResponses > 0 {
		s.LoseResponses--
		return 0, store.ErrOutcomeUnknown
	}
	return s.Revision, nil
}

// apply applies one operation at the current revision and wakes the waiting watches; Mu is
// held.
func (s *Store) apply(operation wire.Operation) {
	if operation.Delete != "" {
		delete(s.Keys, operation.Delete)
		s.Events = append(s.Events, wire.WatchEvent{Delete: operation.Delete, Version: s.Revision})
	} else {
		s.Keys[operation.Put] = Entry{Value: operation.Value, Version: s.Revision, LeaseID: operation.LeaseID}
		s.Events = append(s.Events, wire.WatchEvent{Put: operation.Put, Value: operation.Value, Version: s.Revision})
	}
	s.compactEvents()
	close(s.changed)
	s.changed = make(chan struct{})
}

// compactEvents drops all but the newest RetainedEvents events once there are more than twice as
// many, so that the copy is rare; Mu is held.
func (s *Store) compactEvents() {
	if s.RetainedEvents == 0 || len(s.Events) <= 2*s.RetainedEvents {
		return
	}
	dropped := len(s.Events) - s.RetainedEvents
	s.compactedVersion = s.Events[dropped-1].Version
	s.Events = slices.Clone(s.Events[dropped:])
}

// exceedsLimits reports whether a transaction exceeds ValueLimit or OpsLimit; Mu is held.
func (s *Store) exceedsLimits(compares []wire.Compare, operations []wire.Operation) bool {
	if s.OpsLimit > 0 && (len(operations) > s.OpsLimit || len(compares) > comparesPerOperation*s.OpsLimit) {
		return true
	}
	return s.ValueLimit > 0 && slices.ContainsFunc(operations, func(operation wire.Operation) bool {
		return operation.Put != "" && JSONSize(operation.Value) > s.ValueLimit
	})
}

// JSONSize returns the size in bytes of a value's JSON form, to which the store's value limit
// applies. It returns 0 if the value can't be decoded.
func JSONSize(raw wire.Raw) int {
	var value any
	if err := wire.Unmarshal(raw, &value); err != nil {
		return 0
	}
	encoded, err := json.Marshal(withStringKeys(value))
	if err != nil {
		panic(err) // everything that CBOR decodes to has a JSON form
	}
	return len(encoded)
}

// withStringKeys converts the keys of all maps in a decoded value to strings, as JSON requires.
func withStringKeys(value any) any {
	switch value := value.(type) {
	case map[any]any:
		out := make(map[string]any, len(value))
		for key, element := range value {
			out[fmt.Sprint(key)] = withStringKeys(element)
		}
		return out
	case []any:
		for i := range value {
			value[i] = withStringKeys(value[i])
		}
	}
	return value
}

// Put stores a value without compares and without checking the limits, as an earlier version
// of the controllers did.
func (s *Store) Put(key string, value wire.Raw) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.Revision++
	s.apply(wire.Operation{Put: key, Value: value})
}

// GrantLease grants a lease. The lease does not expire by itself: the TTL is ignored.
func (s *Store) GrantLease(context.Context, time.Duration) (uint64, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.lastLeaseID++
	s.Leases[s.lastLeaseID] = true
	return s.lastLeaseID, nil
}

// RenewLease fails if the lease has ended.
func (s *Store) RenewLease(_ context.Context, leaseID uint64) error {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	if !s.Leases[leaseID] {
		return store.ErrLeaseExpired
	}
	return nil
}

// RevokeLease ends a lease at the request of its holder. It fails if the lease has ended.
func (s *Store) RevokeLease(ctx context.Context, leaseID uint64) error {
	if err := s.RenewLease(ctx, leaseID); err != nil {
		return err
	}
	s.ExpireLease(leaseID)
	return nil
}

// ExpireLease ends a lease and deletes its keys.
func (s *Store) ExpireLease(leaseID uint64) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	delete(s.Leases, leaseID)
	for key, entry := range s.Keys {
		if entry.LeaseID == leaseID {
			s.Revision++
			s.apply(wire.Operation{Delete: key})
		}
	}
}

// Watch returns the changes after a revision without waiting for one.
func (s *Store) Watch(_ context.Context, prefix string, after uint64, _ time.Duration) (wire.WatchResponse, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	s.WatchCalls++
	if s.Unavailable {
		return wire.WatchResponse{Revision: s.Revision}, store.ErrRejected
	}
	return s.eventsSince(prefix, after)
}

// poll returns the changes to keys with a prefix after a revision, and a channel that is
// closed on the next change.
func (s *Store) poll(prefix string, after uint64) (wire.WatchResponse, <-chan struct{}, error) {
	s.Mu.Lock()
	defer s.Mu.Unlock()
	events, err := s.eventsSince(prefix, after)
	return events, s.changed, err
}

// eventsSince returns the changes to keys with a prefix after a revision; Mu is held.
func (s *Store) eventsSince(prefix string, after uint64) (wire.WatchResponse, error) {
	if after < s.compactedVersion {
		return wire.WatchResponse{}, store.ErrCompacted
	}
	out := wire.WatchResponse{Revision: s.Revision}
	first, _ := slices.BinarySearchFunc(s.Events, after+1, func(event wire.WatchEvent, version uint64) int {
		return cmp.Compare(event.Version, version)
	})
	for _, event := range s.Events[first:] {
		if strings.HasPrefix(event.Put+event.Delete, prefix) {
			out.Events = append(out.Events, event)
		}
	}
	return out, nil
}
