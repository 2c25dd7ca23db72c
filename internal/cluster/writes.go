package cluster

import (
	"context"
	"errors"

	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// StoreDecision runs a compare-and-swap of the leader, and enters it if it is
// stored. After a conflict or an unknown outcome it waits for a read barrier, so
// that the next decision starts from what is stored now. It takes the lock.
func (cs *State) StoreDecision(ctx context.Context, compares []wire.Compare, operations []wire.Operation) error {
	ctx, cancel := context.WithTimeout(ctx, tuning.DecisionWait)
	defer cancel()
	revision, err := cs.Store.CompareAndSwap(ctx, store.ClassRecords, compares, operations)
	if err != nil {
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			// A barrier that fails changes nothing: the next compare-and-swap then
			// fails like this one.
			_ = cs.Syncer.ReadBarrier(tuning.BarrierWait)
		}
		return err
	}
	cs.ApplyOwnWrite(operations, revision)
	return nil
}

// ApplyOwnWrite enters a compare-and-swap of this controller that was stored at a
// revision, before the watch brings it. It takes the lock.
func (cs *State) ApplyOwnWrite(operations []wire.Operation, revision uint64) {
	cs.Lock()
	defer cs.Unlock()
	cs.Cache.ApplyOwnWrite(operations, revision)
	Wake(cs.PassWake)
}
