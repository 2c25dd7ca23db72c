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
	rejecting          bool     // calls fail, at this controller alone or in an outage of all
	rejectAfterDelayed bool     // calls fail after the last delayed write
	delayNext          int      // so many writes get no answer and wait in delayed
	delayed            []func() // each applies one write
	afterWatch         func()   // runs between a watch's answer and its arrival
}

func (link *storeLink) isRejecting() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.rejecting
}

// setRejecting lets the store reject the calls of this controller, or serve them
// again.
func (link *storeLink) setRejecting(refuse bool) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.rejecting = refuse
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
	ev, err := link.Store.Watch(ctx, prefix, after, hold)
	link.mu.Lock()
	slow := link.afterWatch
	link.afterWatch = nil
	link.mu.Unlock()
	if slow != nil {
		slow()
	}
	return ev, err
}

// applyDelayed applies the writes that were delayed.
func (link *storeLink) applyDelayed() {
	link.mu.Lock()
	held := link.delayed
	link.delayed = nil
	link.mu.Unlock()
	for _, f := range held {
		f()
	}
}
