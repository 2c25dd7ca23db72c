// This file scales in and out: it drains and terminates machines, and asks the cloud
// for more.

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

// PlanDrains returns the record changes by which machines that are to go take no
// more tasks. Machines that are dead are returned by name, to be terminated at once:
// there is nothing to drain, and their tasks wait for the proof that the termination
// is. The caller holds the lock.
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

// PlanTerminations lists the machines to terminate, which are those that are drained
// and empty, and returns the changes that drop records of machines that are gone.
// The caller holds the lock.
func (ld *Loop) PlanTerminations(state *State, _ time.Time) (terminate []string, drops []inventory.RecordChange) {
	dropsByGroup := map[string][]inventory.RecordChange{} // by group
	for machine, record := range ld.Inventory.Machines {
		switch record.Phase {
		case inventory.Draining:
			if ld.isDrained(machine) {
				terminate = append(terminate, machine)
			}
		case inventory.Terminated:
			if len(ld.Table.ClaimsByMachine[machine]) > 0 {
				continue // its claims are released first
			}
			if state.MissingLists[machine] >= tuning.MissingLists {
				key := ld.Inventory.KeyOf(machine)
				dropsByGroup[key] = append(dropsByGroup[key], inventory.RecordChange{Machine: machine, Before: &record})
			} else if state.listed[machine].State == wire.MachineFailed && state.MissingLists[machine] == 0 {
				terminate = append(terminate, machine) // stays listed until it is deleted
			}
		}
	}
	slices.Sort(terminate)
	return terminate, ld.chooseRecordDrops(state, dropsByGroup)
}

// isDrained reports whether a draining machine holds no more claims of open jobs. It
// does not while claims that were stored before the drain may not be known here.
func (ld *Loop) isDrained(machine string) bool {
	if ld.Cache.Revision() < ld.Cache.Version(ld.Inventory.KeyOf(machine)) {
		return false
	}
	for _, job := range ld.Table.ClaimsByMachine[machine] {
		if job.Phase == jobs.Open {
			return false
		}
	}
	return true
}

// chooseRecordDrops takes the drops of a few groups of machine records, those with the
// most first: nothing waits for the end of a record. Guards against a wave of lost
// machines taking the budget of writes twice, once for the proofs that they are gone
// and once for this.
func (ld *Loop) chooseRecordDrops(state *State, dropsByGroup map[string][]inventory.RecordChange) []inventory.RecordChange {
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

// Terminate terminates machines at the cloud and stores that they are. The cloud's
// answer is the proof that everything on them has ended. All calls go before the
// writes: a wave of hundreds of lost machines once took a minute.
func (ld *Loop) Terminate(ctx context.Context, machines []string) {
	changes := ld.recordTerminated(ld.terminateAtCloud(machines))
	// What is left over is terminated again by the next plan, which then has more
	// for each group. Guards against a wave of lost machines whose groups were
	// written three times over, while most of its tasks waited for the proof.
	ld.storeMachineGroups(ctx, changes, nil, tuning.GroupsPerBatch)
}

// terminateAtCloud asks the cloud to terminate machines, and returns those of which
// it says that they are.
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

// recordTerminated returns the record changes of machines that are terminated.
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
			// Drained and empty: there is nothing that its end would prove. A
			// machine that was not drained may yet get a claim that is in flight.
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

// scaleOut asks the cloud for machines, while this controller leads.
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

// nextRequestName names a scale-out request; false if this controller does not lead
// or ctx has ended. The name holds the fencing token, which only one leader ever
// has, and a counter: no name is used twice.
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

// groupWriteBudget is how many groups of machine records the leader may write now
// for what can wait.
func (ld *Loop) groupWriteBudget() int {
	return min(int(ld.Limiter.AvailableWrites(tuning.WriteReserve)), tuning.DrainGroupsMax)
}
