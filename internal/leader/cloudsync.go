// This file reads the cloud's machine types and machine list, and reconciles the
// list with the stored machines.

package leader

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"wheatspur/internal/cloud"
	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/placement"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// RunCloudSync reads the machine types and the machine list while leading.
func (ld *Loop) RunCloudSync(ctx context.Context) error {
	var typesReadAt time.Time
	for ctx.Err() == nil {
		isLeader, typesKnown := ld.cloudSyncState()
		if !isLeader {
			timing.Sleep(ctx, tuning.TickEvery)
			continue
		}
		if !typesKnown || ld.Now().Sub(typesReadAt) > tuning.TypesEvery {
			if err := ld.RefreshMachineTypes(ctx); err != nil {
				ld.Log.Info(logging.EventMachineTypesNotRead, logging.KeyError, err)
			} else {
				typesReadAt = ld.Now()
			}
		}
		if list, err := ld.cloud.ListMachines(); err != nil {
			ld.Log.Info(logging.EventMachineListNotRead, logging.KeyError, err)
		} else {
			ld.ReconcileCloudList(ctx, list)
		}
		timing.Sleep(ctx, ld.listInterval())
	}
	return nil
}

// cloudSyncState reports whether this controller leads, and whether it knows any
// machine types.
func (ld *Loop) cloudSyncState() (isLeader, typesKnown bool) {
	ld.Lock()
	defer ld.Unlock()
	return ld.IsLeader(), len(ld.MachineTypeList) > 0
}

// listInterval is the pause before the next read of the machine list: longer for a
// list of many pages.
func (ld *Loop) listInterval() time.Duration {
	ld.Lock()
	defer ld.Unlock()
	pages := len(ld.Term.listed)/cloud.ListPageSize + 1
	return tuning.ListEvery * time.Duration(max(1, pages/tuning.ListPagesPerInterval))
}

// RefreshMachineTypes reads the machine types, and stores them if they have changed.
func (ld *Loop) RefreshMachineTypes(ctx context.Context) error {
	types, err := ld.cloud.MachineTypes()
	if err != nil {
		return err
	}
	slices.SortFunc(types, func(a, b wire.MachineType) int { return cmp.Compare(a.Label, b.Label) })
	compares, changed := ld.compareMachineTypes(types)
	if !changed {
		return nil
	}
	return ld.StoreDecision(ctx, compares, []wire.Operation{{Put: cluster.MachineTypesKey, Value: wire.MustMarshal(wire.MachineTypes{Types: types})}})
}

// compareMachineTypes reports whether machine types differ from the stored ones,
// and returns the compares of the write that stores them.
func (ld *Loop) compareMachineTypes(types []wire.MachineType) (compares []wire.Compare, changed bool) {
	ld.Lock()
	defer ld.Unlock()
	changed = len(types) != len(ld.MachineTypeList)
	for i := 0; !changed && i < len(types); i++ {
		changed = !equalExceptSpotPrice(types[i], ld.MachineTypeList[i])
	}
	return []wire.Compare{ld.Cache.Compare(membership.Key), ld.Cache.Compare(cluster.MachineTypesKey)}, changed
}

// equalExceptSpotPrice reports whether two machine types differ in nothing but the spot
// price, which moves all the time. They are compared as printed: the numbers are the
// cloud's and not checked, and one that is NaN, which no == finds equal, must not
// have the types stored with every read.
func equalExceptSpotPrice(a, b wire.MachineType) bool {
	a.SpotPrice = b.SpotPrice
	return fmt.Sprint(a) == fmt.Sprint(b)
}

// ReconcileCloudList compares the cloud's list with the stored machines, and stores
// what follows: machines that are new, and those that failed. Machines that are
// missing from it are counted for the next plans.
func (ld *Loop) ReconcileCloudList(ctx context.Context, list []wire.Machine) {
	ld.StoreMachines(ctx, ld.reconcileList(list))
}

// reconcileList enters a list, and returns the record changes that follow from it.
func (ld *Loop) reconcileList(list []wire.Machine) []inventory.RecordChange {
	ld.Lock()
	defer ld.Unlock()
	if !ld.IsLeader() {
		return nil
	}
	rc := listReconciliation{loop: ld, state: ld.CurrentTerm(), now: ld.Now(), listed: map[string]bool{}}
	rc.state.ListedAt = rc.now
	rc.pruneTerminated()
	for _, machine := range list {
		if _, ok := rc.state.terminatedAt[machine.Name]; !ok {
			rc.add(machine)
		}
	}
	rc.countMissing(list)
	rc.pruneScalingOut()
	return rc.changes
}

// listReconciliation is the reconciliation of one list of the cloud. It lives while
// the lock is held.
type listReconciliation struct {
	loop    *Loop
	state   *State
	now     time.Time
	listed  map[string]bool // machines on the list, but for those that were terminated
	changes []inventory.RecordChange
}

// pruneTerminated forgets machines whose termination even late lists show by now.
func (rc *listReconciliation) pruneTerminated() {
	for machine, at := range rc.state.terminatedAt {
		if rc.now.Sub(at) > tuning.TerminatedKept {
			delete(rc.state.terminatedAt, machine)
		}
	}
}

// add enters a machine on the list.
func (rc *listReconciliation) add(machine wire.Machine) {
	rc.listed[machine.Name] = true
	rc.recordFirstListed(machine.Name)
	rc.state.listed[machine.Name] = machine
	delete(rc.state.MissingLists, machine.Name)
	record, stored := rc.loop.Inventory.Machines[machine.Name]
	switch {
	case machine.State == wire.MachineFailed && stored:
		rc.addFailed(machine.Name, &record, record)
	case machine.State == wire.MachineFailed:
		// Its record is dropped already; it stays listed until it is deleted.
		rc.addFailed(machine.Name, nil, newRecord(machine, placement.Batch))
	case !stored:
		rc.addNew(machine)
	}
	rc.setInitialAddress(machine)
}

// recordFirstListed notes when a machine was first listed.
func (rc *listReconciliation) recordFirstListed(machine string) {
	if _, ok := rc.state.FirstListed[machine]; !ok {
		rc.state.FirstListed[machine] = rc.now
	}
}

// newRecord is the record of a listed machine, without a phase.
func newRecord(machine wire.Machine, role placement.Role) inventory.Record {
	return inventory.Record{MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot, Role: role}
}

// addFailed stores that a machine that is listed as failed is terminated. before is
// its stored record, nil if there is none.
func (rc *listReconciliation) addFailed(machine string, before *inventory.Record, record inventory.Record) {
	next, err := record.Phase.Next(inventory.EventTerminated)
	if err != nil || record.Phase == inventory.Terminated {
		return
	}
	record.Phase, record.Reason = next, "listed as failed"
	rc.changes = append(rc.changes, inventory.RecordChange{Machine: machine, Before: before, After: &record})
	rc.loop.Log.Info(logging.EventMachineFailed, logging.KeyMachine, machine)
}

// addNew stores the record of a machine that has none.
func (rc *listReconciliation) addNew(machine wire.Machine) {
	record := newRecord(machine, rc.loop.initialRole(rc.state, machine, rc.changes))
	record.Phase = inventory.Active
	rc.changes = append(rc.changes, inventory.RecordChange{Machine: machine.Name, After: &record})
	rc.loop.Log.Info(logging.EventMachineRegistered, logging.KeyMachine, machine.Name, logging.KeyMachineType, machine.MachineType,
		logging.KeyZone, machine.Zone, logging.KeySpot, machine.Spot, logging.KeyRole, string(record.Role))
}

// setInitialAddress enters the address of a machine of this controller that has sent no
// heartbeat yet.
func (rc *listReconciliation) setInitialAddress(machine wire.Machine) {
	if rc.loop.ShardOwner(machine.Name) != rc.loop.Self.Label || machine.State != wire.MachineRunning {
		return
	}
	if w := rc.loop.Workers.EnsureWorker(machine.Name); w.Address == "" {
		w.Address = machine.Address
	}
}

// countMissing counts the stored machines that the list omits. Each was listed once,
// perhaps to a former leader. A list may be older than that: a new machine may be
// missing from it. Names come in the order of creation, so a list with a later name
// is newer.
func (rc *listReconciliation) countMissing(list []wire.Machine) {
	newest := ""
	for _, machine := range list {
		newest = max(newest, machine.Name)
	}
	lag := config.Seconds(rc.loop.Settings.Params.Cloud.ListLagS)
	for machine, record := range rc.loop.Inventory.Machines {
		if rc.listed[machine] {
			continue
		}
		rc.recordFirstListed(machine)
		listIsNewer := machine < newest || rc.now.Sub(rc.state.FirstListed[machine]) > tuning.ListLagFactor*lag
		if record.Phase == inventory.Terminated || listIsNewer {
			rc.state.MissingLists[machine]++
		}
	}
}

// pruneScalingOut forgets the machines that were scaled out and are listed now.
func (rc *listReconciliation) pruneScalingOut() {
	for machine := range rc.state.ScalingOut {
		if rc.listed[machine] {
			delete(rc.state.ScalingOut, machine)
		}
	}
}
