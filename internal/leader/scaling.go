// This file scales in and out: it drains and terminates machines, and requests new ones from the
// cloud.

package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/cloud"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// PlanDrains returns the record changes that start draining the machines that are scaled in. Dead
// machines are returned by name instead, to be terminated immediately: there is nothing to drain,
// and their tasks can be rescheduled only after the termination proves that they have ended. The
// caller holds the lock.
func (ld *Loop) PlanDrains(scaleIn []autoscale.ScaleIn) (changes []inventory.RecordChange, dead []string) {
	for _, choice := range scaleIn {
		record, ok := ld.Inventory.Machines[choice.Machine]
		if !ok {
			continue
		}
		next, err := record.Phase.Next(inventory.EventDrain)
		if err != nil {
			continue
		}
		ld.Log.Info(logging.EventMachineDraining, logging.KeyMachine, choice.Machine, logging.KeyReason, choice.Reason)
		if choice.HoldsNothing() {
			dead = append(dead, choice.Machine)
			continue
		}
		updated := record
		updated.Phase, updated.Reason = next, choice.Reason
		changes = append(changes, inventory.RecordChange{Machine: choice.Machine, Before: &record, After: &updated})
	}
	return changes, dead
}

// PlanTerminations returns the machines to terminate, which are those that are drained and those
// that the cloud still lists as failed, and the changes that drop the records of terminated
// machines that are no longer listed. The caller holds the lock.
func (ld *Loop) PlanTerminations(state *TermState, _ time.Time) (terminate []string, drops []inventory.RecordChange) {
	dropsByGroup := map[string][]inventory.RecordChange{} // by group
	for machine, record := range ld.Inventory.Machines {
		switch record.Phase {
		case inventory.Draining:
			if ld.isDrained(machine) {
				terminate = append(terminate, machine)
			}
		case inventory.Terminated:
			if len(ld.Table.ClaimsByMachine[machine]) > 0 {
				continue // its claims must be released first
			}
			if state.MissingLists[machine] >= tuning.MissingLists {
				key := ld.Inventory.RecordKey(machine)
				dropsByGroup[key] = append(dropsByGroup[key], inventory.RecordChange{Machine: machine, Before: &record})
			} else if state.listed[machine].State == wire.MachineFailed && state.MissingLists[machine] == 0 {
				terminate = append(terminate, machine) // otherwise the cloud would keep listing the failed machine
			}
		}
	}
	slices.Sort(terminate)
	return terminate, ld.chooseRecordDrops(state, dropsByGroup)
}

// isDrained reports whether a draining machine has no claims of open jobs left. It returns false
// while the cache is older than the stored drain, since claims stored before the drain may then be
// unknown.
func (ld *Loop) isDrained(machine string) bool {
	if ld.Cache.Revision() < ld.Cache.Version(ld.Inventory.RecordKey(machine)) {
		return false
	}
	for _, job := range ld.Table.ClaimsByMachine[machine] {
		if job.Phase == jobs.Open {
			return false
		}
	}
	return true
}

// chooseRecordDrops returns the record drops for a limited number of groups, those with the most
// drops first. Drops are not urgent. Without the limit, the loss of many machines would use the
// write budget twice: once to store the terminations and once to drop the records.
func (ld *Loop) chooseRecordDrops(state *TermState, dropsByGroup map[string][]inventory.RecordChange) []inventory.RecordChange {
	var drops []inventory.RecordChange
	keys := slices.SortedFunc(maps.Keys(dropsByGroup), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(dropsByGroup[b]), len(dropsByGroup[a])), cmp.Compare(a, b))
	})
	for _, key := range keys[:min(len(keys), max(ld.groupWriteBudget(), 1))] {
		for _, drop := range dropsByGroup[key] {
			drops = append(drops, drop)
			state.forgetMachine(drop.Machine)
		}
	}
	return drops
}

// TerminateMachines terminates machines through the cloud API and stores that they are terminated.
// The cloud's answer proves that all tasks on them have ended. All calls are made before the
// writes: with calls and writes in turn, the loss of hundreds of machines took a minute to process.
func (ld *Loop) TerminateMachines(ctx context.Context, machines []string) {
	changes := ld.recordTerminated(ld.terminateAtCloud(machines))
	// Machines whose changes exceed the limit are terminated again by the next plan, which then has
	// more changes per group. Without the limit, after the loss of many machines each group was
	// written three times, while most of the lost tasks waited for their termination to be stored.
	ld.storeMachineGroups(ctx, changes, nil, tuning.GroupsPerBatch)
}

// terminateAtCloud requests the termination of machines from the cloud, and returns those whose
// termination it confirmed. It stops at the first error.
func (ld *Loop) terminateAtCloud(machines []string) []string {
	var terminated []string
	for batch := range slices.Chunk(machines, tuning.TerminateMax) {
		if err := ld.cloud.Terminate(batch); err != nil {
			ld.Log.Info(logging.EventTerminationFailed, logging.KeyMachines, batch, logging.KeyError, err)
			break
		}
		ld.Log.Info(logging.EventMachinesTerminated, logging.KeyMachines, batch)
		terminated = append(terminated, batch...)
	}
	return terminated
}

// recordTerminated returns the record changes for terminated machines.
func (ld *Loop) recordTerminated(machines []string) []inventory.RecordChange {
	ld.Lock()
	defer ld.Unlock()
	var changes []inventory.RecordChange
	for _, machine := range machines {
		record, ok := ld.Inventory.Machines[machine]
		if !ok || record.Phase == inventory.Terminated {
			continue
		}
		if record.Phase == inventory.Draining && len(ld.Table.ClaimsByMachine[machine]) == 0 && ld.IsLeader() {
			// The machine was drained and has no claims, so no task needs the proof of termination
			// and the record is dropped. A machine that was not drained keeps its record, since a
			// claim on it may still be in flight.
			state := ld.CurrentTerm()
			state.terminatedAt[machine] = ld.Now()
			state.forgetMachine(machine)
			changes = append(changes, inventory.RecordChange{Machine: machine, Before: &record})
			continue
		}
		if next, err := record.Phase.Next(inventory.EventTerminated); err == nil {
			updated := record
			updated.Phase = next
			changes = append(changes, inventory.RecordChange{Machine: machine, Before: &record, After: &updated})
		}
	}
	return changes
}

// scaleOut requests machines from the cloud if this controller is the leader.
func (ld *Loop) scaleOut(ctx context.Context, request autoscale.ScaleOut) {
	name, ok := ld.nextRequestName(ctx)
	if !ok {
		return
	}
	count := min(request.Count, tuning.ScaleOutMax)
	machines, err := ld.cloud.ScaleOut(wire.ScaleOutRequest{
		Name:        name,
		MachineType: request.Kind.MachineType,
		Zone:        request.Kind.Zone,
		Spot:        request.Kind.Spot,
		Count:       count,
	})
	ld.Lock()
	defer ld.Unlock()
	state := ld.CurrentTerm()
	now := ld.Now()
	if errors.Is(err, cloud.ErrNoCapacity) || err == nil && len(machines) < count {
		state.noCapacityAt[request.Kind] = now
	}
	ld.Log.Info(logging.EventScaleOut, logging.KeyRequest, name, logging.KeyMachineType, request.Kind.MachineType, logging.KeyZone, request.Kind.Zone, logging.KeySpot, request.Kind.Spot,
		logging.KeyRole, string(request.Role), logging.KeyRequested, count, logging.KeyGranted, len(machines), logging.KeyReason, request.Reason, logging.KeyError, err)
	for _, machine := range machines {
		state.ScalingOut[machine] = PendingMachine{request.Kind, request.Role, now}
	}
}

// nextRequestName returns the name of the next scale-out request, or false if this controller is
// not the leader or ctx has ended. The name contains the fencing token, which only one leader ever
// has, and a counter, so no name is used twice.
func (ld *Loop) nextRequestName(ctx context.Context) (string, bool) {
	ld.Lock()
	defer ld.Unlock()
	if !ld.IsLeader() || ctx.Err() != nil {
		return "", false
	}
	state := ld.CurrentTerm()
	state.requestCounter++
	return fmt.Sprintf("%s-%d-%d", ld.Self.Label, state.fencingToken, state.requestCounter), true
}

// groupWriteBudget returns how many groups of machine records the leader may write now for changes
// that are not urgent.
func (ld *Loop) groupWriteBudget() int {
	return min(int(ld.Limiter.AvailableWrites(tuning.SubmissionWriteReserve)), tuning.IdleGroupsPerPlanMax)
}
