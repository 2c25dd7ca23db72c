// Package leader does what the leader alone does: it reconciles the cloud's machine
// list with the stored machines, scales out and in, moves machines between the
// roles and stores the machine records. It owns what the leader remembers, which is
// not stored. Packages autoscale and roles decide; who leads is package election's.
package leader

import (
	"context"
	"slices"
	"sync"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/cloud"
	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/inventory"
	"wheatspur/internal/scheduler"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
)

// Loop is the leader's loops. Every controller runs them; while it does not lead,
// they do nothing.
type Loop struct {
	*cluster.State
	*fleet.Fleet
	scheduler *scheduler.Scheduler

	cloud          cloud.Provider
	Term           State      // see CurrentTerm; guarded by the state's lock
	machineWriteMu sync.Mutex // held while machine records are stored; taken before the state's lock
}

// New returns the loops of a controller that does not lead yet.
func New(state *cluster.State, fleet *fleet.Fleet, scheduler *scheduler.Scheduler, provider cloud.Provider) *Loop {
	return &Loop{State: state, Fleet: fleet, scheduler: scheduler, cloud: provider}
}

// planRun is what RunPlanning carries over from one plan to the next.
type planRun struct {
	rolesEvaluatedAt time.Time
	storing          chan struct{} // holds an element while a plan is being stored
	background       sync.WaitGroup
}

// plan is what one plan of the leader decides.
type plan struct {
	scaleOut []autoscale.ScaleOut
	stored   *storedPlan // nil: the plan before is still being stored
}

// storedPlan is the part of a plan that takes writes to the store.
type storedPlan struct {
	roleMoves   []inventory.RecordChange
	terminate   []string                 // machines
	changes     []inventory.RecordChange // drains, and records to drop
	splitGroups []string                 // keys of groups of machine records that are too large
}

// RunPlanning plans capacity and moves roles while leading. What a plan terminates
// and stores goes beside the next plans, which meanwhile only scale out. Guards
// against a wave of lost machines whose records took the budget of writes for half
// a minute, while nothing was scaled out in their place.
func (ld *Loop) RunPlanning(ctx context.Context) error {
	run := planRun{storing: make(chan struct{}, 1)}
	defer run.background.Wait()
	for ctx.Err() == nil {
		timing.Sleep(ctx, tuning.PlanEvery)
		next, ok := ld.makePlan(&run)
		if !ok {
			continue
		}
		if next.stored != nil {
			ld.storeInBackground(ctx, &run, next.stored)
		}
		for _, request := range next.scaleOut {
			ld.scaleOut(ctx, request) // does not wait for the budget of writes
		}
	}
	return nil
}

// makePlan decides on one state of the cluster; false if this controller does not lead,
// or does not know enough.
func (ld *Loop) makePlan(run *planRun) (next plan, ok bool) {
	ld.Lock()
	defer ld.Unlock()
	if !ld.IsLeader() || !ld.HasStore() || len(ld.MachineTypeList) == 0 || ld.Recovery.MachinesUnknown() {
		return plan{}, false
	}
	state, now := ld.CurrentTerm(), ld.Now()
	machines := ld.MachineIndex.RefreshMachines(now)
	ld.RecordArrivals(state, now)
	mayStore := len(run.storing) == 0
	var roleMoves []inventory.RecordChange
	if mayStore && now.Sub(run.rolesEvaluatedAt) >= tuning.RoleStep {
		run.rolesEvaluatedAt = now
		roleMoves = ld.MoveRoles(state, machines, now)
	}
	var capacity autoscale.Output
	if !state.ListedAt.IsZero() && now.Sub(state.ListedAt) < tuning.ListStaleAfter {
		capacity = autoscale.Plan(ld.PlanInput(state, machines, now))
	}
	next.scaleOut = capacity.ScaleOut
	if mayStore {
		next.stored = ld.planStored(state, capacity.ScaleIn, now)
		next.stored.roleMoves = roleMoves
	}
	return next, true
}

// planStored decides what of a plan takes writes to the store, but for role moves.
// The caller holds the lock.
func (ld *Loop) planStored(state *State, scaleIn []autoscale.ScaleIn, now time.Time) *storedPlan {
	drains, dead := ld.PlanDrains(scaleIn)
	drained, drops := ld.PlanTerminations(state, now)
	stored := &storedPlan{
		terminate: slices.Concat(dead, state.LostWhileDraining, drained),
		changes:   append(drains, drops...),
	}
	if ld.Limiter.AvailableWrites(tuning.WriteReserve) >= tuning.GroupSplitWrites {
		stored.splitGroups = ld.Inventory.OversizeGroups(ld.MaxGroupBytes(), tuning.GroupSplitsPerPlan)
	}
	return stored
}

// storeInBackground carries out the part of a plan that takes writes; plans that
// are made until it has ended only scale out. RunPlanning waits for it.
func (ld *Loop) storeInBackground(ctx context.Context, run *planRun, stored *storedPlan) {
	run.storing <- struct{}{}
	run.background.Go(func() {
		ld.StoreMachines(ctx, stored.roleMoves)
		ld.Terminate(ctx, stored.terminate)
		ld.storeMachineGroups(ctx, stored.changes, stored.splitGroups, tuning.GroupsPerBatch)
		<-run.storing
	})
}
