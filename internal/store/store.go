// Package store is the client side of the key-value store: calls limited by a shared
// budget of requests and writes (Client, Limiter), a cache of the stored keys that
// a watch keeps current (Cache, Syncer), and the read barrier.
//
// It does not interpret the stored values: the cache passes them to a function of
// the controller. The controller decides which writes and compares form a
// transaction and how to handle an error; no write is retried here.
package store

import (
	"context"
	"time"

	"wheatspur/wire"
)

// KeyValueStore is the API of the key-value store that the controller uses. Its errors
// wrap the error variables of this package.
type KeyValueStore interface {
	// List reads one page of the keys with the prefix, in key order, starting after the
	// key after; "" starts with the first key.
	List(ctx context.Context, prefix, after string) (wire.ListResponse, error)
	// CompareAndSwap applies all operations if all compares hold, else none, and
	// returns the revision of the operations.
	CompareAndSwap(ctx context.Context, class Class, compares []wire.Compare, operations []wire.Operation) (uint64, error)
	// GrantLease returns the ID of a new lease, which expires ttl after its last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	// RenewLease restarts the TTL of a lease.
	RenewLease(ctx context.Context, leaseID uint64) error
	// RevokeLease ends a lease and deletes the keys attached to it.
	RevokeLease(ctx context.Context, leaseID uint64) error
	// Watch returns the events on keys with the prefix after the revision after. If
	// there is none yet, it waits for one up to the duration hold (long polling).
	Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.WatchResponse, error)
}
