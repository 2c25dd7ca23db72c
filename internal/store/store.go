// Package store is the client side of the key-value store: the calls under a shared
// budget of requests and writes (Client, Limiter), a cache of the stored keys that
// a watch keeps current (Cache, Syncer), and the read barrier.
//
// It does not know what the values mean: the cache hands them to the function that
// the controller gives it. Which writes go together under which compares, and what
// follows from an error, is the controller's to decide; nothing is repeated here.
package store

import (
	"context"
	"time"

	"wheatspur/wire"
)

// KeyValueStore is what the controller needs of the key-value store. Its errors wrap
// the classes of this package.
type KeyValueStore interface {
	// List reads one page of the keys with the prefix, in their order, that come
	// after the key given; "" begins with the first.
	List(ctx context.Context, prefix, after string) (wire.ListResponse, error)
	// CompareAndSwap carries out all operations if all compares hold, else none, and
	// returns the revision of the operations.
	CompareAndSwap(ctx context.Context, class Class, compares []wire.Compare, operations []wire.Operation) (uint64, error)
	// GrantLease returns the id of a new lease, which expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// RenewLease renews a lease.
	RenewLease(ctx context.Context, leaseID uint64) error
	// RevokeLease ends a lease and drops the keys attached to it.
	RevokeLease(ctx context.Context, leaseID uint64) error
	// Watch returns the events on keys with the prefix after a revision; if there is
	// none yet, it waits for one for the hold time.
	Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.WatchResponse, error)
}
