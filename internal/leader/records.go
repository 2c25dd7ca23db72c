// This file stores machine records.

package leader

import (
	"context"
	"math"
	"slices"
	"strings"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/inventory"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

// StoreMachines stores changes of machine records, and splits the groups of records with the given
// keys. Each write covers one group and compares the version of its key. Calls are serialized, so
// that the leader's own writes do not conflict on a group.
func (ld *Loop) StoreMachines(ctx context.Context, changes []inventory.RecordChange, splitGroups ...string) {
	ld.storeMachineGroups(ctx, changes, splitGroups, math.MaxInt)
}

// storeMachineGroups does the same as StoreMachines, but writes at most maxGroups groups.
func (ld *Loop) storeMachineGroups(ctx context.Context, changes []inventory.RecordChange, splitGroups []string, maxGroups int) {
	if len(changes) == 0 && len(splitGroups) == 0 {
		return
	}
	ld.machineWriteMu.Lock()
	defer ld.machineWriteMu.Unlock()
	writes, ok := ld.planGroupWrites(changes, splitGroups, maxGroups)
	if !ok {
		return
	}
	idle := ld.idleDrains(changes)
	defer ld.setMachineWritesLeft(0)
	for i, write := range writes {
		operations, fencedOut := ld.prepareGroupWrite(write, idle[write.Key], len(writes)-i)
		if fencedOut {
			return
		}
		if operations == nil {
			continue
		}
		if err := ld.StoreAsLeader(ctx, write.compares, operations); err != nil {
			ld.Log.Info(logging.EventMachineRecordsNotStored, logging.KeyGroup, write.Key, logging.KeyError, err)
		}
	}
}

// groupWrite is the write of one group of machine records, with the versions of the values from
// which it was computed. The versions prevent a controller that has been fenced out, and may be the
// leader again, from overwriting changes that another leader made in between.
type groupWrite struct {
	inventory.GroupWrite
	membership wire.Compare
	compares   []wire.Compare // includes membership
}

// planGroupWrites turns record changes into writes of at most maxGroups groups. It returns false if
// this controller is not the leader. The limit does not apply if any of the writes is for a record
// in the earlier layout, which has one key per machine; then all groups are written.
func (ld *Loop) planGroupWrites(changes []inventory.RecordChange, splitGroups []string, maxGroups int) ([]groupWrite, bool) {
	ld.Lock()
	defer ld.Unlock()
	if !ld.IsLeader() {
		return nil, false
	}
	planned := ld.Inventory.PlanWrites(changes, splitGroups, ld.MaxRecordGroupBytes(), ld.Limits.TxnOps)
	if len(planned) > maxGroups && !slices.ContainsFunc(planned, writesSingleMachineRecord) {
		planned = planned[:maxGroups]
	}
	current := ld.Cache.Compare(membership.RecordKey)
	writes := make([]groupWrite, len(planned))
	for i, write := range planned {
		compares := []wire.Compare{current, ld.Cache.Compare(write.Key)}
		for key := range write.SplitOff {
			compares = append(compares, ld.Cache.Compare(key))
		}
		writes[i] = groupWrite{GroupWrite: write, membership: current, compares: compares}
	}
	return writes, true
}

// writesSingleMachineRecord reports whether a write is for a record in the earlier layout, which
// has one key per machine.
func writesSingleMachineRecord(write inventory.GroupWrite) bool {
	return strings.HasPrefix(write.Key, inventory.SingleMachinePrefix)
}

// idleDrains returns the machines that are to be drained because they are idle, by group key.
func (ld *Loop) idleDrains(changes []inventory.RecordChange) map[string][]string {
	idle := map[string][]string{}
	for _, change := range changes {
		if change.After != nil && change.After.Phase == inventory.Draining && change.After.Reason == autoscale.ReasonIdle {
			key := ld.MachineGroupKey(change.Machine)
			idle[key] = append(idle[key], change.Machine)
		}
	}
	return idle
}

// prepareGroupWrite returns the operations of a write immediately before it is sent, or nil if a
// machine that was to be drained as idle has received a task since the write was planned. fencedOut
// is true if the membership has changed: this write and all later ones would fail, but still use up
// the write budget. left is the number of writes left, including this one.
func (ld *Loop) prepareGroupWrite(write groupWrite, idle []string, left int) (operations []wire.Operation, fencedOut bool) {
	ld.Lock()
	defer ld.Unlock()
	ld.MachineWritesLeft = left
	if ld.Cache.Version(membership.RecordKey) != write.membership.Version {
		return nil, true
	}
	if slices.ContainsFunc(idle, func(machine string) bool { return len(ld.Table.ClaimsByMachine[machine]) > 0 }) {
		return nil, false
	}
	if write.Group == nil {
		operations = []wire.Operation{{Delete: write.Key}}
	} else {
		operations = []wire.Operation{{Put: write.Key, Value: wire.MustMarshal(write.Group)}}
	}
	for key, group := range write.SplitOff {
		operations = append(operations, wire.Operation{Put: key, Value: wire.MustMarshal(group)})
	}
	return operations, false
}

// setMachineWritesLeft sets the number of writes of machine records that are still to be made.
func (ld *Loop) setMachineWritesLeft(left int) {
	ld.Lock()
	defer ld.Unlock()
	ld.MachineWritesLeft = left
}
