package controller

import (
	"context"
	"sync"
	"time"

	"wheatspur/internal/fake"
	"wheatspur/internal/store"
	"wheatspur/wire"
)

// storeLink is the connection of one controller to the store.
type storeLink struct {
	*fake.Store
	mu                 sync.Mutex
	rejecting          bool     // calls fail, whether for this controller alone or in a general outage
	rejectAfterDelayed bool     // calls fail from the last delayed write on
	delayNext          int      // number of next writes that get no response and are kept in delayed
	delayed            []func() // each applies one write
	afterWatch         func()   // runs once, between the response to a watch and its receipt
}

func (link *storeLink) isRejecting() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.rejecting
}

// setRejecting sets whether the store rejects the calls of this controller.
func (link *storeLink) setRejecting(rejecting bool) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.rejecting = rejecting
}

func (link *storeLink) List(ctx context.Context, prefix, after string) (wire.ListResponse, error) {
	if link.isRejecting() {
		return wire.ListResponse{}, store.ErrRejected
	}
	return link.Store.List(ctx, prefix, after)
}

func (link *storeLink) CompareAndSwap(ctx context.Context, c store.Class, compares []wire.Compare, operations []wire.Operation) (uint64, error) {
	link.mu.Lock()
	if link.rejecting {
		link.mu.Unlock()
		return 0, store.ErrRejected
	}
	if link.delayNext > 0 {
		link.delayNext--
		link.rejecting = link.rejectAfterDelayed && link.delayNext == 0
		link.delayed = append(link.delayed, func() { _, _ = link.Store.CompareAndSwap(ctx, c, compares, operations) })
		link.mu.Unlock()
		return 0, store.ErrOutcomeUnknown
	}
	link.mu.Unlock()
	return link.Store.CompareAndSwap(ctx, c, compares, operations)
}

func (link *storeLink) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.WatchResponse, error) {
	if link.isRejecting() {
		return wire.WatchResponse{}, store.ErrRejected
	}
	response, err := link.Store.Watch(ctx, prefix, after, hold)
	link.mu.Lock()
	afterWatch := link.afterWatch
	link.afterWatch = nil
	link.mu.Unlock()
	if afterWatch != nil {
		afterWatch()
	}
	return response, err
}

// applyDelayed applies the delayed writes.
func (link *storeLink) applyDelayed() {
	link.mu.Lock()
	delayed := link.delayed
	link.delayed = nil
	link.mu.Unlock()
	for _, write := range delayed {
		write()
	}
}
