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
	writes   *planWrites // nil: the plan before is still being stored
}

// planWrites is the part of a plan that takes writes to the store.
type planWrites struct {
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
		if next.writes != nil {
			ld.storeInBackground(ctx, &run, next.writes)
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
	canStore := len(run.storing) == 0
	var roleMoves []inventory.RecordChange
	if canStore && now.Sub(run.rolesEvaluatedAt) >= tuning.RoleStep {
		run.rolesEvaluatedAt = now
		roleMoves = ld.MoveRoles(state, machines, now)
	}
	var capacity autoscale.Output
	if !state.ListedAt.IsZero() && now.Sub(state.ListedAt) < tuning.ListStaleAfter {
		capacity = autoscale.Plan(ld.PlanInput(state, machines, now))
	}
	next.scaleOut = capacity.ScaleOut
	if canStore {
		next.writes = ld.planStoreWrites(state, capacity.ScaleIn, now)
		next.writes.roleMoves = roleMoves
	}
	return next, true
}

// planStoreWrites decides what of a plan takes writes to the store, but for role moves.
// The caller holds the lock.
func (ld *Loop) planStoreWrites(state *State, scaleIn []autoscale.ScaleIn, now time.Time) *planWrites {
	drains, dead := ld.PlanDrains(scaleIn)
	drained, drops := ld.PlanTerminations(state, now)
	writes := &planWrites{
		terminate: slices.Concat(dead, state.LostWhileDraining, drained),
		changes:   append(drains, drops...),
	}
	if ld.Limiter.AvailableWrites(tuning.WriteReserve) >= tuning.GroupSplitWrites {
		writes.splitGroups = ld.Inventory.OversizeGroups(ld.MaxGroupBytes(), tuning.GroupSplitsPerPlan)
	}
	return writes
}

// storeInBackground carries out the part of a plan that takes writes; plans that
// are made until it has ended only scale out. RunPlanning waits for it.
func (ld *Loop) storeInBackground(ctx context.Context, run *planRun, writes *planWrites) {
	run.storing <- struct{}{}
	run.background.Go(func() {
		ld.StoreMachines(ctx, writes.roleMoves)
		ld.Terminate(ctx, writes.terminate)
		ld.storeMachineGroups(ctx, writes.changes, writes.splitGroups, tuning.GroupsPerBatch)
		<-run.storing
	})
}
