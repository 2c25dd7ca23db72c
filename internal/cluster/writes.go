package cluster

import (
	"context"
	"errors"

	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// StoreAsLeader executes a compare-and-swap of the leader, and applies it if it was stored.
// After a conflict or an unknown outcome it waits for a read barrier, so that the next
// decision starts from what is stored now. It takes the lock.
func (cs *State) StoreAsLeader(ctx context.Context, compares []wire.Compare, operations []wire.Operation) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.DurableWriteTimeout)
	defer cancel()
	revision, err := cs.Store.CompareAndSwap(ctx, store.ClassMachineRecords, compares, operations)
	if err != nil {
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			// A failed barrier needs no handling: the next compare-and-swap then fails
			// like this one.
			_ = cs.Syncer.ReadBarrier(tuning.BarrierWait)
		}
		return err
	}
	cs.ApplyOwnWrite(operations, revision)
	return nil
}

// ApplyOwnWrite applies a compare-and-swap of this controller that was stored at a revision,
// before the watch delivers it. It takes the lock.
func (cs *State) ApplyOwnWrite(operations []wire.Operation, revision uint64) {
	cs.Lock()
	defer cs.Unlock()
	cs.Cache.ApplyOwnWrite(operations, revision)
	Wake(cs.PassWake)
}
