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

// StoreMachines stores changes of machine records, each guarded by the version of
// its group's key. Several go in one change, and one call at a time, so that
// the leader's own writes don't race for a group.
func (ld *Loop) StoreMachines(ctx context.Context, list []inventory.RecordChange, cut ...string) {
	ld.storeMachineGroups(ctx, list, cut, math.MaxInt)
}

// storeMachineGroups stores the changes of at most most groups.
func (ld *Loop) storeMachineGroups(ctx context.Context, list []inventory.RecordChange, cut []string, most int) {
	if len(list) == 0 && len(cut) == 0 {
		return
	}
	ld.machineWriteMu.Lock()
	defer ld.machineWriteMu.Unlock()
	ld.Lock()
	if !ld.IsLeader() {
		ld.Unlock()
		return
	}
	writes := ld.Inventory.PlanWrites(list, cut, ld.MaxGroupBytes(), ld.Limits.TxnOps)
	if len(writes) > most && !slices.ContainsFunc(writes, func(w inventory.GroupWrite) bool { return strings.HasPrefix(w.Key, inventory.SingleMachinePrefix) }) {
		writes = writes[:most]
	}
	// The versions of what the writes were computed from. Guards against a node
	// that has lost the lead and got it back, or not, and stores over what
	// another leader has changed meanwhile.
	seen := ld.Cache.Compare(membership.Key)
	guards := make([][]wire.Compare, len(writes))
	for i, w := range writes {
		guards[i] = []wire.Compare{seen, ld.Cache.Compare(w.Key)}
		for key := range w.SplitOff {
			guards[i] = append(guards[i], ld.Cache.Compare(key))
		}
	}
	ld.Unlock()
	idle := map[string][]string{} // machines to go because they are idle, by group
	for _, c := range list {
		if c.After != nil && c.After.Phase == inventory.Draining && c.After.Reason == autoscale.ReasonIdle {
			idle[ld.GroupKeyOf(c.Machine)] = append(idle[ld.GroupKeyOf(c.Machine)], c.Machine)
		}
	}
	defer func() {
		ld.Lock()
		ld.MachineWritesLeft = 0
		ld.Unlock()
	}()
	for i, w := range writes {
		ld.Lock()
		ld.MachineWritesLeft = len(writes) - i
		if ld.Cache.Version(membership.Key) != seen.Version {
			ld.Unlock()
			return // the rest would fail, and count as changes
		}
		if slices.ContainsFunc(idle[w.Key], func(host string) bool { return len(ld.Table.ClaimsByMachine[host]) > 0 }) {
			ld.Unlock()
			continue // one of them has got work while this waited
		}
		then := []wire.Operation{{Delete: w.Key}}
		if w.Group != nil {
			then = []wire.Operation{{Put: w.Key, Value: wire.MustMarshal(w.Group)}}
		}
		for key, part := range w.SplitOff {
			then = append(then, wire.Operation{Put: key, Value: wire.MustMarshal(part)})
		}
		ld.Unlock()
		if err := ld.StoreDecision(ctx, guards[i], then); err != nil {
			ld.Log.Info(logging.EventMachineRecordsNotStored, logging.KeyGroup, w.Key, logging.KeyError, err)
		}
	}
}
