package cluster

import (
	"context"
	"errors"

	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// StoreDecision runs a guarded write of the leader and enters it.
func (cs *State) StoreDecision(ctx context.Context, guards []wire.Compare, changes []wire.Operation) error {
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	defer stop()
	revision, err := cs.Store.CompareAndSwap(cctx, store.ClassRecords, guards, changes)
	if err != nil {
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			_ = cs.Syncer.ReadBarrier(tuning.BarrierWait)
		}
		return err
	}
	cs.ApplyWrite(changes, revision)
	return nil
}

// ApplyWrite enters a write of this node.
func (cs *State) ApplyWrite(changes []wire.Operation, revision uint64) {
	cs.Lock()
	defer cs.Unlock()
	cs.Cache.ApplyOwnWrite(changes, revision)
	Wake(cs.PassWake)
}
