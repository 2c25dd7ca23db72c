package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/cloud"
	"wheatspur/internal/inventory"
	"wheatspur/internal/tuning"
)

// leaderLoop is what the leader alone does: it plans capacity, moves machines
// between the roles and stores the machine records.
type leaderLoop struct {
	*clusterState
	*fleet
	scheduler *scheduler

	cloud          cloud.Provider
	leaderState    leaderState
	machineWriteMu sync.Mutex // held while the leader stores machine records; taken before the lock
}

func newLeaderLoop(state *clusterState, fleet *fleet, scheduler *scheduler, provider cloud.Provider) *leaderLoop {
	return &leaderLoop{clusterState: state, fleet: fleet, scheduler: scheduler, cloud: provider}
}

// runLeader plans capacity and moves roles while leading. What it gives back and
// stores goes beside the next plans, which meanwhile only rent. Guards against
// a wave of lost machines whose records took the budget of changes for half a
// minute, while nothing was rented in their place.
func (ld *leaderLoop) runLeader(ctx context.Context) error {
	var stepped time.Time
	storing := make(chan struct{}, 1)
	var background errgroup.Group
	defer func() { _ = background.Wait() }()
	for ctx.Err() == nil {
		sleep(ctx, tuning.PlanEvery)
		ld.Lock()
		if !ld.isLeader() || !ld.hasStore() || len(ld.machineTypeList) == 0 || ld.recovery.machinesUnknown() {
			ld.Unlock()
			continue
		}
		l, now := ld.currentLeaderState(), ld.now()
		machines := ld.machineIndex.refreshMachines(now)
		ld.recordArrivals(l, now)
		free := len(storing) == 0
		var moves []inventory.RecordChange
		if free && now.Sub(stepped) >= tuning.RoleStep {
			stepped = now
			moves = ld.moveRoles(l, machines, now)
		}
		listed := !l.listedAt.IsZero() && now.Sub(l.listedAt) < 5*tuning.ListEvery
		var out autoscale.Output
		if listed {
			out = autoscale.Plan(ld.planInput(l, machines, now))
		}
		if !free {
			ld.Unlock()
			for _, h := range out.ScaleOut {
				ld.scaleOut(ctx, h)
			}
			continue
		}
		drains, dead := ld.planDrains(out.ScaleIn)
		returns, drops := ld.planTerminations(l, now)
		returns = slices.Concat(dead, l.lostWhileDraining, returns)
		var cut []string
		if ld.limiter.AvailableWrites(tuning.WriteReserve) >= 2 {
			cut = ld.inventory.OversizeGroups(ld.maxGroupBytes(), tuning.GroupSplitsPerPlan)
		}
		ld.Unlock()

		// Rentals don't wait for the budget of changes.
		storing <- struct{}{}
		background.Go(func() error {
			ld.storeMachines(ctx, moves)
			ld.terminate(ctx, returns)
			ld.storeMachineGroups(ctx, append(drains, drops...), cut, tuning.GroupsPerBatch)
			<-storing
			return nil
		})
		for _, h := range out.ScaleOut {
			ld.scaleOut(ctx, h)
		}
	}
	return nil
}
