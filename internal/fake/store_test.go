package fake

import (
	"errors"
	"testing"

	"wheatspur/internal/store"
	"wheatspur/wire"
)

func putOperation(key string, leaseID uint64) wire.Operation {
	return wire.Operation{Put: key, Value: wire.MustMarshal(key), LeaseID: leaseID}
}

func TestStoreAppliesTransactionsAtomically(t *testing.T) {
	for _, c := range []struct {
		name       string
		compares   []wire.Compare
		operations []wire.Operation
		err        error
	}{
		{"compares hold", []wire.Compare{{Key: "a", Version: 1}, {Key: "b"}}, []wire.Operation{putOperation("a", 0), putOperation("b", 0)}, nil},
		{"a compare fails", []wire.Compare{{Key: "a", Version: 1}, {Key: "b", Version: 1}}, []wire.Operation{putOperation("b", 0)}, store.ErrConflict},
		{"a lease has ended", nil, []wire.Operation{putOperation("b", 0), putOperation("c", 1)}, store.ErrLeaseExpired},
		{"too many operations", nil, []wire.Operation{putOperation("b", 0), putOperation("c", 0), putOperation("d", 0)}, store.ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewStore()
			s.OpsLimit = 2
			s.Put("a", wire.MustMarshal("first"))
			_, err := s.CompareAndSwap(t.Context(), 0, c.compares, c.operations)
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if applied := s.Keys["b"].Version == 2; applied != (c.err == nil) {
				t.Errorf("applied: %v with error %v", applied, err)
			}
		})
	}
}

func TestStoreDeletesKeysOfEndedLease(t *testing.T) {
	s := NewStore()
	leaseID, err := s.GrantLease(t.Context(), 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.CompareAndSwap(t.Context(), 0, nil, []wire.Operation{putOperation("leased", leaseID), putOperation("kept", 0)}); err != nil {
		t.Fatal(err)
	}
	if err := s.RevokeLease(t.Context(), leaseID); err != nil {
		t.Fatal(err)
	}
	page, err := s.List(t.Context(), "", "")
	if err != nil || len(page.KeyValues) != 1 || page.KeyValues[0].Key != "kept" {
		t.Errorf("keys after the lease ended: %+v, error %v", page, err)
	}
	if err := s.RenewLease(t.Context(), leaseID); !errors.Is(err, store.ErrLeaseExpired) {
		t.Errorf("renewal of an ended lease: %v", err)
	}
}

func TestStoreRejectsWatchFromCompactedRevision(t *testing.T) {
	s := NewStore()
	s.RetainedEvents = 2
	for range 5 {
		s.Put("a", wire.MustMarshal("value"))
	}
	if _, err := s.Watch(t.Context(), "", 2, 0); !errors.Is(err, store.ErrCompacted) {
		t.Errorf("watch from a compacted revision: %v", err)
	}
	events, err := s.Watch(t.Context(), "", 3, 0)
	if err != nil || len(events.Events) != 2 || events.Events[0].Version != 4 {
		t.Errorf("watch from the oldest revision that is kept: %+v, error %v", events, err)
	}
}
