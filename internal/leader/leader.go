// Package leader implements the duties of the leader: it reconciles the cloud's machine list with
// the stored machine records, scales out and in, moves machines between the roles and stores
// machine records. It owns the leader's in-memory state, which is never stored. Packages autoscale
// and roles make the scaling and role decisions; package election determines who leads.
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

// Loop runs the leader's periodic loops. Every controller runs them; they do nothing while it is
// not the leader.
type Loop struct {
	*cluster.State
	*fleet.Fleet
	scheduler *scheduler.Scheduler

	cloud          cloud.Provider
	Term           TermState  // see CurrentTerm; guarded by the lock of cluster.State
	machineWriteMu sync.Mutex // held while machine records are stored; taken before the lock of cluster.State
}

// New returns the loops of a controller that is not the leader yet.
func New(state *cluster.State, fleet *fleet.Fleet, scheduler *scheduler.Scheduler, provider cloud.Provider) *Loop {
	return &Loop{State: state, Fleet: fleet, scheduler: scheduler, cloud: provider}
}

// planRun is the state that RunPlanning keeps between plans.
type planRun struct {
	rolesEvaluatedAt time.Time
	storing          chan struct{} // holds an element while the writes of a plan are being carried out
	background       sync.WaitGroup
}

// plan holds the decisions of one planning step.
type plan struct {
	scaleOut []autoscale.ScaleOut
	writes   *planWrites // nil while the writes of an earlier plan are being carried out
}

// planWrites is the part of a plan that requires writes to the store.
type planWrites struct {
	roleMoves   []inventory.RecordChange
	terminate   []string                 // machines to terminate
	changes     []inventory.RecordChange // machines to drain and records to drop
	splitGroups []string                 // keys of groups of machine records that are too large
}

// RunPlanning plans capacity and role moves while this controller is the leader. The terminations
// and writes of a plan run in the background; until they are done, further plans only scale out.
// When plans waited for the writes, the loss of many machines used up the write budget for half a
// minute, during which no replacements were scaled out.
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
			ld.scaleOut(ctx, request) // does not wait for the write budget
		}
	}
	return nil
}

// makePlan makes a plan from a consistent state of the cluster. ok is false if this controller is
// not the leader or lacks data: no store, no machine types, or machines still unknown after a
// recovery.
func (ld *Loop) makePlan(run *planRun) (next plan, ok bool) {
	ld.Lock()
	defer ld.Unlock()
	if !ld.IsLeader() || !ld.StoreReadRecently() || len(ld.MachineTypeList) == 0 || ld.Recovery.MustAwaitMachines() {
		return plan{}, false
	}
	state, now := ld.CurrentTerm(), ld.Now()
	machines := ld.MachineIndex.RefreshMachines(now)
	ld.RecordArrivals(state, now)
	canStore := len(run.storing) == 0
	var roleMoves []inventory.RecordChange
	if canStore && now.Sub(run.rolesEvaluatedAt) >= tuning.RoleStep {
		run.rolesEvaluatedAt = now
		roleMoves = ld.PlanRoleMoves(state, machines, now)
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

// planStoreWrites plans the terminations and writes of a plan, except for role moves. The caller
// holds the lock.
func (ld *Loop) planStoreWrites(state *TermState, scaleIn []autoscale.ScaleIn, now time.Time) *planWrites {
	drains, dead := ld.PlanDrains(scaleIn)
	drained, drops := ld.PlanTerminations(state, now)
	writes := &planWrites{
		terminate: slices.Concat(dead, state.LostWhileDraining, drained),
		changes:   append(drains, drops...),
	}
	if ld.Limiter.AvailableWrites(tuning.SubmissionWriteReserve) >= tuning.GroupSplitWrites {
		writes.splitGroups = ld.Inventory.OversizeGroups(ld.MaxRecordGroupBytes(), tuning.GroupSplitsPerPlan)
	}
	return writes
}

// storeInBackground carries out the terminations and writes of a plan in the background. Plans made
// until it is done only scale out. RunPlanning waits for it before it returns.
func (ld *Loop) storeInBackground(ctx context.Context, run *planRun, writes *planWrites) {
	run.storing <- struct{}{}
	run.background.Go(func() {
		ld.StoreMachines(ctx, writes.roleMoves)
		ld.TerminateMachines(ctx, writes.terminate)
		ld.storeMachineGroups(ctx, writes.changes, writes.splitGroups, tuning.GroupsPerBatch)
		<-run.storing
	})
}
