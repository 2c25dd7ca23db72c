package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/cloud"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// PlanDrains stores that machines take no more tasks; the lock is held.
// Machines that are dead go back at once, by name: what would drain them is
// over, and their tasks wait for the proof of their return.
func (ld *Loop) PlanDrains(drains []autoscale.ScaleIn) (changes []inventory.RecordChange, dead []string) {
	for _, d := range drains {
		rec, ok := ld.Inventory.Machines[d.Machine]
		if !ok {
			continue
		}
		next, err := rec.Phase.Next(inventory.EventDrain)
		if err != nil {
			continue
		}
		ld.Log.Info(logging.EventMachineDraining, logging.KeyMachine, d.Machine, logging.KeyReason, d.Reason)
		if d.Terminated() {
			dead = append(dead, d.Machine)
			continue
		}
		drained := rec
		drained.Phase, drained.Reason = next, d.Reason
		changes = append(changes, inventory.RecordChange{Machine: d.Machine, Before: &rec, After: &drained})
	}
	return changes, dead
}

// PlanTerminations lists drained machines to give back, and records to drop; the lock is
// held. A drained machine goes back when it is empty.
func (ld *Loop) PlanTerminations(l *leaderState, now time.Time) (returns []string, drops []inventory.RecordChange) {
	over := map[string][]inventory.RecordChange{} // by group
	for host, rec := range ld.Inventory.Machines {
		switch rec.Phase {
		case inventory.Draining:
			if ld.Cache.Revision() < ld.Cache.Version(ld.Inventory.KeyOf(host)) {
				continue // claims stored before the drain may not be seen yet
			}
			open := 0
			for _, j := range ld.Table.ClaimsByMachine[host] {
				if j.Phase == jobs.Open {
					open++
				}
			}
			if open == 0 {
				returns = append(returns, host)
			}
		case inventory.Terminated:
			if len(ld.Table.ClaimsByMachine[host]) > 0 {
				continue // its owner releases them first
			}
			if l.MissingLists[host] >= tuning.MissingLists {
				over[ld.Inventory.KeyOf(host)] = append(over[ld.Inventory.KeyOf(host)], inventory.RecordChange{Machine: host, Before: &rec})
			} else if l.listed[host].State == wire.MachineFailed && l.MissingLists[host] == 0 {
				returns = append(returns, host) // stays listed until deleted
			}
		}
	}
	sort.Strings(returns)
	// Nothing waits for the end of a record: a few groups a plan, those with
	// the most first. Guards against a wave of lost machines taking the budget
	// of changes twice, once for the proofs and once for this.
	keys := slices.SortedFunc(maps.Keys(over), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(over[b]), len(over[a])), cmp.Compare(a, b))
	})
	for _, key := range keys[:min(len(keys), max(ld.groupWriteBudget(), 1))] {
		for _, c := range over[key] {
			drops = append(drops, c)
			l.forget(c.Machine)
		}
	}
	return returns, drops
}

// Terminate returns machines to the cloud and stores that they are gone.
// Its answer is the proof that everything on them is gone. All calls go before
// the writes: a wave of hundreds of lost machines once took a minute.
func (ld *Loop) Terminate(ctx context.Context, list []string) {
	var hosts []string
	for len(list) > 0 {
		some := list[:min(len(list), tuning.TerminateMax)]
		list = list[len(some):]
		if err := ld.cloud.Terminate(some); err != nil {
			ld.Log.Info(logging.EventTerminationFailed, logging.KeyMachines, some, logging.KeyError, err)
			break
		}
		ld.Log.Info(logging.EventMachinesTerminated, logging.KeyMachines, some)
		hosts = append(hosts, some...)
	}
	ld.Lock()
	var changes []inventory.RecordChange
	for _, h := range hosts {
		rec, ok := ld.Inventory.Machines[h]
		if !ok || rec.Phase == inventory.Terminated {
			continue
		}
		if rec.Phase == inventory.Draining && len(ld.Table.ClaimsByMachine[h]) == 0 && ld.IsLeader() {
			// Drained and empty: there is nothing that its end would prove. A
			// machine that was not drained may yet get a claim that is under way.
			l := ld.CurrentLeaderState()
			l.terminatedAt[h] = ld.Now()
			l.forget(h)
			changes = append(changes, inventory.RecordChange{Machine: h, Before: &rec})
			continue
		}
		if next, err := rec.Phase.Next(inventory.EventTerminated); err == nil {
			gone := rec
			gone.Phase = next
			changes = append(changes, inventory.RecordChange{Machine: h, Before: &rec, After: &gone})
		}
	}
	ld.Unlock()
	// What is left is given back again by the next plan, which then has more
	// for each group. Guards against a wave of lost machines whose groups were
	// written three times over, while most of its tasks waited for the proof.
	ld.storeMachineGroups(ctx, changes, nil, tuning.GroupsPerBatch)
}

// scaleOut rents machines. A request's name holds the token, which only one leader
// ever has, and a counter: no name is used twice.
func (ld *Loop) scaleOut(ctx context.Context, h autoscale.ScaleOut) {
	ld.Lock()
	if !ld.IsLeader() || ctx.Err() != nil {
		ld.Unlock()
		return
	}
	l := ld.CurrentLeaderState()
	l.requestCounter++
	name := fmt.Sprintf("%s-%d-%d", ld.Self.Label, l.fencingToken, l.requestCounter)
	ld.Unlock()
	count := min(h.Count, tuning.ScaleOutMax)
	names, err := ld.cloud.ScaleOut(wire.ScaleOutRequest{Name: name, MachineType: h.Kind.MachineType, Zone: h.Kind.Zone, Spot: h.Kind.Spot, Count: count})
	ld.Lock()
	defer ld.Unlock()
	l = ld.CurrentLeaderState()
	now := ld.Now()
	if errors.Is(err, cloud.ErrNoCapacity) || err == nil && len(names) < count {
		l.noCapacityAt[h.Kind] = now
	}
	ld.Log.Info(logging.EventScaleOut, logging.KeyRequest, name, logging.KeyMachineType, h.Kind.MachineType, logging.KeyZone, h.Kind.Zone, logging.KeySpot, h.Kind.Spot,
		logging.KeyRole, string(h.Role), logging.KeyRequested, count, logging.KeyGranted, len(names), logging.KeyReason, h.Reason, logging.KeyError, err)
	for _, host := range names {
		l.ScalingOut[host] = ScaleOutRecord{h.Kind, h.Role, now}
	}
}

// groupWriteBudget is how many groups of machine records the leader may change now for
// what can wait.
func (ld *Loop) groupWriteBudget() int {
	return min(int(ld.Limiter.AvailableWrites(tuning.WriteReserve)), tuning.DrainGroupsMax)
}
