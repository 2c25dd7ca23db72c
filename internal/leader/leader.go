// Package leader does what the leader alone does: it reconciles the cloud's machine
// list, scales out and in, moves machines between the roles and stores the machine
// records. Packages autoscale and roles decide.
package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/cloud"
	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/inventory"
	"wheatspur/internal/scheduler"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
)

// Loop is what the leader alone does: it plans capacity, moves machines
// between the roles and stores the machine records.
type Loop struct {
	*cluster.State
	*fleet.Fleet
	scheduler *scheduler.Scheduler

	cloud          cloud.Provider
	LeaderState    leaderState
	machineWriteMu sync.Mutex // held while the leader stores machine records; taken before the lock
}

func New(state *cluster.State, fleet *fleet.Fleet, scheduler *scheduler.Scheduler, provider cloud.Provider) *Loop {
	return &Loop{State: state, Fleet: fleet, scheduler: scheduler, cloud: provider}
}

// RunLeader plans capacity and moves roles while leading. What it gives back and
// stores goes beside the next plans, which meanwhile only rent. Guards against
// a wave of lost machines whose records took the budget of changes for half a
// minute, while nothing was rented in their place.
func (ld *Loop) RunLeader(ctx context.Context) error {
	var stepped time.Time
	storing := make(chan struct{}, 1)
	var background errgroup.Group
	defer func() { _ = background.Wait() }()
	for ctx.Err() == nil {
		timing.Sleep(ctx, tuning.PlanEvery)
		ld.Lock()
		if !ld.IsLeader() || !ld.HasStore() || len(ld.MachineTypeList) == 0 || ld.Recovery.MachinesUnknown() {
			ld.Unlock()
			continue
		}
		l, now := ld.CurrentLeaderState(), ld.Now()
		machines := ld.MachineIndex.RefreshMachines(now)
		ld.RecordArrivals(l, now)
		free := len(storing) == 0
		var moves []inventory.RecordChange
		if free && now.Sub(stepped) >= tuning.RoleStep {
			stepped = now
			moves = ld.MoveRoles(l, machines, now)
		}
		listed := !l.ListedAt.IsZero() && now.Sub(l.ListedAt) < 5*tuning.ListEvery
		var out autoscale.Output
		if listed {
			out = autoscale.Plan(ld.PlanInput(l, machines, now))
		}
		if !free {
			ld.Unlock()
			for _, h := range out.ScaleOut {
				ld.scaleOut(ctx, h)
			}
			continue
		}
		drains, dead := ld.PlanDrains(out.ScaleIn)
		returns, drops := ld.PlanTerminations(l, now)
		returns = slices.Concat(dead, l.LostWhileDraining, returns)
		var cut []string
		if ld.Limiter.AvailableWrites(tuning.WriteReserve) >= 2 {
			cut = ld.Inventory.OversizeGroups(ld.MaxGroupBytes(), tuning.GroupSplitsPerPlan)
		}
		ld.Unlock()

		// Rentals don't wait for the budget of changes.
		storing <- struct{}{}
		background.Go(func() error {
			ld.StoreMachines(ctx, moves)
			ld.Terminate(ctx, returns)
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
