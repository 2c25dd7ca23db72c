package controller

import (
	"context"
	"errors"

	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// storeDecision runs a guarded write of the leader and enters it.
func (cs *clusterState) storeDecision(ctx context.Context, guards []wire.Compare, changes []wire.Operation) error {
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	defer stop()
	revision, err := cs.store.CompareAndSwap(cctx, store.ClassRecords, guards, changes)
	if err != nil {
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			_ = cs.syncer.ReadBarrier(tuning.BarrierWait)
		}
		return err
	}
	cs.applyWrite(changes, revision)
	return nil
}

// applyWrite enters a write of this node.
func (cs *clusterState) applyWrite(changes []wire.Operation, revision uint64) {
	cs.Lock()
	defer cs.Unlock()
	cs.cache.ApplyOwnWrite(changes, revision)
	wake(cs.passWake)
}
