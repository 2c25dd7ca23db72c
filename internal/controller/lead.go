package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/inventory"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// storeDecision runs a guarded write of the leader and enters it.
func (n *Controller) storeDecision(ctx context.Context, guards []wire.Compare, changes []wire.Operation) error {
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	defer stop()
	revision, err := n.store.CompareAndSwap(cctx, store.ClassRecords, guards, changes)
	if err != nil {
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrOutcomeUnknown) {
			_ = n.syncer.ReadBarrier(tuning.BarrierWait)
		}
		return err
	}
	n.applyWrite(changes, revision)
	return nil
}

// applyWrite enters a write of this node.
func (n *Controller) applyWrite(changes []wire.Operation, revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.ApplyOwnWrite(changes, revision)
	wake(n.passWake)
}

// runLeader plans capacity and moves roles while leading. What it gives back and
// stores goes beside the next plans, which meanwhile only rent. Guards against
// a wave of lost machines whose records took the budget of changes for half a
// minute, while nothing was rented in their place.
func (n *Controller) runLeader(ctx context.Context) error {
	var stepped time.Time
	storing := make(chan struct{}, 1)
	var background errgroup.Group
	defer func() { _ = background.Wait() }()
	for ctx.Err() == nil {
		sleep(ctx, tuning.PlanEvery)
		n.mu.Lock()
		if !n.isLeader() || !n.hasStore() || len(n.machineTypeList) == 0 || n.machinesUnknown() {
			n.mu.Unlock()
			continue
		}
		l, now := n.currentLeaderState(), n.now()
		machines := n.refreshMachines(now)
		n.recordArrivals(l, now)
		free := len(storing) == 0
		var moves []inventory.RecordChange
		if free && now.Sub(stepped) >= tuning.RoleStep {
			stepped = now
			moves = n.moveRoles(l, machines, now)
		}
		listed := !l.listedAt.IsZero() && now.Sub(l.listedAt) < 5*tuning.ListEvery
		var out autoscale.Output
		if listed {
			out = autoscale.Plan(n.planInput(l, machines, now))
		}
		if !free {
			n.mu.Unlock()
			for _, h := range out.ScaleOut {
				n.scaleOut(ctx, h)
			}
			continue
		}
		drains, dead := n.planDrains(out.ScaleIn)
		returns, drops := n.planTerminations(l, now)
		returns = slices.Concat(dead, l.lostWhileDraining, returns)
		var cut []string
		if n.limiter.AvailableWrites(tuning.WriteReserve) >= 2 {
			cut = n.inventory.OversizeGroups(n.maxGroupBytes(), tuning.GroupSplitsPerPlan)
		}
		n.mu.Unlock()

		// Rentals don't wait for the budget of changes.
		storing <- struct{}{}
		background.Go(func() error {
			n.storeMachines(ctx, moves)
			n.terminate(ctx, returns)
			n.storeMachineGroups(ctx, append(drains, drops...), cut, tuning.GroupsPerBatch)
			<-storing
			return nil
		})
		for _, h := range out.ScaleOut {
			n.scaleOut(ctx, h)
		}
	}
	return nil
}
