// This file reads machine types and the machine list from the cloud, and reconciles the list with
// the stored machine records.

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

// RunCloudSync periodically reads the machine types and the machine list while this controller is
// the leader. It returns when ctx ends.
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

// cloudSyncState reports whether this controller is the leader, and whether it knows any machine
// types.
func (ld *Loop) cloudSyncState() (isLeader, typesKnown bool) {
	ld.Lock()
	defer ld.Unlock()
	return ld.IsLeader(), len(ld.MachineTypeList) > 0
}

// listInterval returns the pause before the next read of the machine list. It grows with the number
// of pages of the list.
func (ld *Loop) listInterval() time.Duration {
	ld.Lock()
	defer ld.Unlock()
	pages := len(ld.Term.listed)/cloud.ListPageSize + 1
	return tuning.ListEvery * time.Duration(max(1, pages/tuning.ListPagesPerInterval))
}

// RefreshMachineTypes reads the machine types from the cloud, and stores them if they have changed.
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
	return ld.StoreAsLeader(ctx, compares, []wire.Operation{{Put: cluster.MachineTypesKey, Value: wire.MustMarshal(wire.MachineTypes{Types: types})}})
}

// compareMachineTypes reports whether the machine types differ from the stored ones, and returns
// the version compares for the write that stores them.
func (ld *Loop) compareMachineTypes(types []wire.MachineType) (compares []wire.Compare, changed bool) {
	ld.Lock()
	defer ld.Unlock()
	changed = len(types) != len(ld.MachineTypeList)
	for i := 0; !changed && i < len(types); i++ {
		changed = !equalExceptSpotPrice(types[i], ld.MachineTypeList[i])
	}
	return []wire.Compare{ld.Cache.Compare(membership.RecordKey), ld.Cache.Compare(cluster.MachineTypesKey)}, changed
}

// equalExceptSpotPrice reports whether two machine types are equal apart from the spot price, which
// changes all the time. It compares the printed values: the numbers come unchecked from the cloud,
// and since NaN is never == NaN, comparing the values would store the types again after every read.
func equalExceptSpotPrice(a, b wire.MachineType) bool {
	a.SpotPrice = b.SpotPrice
	return fmt.Sprint(a) == fmt.Sprint(b)
}

// ReconcileCloudList compares the cloud's machine list with the stored records, and stores records
// for new machines and for machines that failed. It also counts in how many lists in a row a stored
// machine is missing; the next plans use these counts.
func (ld *Loop) ReconcileCloudList(ctx context.Context, list []wire.Machine) {
	ld.StoreMachines(ctx, ld.reconcileList(list))
}

// reconcileList updates the leader's state from a machine list, and returns the record changes to
// store.
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

// listReconciliation is the reconciliation of one machine list of the cloud. It is used only while
// the lock is held.
type listReconciliation struct {
	loop    *Loop
	state   *TermState
	now     time.Time
	listed  map[string]bool // machines on the list, except those in terminatedAt
	changes []inventory.RecordChange
}

// pruneTerminated removes machines that were terminated so long ago that even a delayed list no
// longer shows them.
func (rc *listReconciliation) pruneTerminated() {
	for machine, at := range rc.state.terminatedAt {
		if rc.now.Sub(at) > tuning.TerminationRememberedFor {
			delete(rc.state.terminatedAt, machine)
		}
	}
}

// add processes one machine of the list.
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
		// The record has already been dropped; the cloud lists the machine until it is deleted.
		rc.addFailed(machine.Name, nil, newRecord(machine, placement.Batch))
	case !stored:
		rc.addNew(machine)
	}
	rc.setInitialAddress(machine)
}

// recordFirstListed records when a machine was first listed.
func (rc *listReconciliation) recordFirstListed(machine string) {
	if _, ok := rc.state.FirstListed[machine]; !ok {
		rc.state.FirstListed[machine] = rc.now
	}
}

// newRecord returns a record for a listed machine, without a phase.
func newRecord(machine wire.Machine, role placement.Role) inventory.Record {
	return inventory.Record{MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot, Role: role}
}

// addFailed adds the record change that marks a machine listed as failed as terminated. before is
// the stored record, or nil if there is none.
func (rc *listReconciliation) addFailed(machine string, before *inventory.Record, record inventory.Record) {
	next, err := record.Phase.Next(inventory.EventTerminated)
	if err != nil || record.Phase == inventory.Terminated {
		return
	}
	record.Phase, record.Reason = next, "listed as failed"
	rc.changes = append(rc.changes, inventory.RecordChange{Machine: machine, Before: before, After: &record})
	rc.loop.Log.Info(logging.EventMachineFailed, logging.KeyMachine, machine)
}

// addNew adds a record for a machine that has none.
func (rc *listReconciliation) addNew(machine wire.Machine) {
	record := newRecord(machine, rc.loop.initialRole(rc.state, machine, rc.changes))
	record.Phase = inventory.Active
	rc.changes = append(rc.changes, inventory.RecordChange{Machine: machine.Name, After: &record})
	rc.loop.Log.Info(logging.EventMachineRegistered, logging.KeyMachine, machine.Name, logging.KeyMachineType, machine.MachineType,
		logging.KeyZone, machine.Zone, logging.KeySpot, machine.Spot, logging.KeyRole, string(record.Role))
}

// setInitialAddress sets the worker address of a running machine of this controller's shard that
// has sent no heartbeat yet.
func (rc *listReconciliation) setInitialAddress(machine wire.Machine) {
	if rc.loop.ShardOwner(machine.Name) != rc.loop.Self.Label || machine.State != wire.MachineRunning {
		return
	}
	if w := rc.loop.Workers.EnsureWorker(machine.Name); w.Address == "" {
		w.Address = machine.Address
	}
}

// countMissing counts for each stored machine how many lists in a row have omitted it. Each stored
// machine was listed at least once, possibly to a previous leader, but the cloud may return a list
// that is older than that and lacks a new machine. Such a list is not counted, unless the machine
// is already terminated. Machine names increase in the order of creation, so a list that contains a
// later name is newer than the machine.
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

// pruneScalingOut removes the machines from ScalingOut that are now listed.
func (rc *listReconciliation) pruneScalingOut() {
	for machine := range rc.state.ScalingOut {
		if rc.listed[machine] {
			delete(rc.state.ScalingOut, machine)
		}
	}
}
