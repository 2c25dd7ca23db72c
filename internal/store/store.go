// Package store talks to the state service: a client with a request budget, a
// watch-fed cache of versions, and the read barrier.
package store

import (
	"context"
	"time"

	"wheatspur/wire"
)

// KeyValueStore is what the rest of the program needs of the state service.
type KeyValueStore interface {
	List(ctx context.Context, prefix, after string) (wire.ListResponse, error)
	CompareAndSwap(ctx context.Context, c Class, guards []wire.Compare, changes []wire.Operation) (uint64, error)
	GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
	RenewLease(ctx context.Context, leaseID uint64) error
	RevokeLease(ctx context.Context, leaseID uint64) error
	Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.WatchResponse, error)
}
