package controller

import (
	"context"
	"math"
	"slices"
	"strings"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/inventory"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

// storeMachines stores changes of machine records, each guarded by the version of
// its group's key. Several go in one change, and one call at a time, so that
// the leader's own writes don't race for a group.
func (ld *leaderLoop) storeMachines(ctx context.Context, list []inventory.RecordChange, cut ...string) {
	ld.storeMachineGroups(ctx, list, cut, math.MaxInt)
}

// storeMachineGroups stores the changes of at most most groups.
func (ld *leaderLoop) storeMachineGroups(ctx context.Context, list []inventory.RecordChange, cut []string, most int) {
	if len(list) == 0 && len(cut) == 0 {
		return
	}
	ld.machineWriteMu.Lock()
	defer ld.machineWriteMu.Unlock()
	ld.Lock()
	if !ld.isLeader() {
		ld.Unlock()
		return
	}
	writes := ld.inventory.PlanWrites(list, cut, ld.maxGroupBytes(), ld.limits.TxnOps)
	if len(writes) > most && !slices.ContainsFunc(writes, func(w inventory.GroupWrite) bool { return strings.HasPrefix(w.Key, inventory.SingleMachinePrefix) }) {
		writes = writes[:most]
	}
	// The versions of what the writes were computed from. Guards against a node
	// that has lost the lead and got it back, or not, and stores over what
	// another leader has changed meanwhile.
	seen := ld.cache.Compare(membership.Key)
	guards := make([][]wire.Compare, len(writes))
	for i, w := range writes {
		guards[i] = []wire.Compare{seen, ld.cache.Compare(w.Key)}
		for key := range w.SplitOff {
			guards[i] = append(guards[i], ld.cache.Compare(key))
		}
	}
	ld.Unlock()
	idle := map[string][]string{} // machines to go because they are idle, by group
	for _, c := range list {
		if c.After != nil && c.After.Phase == inventory.Draining && c.After.Reason == autoscale.ReasonIdle {
			idle[ld.groupKeyOf(c.Machine)] = append(idle[ld.groupKeyOf(c.Machine)], c.Machine)
		}
	}
	defer func() {
		ld.Lock()
		ld.machineWritesLeft = 0
		ld.Unlock()
	}()
	for i, w := range writes {
		ld.Lock()
		ld.machineWritesLeft = len(writes) - i
		if ld.cache.Version(membership.Key) != seen.Version {
			ld.Unlock()
			return // the rest would fail, and count as changes
		}
		if slices.ContainsFunc(idle[w.Key], func(host string) bool { return len(ld.table.ClaimsByMachine[host]) > 0 }) {
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
		if err := ld.storeDecision(ctx, guards[i], then); err != nil {
			ld.log.Info("machine records not stored", "group", w.Key, "err", err)
		}
	}
}

// forget drops what the leader remembers of a machine.
func (l *leaderState) forget(host string) {
	delete(l.listed, host)
	delete(l.missingLists, host)
	delete(l.lastHeard, host)
	delete(l.firstListed, host)
	delete(l.idleSince, host)
	delete(l.quarantinedSince, host)
}
