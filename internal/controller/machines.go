package controller

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/cloud"
	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// runCloudSync reads the machine types and the machine list while leading.
func (ld *leaderLoop) runCloudSync(ctx context.Context) error {
	var types time.Time
	for ctx.Err() == nil {
		ld.mu.Lock()
		lead := ld.isLeader()
		known := len(ld.machineTypeList) > 0
		ld.mu.Unlock()
		if !lead {
			sleep(ctx, tuning.TickEvery)
			continue
		}
		if !known || ld.now().Sub(types) > tuning.TypesEvery {
			if err := ld.refreshMachineTypes(ctx); err != nil {
				ld.log.Info("machine types not read", "err", err)
			} else {
				types = ld.now()
			}
		}
		if list, err := ld.cloud.ListMachines(); err != nil {
			ld.log.Info("machine list not read", "err", err)
		} else {
			ld.reconcileCloudList(ctx, list)
		}
		// A list of many pages takes as many calls of the cloud's budget.
		ld.mu.Lock()
		pages := len(ld.leaderState.listed)/cloud.ListPageSize + 1
		ld.mu.Unlock()
		sleep(ctx, tuning.ListEvery*time.Duration(max(1, pages/2)))
	}
	return nil
}

// refreshMachineTypes stores the machine types, if they have changed.
func (ld *leaderLoop) refreshMachineTypes(ctx context.Context) error {
	list, err := ld.cloud.MachineTypes()
	if err != nil {
		return err
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Label < list[b].Label })
	ld.mu.Lock()
	same := len(list) == len(ld.machineTypeList)
	for i := 0; same && i < len(list); i++ {
		a, b := list[i], ld.machineTypeList[i]
		a.SpotPrice = b.SpotPrice // moves all the time
		same = fmt.Sprint(a) == fmt.Sprint(b)
	}
	guards := []wire.Compare{ld.cache.Compare(membership.Key), ld.cache.Compare(typesKey)}
	ld.mu.Unlock()
	if same {
		return nil
	}
	return ld.storeDecision(ctx, guards, []wire.Operation{{Put: typesKey, Value: wire.MustMarshal(wire.MachineTypes{Types: list})}})
}

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
	ld.mu.Lock()
	if !ld.isLeader() {
		ld.mu.Unlock()
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
	ld.mu.Unlock()
	idle := map[string][]string{} // machines to go because they are idle, by group
	for _, c := range list {
		if c.After != nil && c.After.Phase == inventory.Draining && c.After.Reason == autoscale.ReasonIdle {
			idle[ld.groupKeyOf(c.Machine)] = append(idle[ld.groupKeyOf(c.Machine)], c.Machine)
		}
	}
	defer func() {
		ld.mu.Lock()
		ld.machineWritesLeft = 0
		ld.mu.Unlock()
	}()
	for i, w := range writes {
		ld.mu.Lock()
		ld.machineWritesLeft = len(writes) - i
		if ld.cache.Version(membership.Key) != seen.Version {
			ld.mu.Unlock()
			return // the rest would fail, and count as changes
		}
		if slices.ContainsFunc(idle[w.Key], func(host string) bool { return len(ld.table.ClaimsByMachine[host]) > 0 }) {
			ld.mu.Unlock()
			continue // one of them has got work while this waited
		}
		then := []wire.Operation{{Delete: w.Key}}
		if w.Group != nil {
			then = []wire.Operation{{Put: w.Key, Value: wire.MustMarshal(w.Group)}}
		}
		for key, part := range w.SplitOff {
			then = append(then, wire.Operation{Put: key, Value: wire.MustMarshal(part)})
		}
		ld.mu.Unlock()
		if err := ld.storeDecision(ctx, guards[i], then); err != nil {
			ld.log.Info("machine records not stored", "group", w.Key, "err", err)
		}
	}
}

// groupKeyOf is the key that holds a machine's record.
func (cs *clusterState) groupKeyOf(host string) string {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.inventory.KeyOf(host)
}

// maxGroupBytes is how much JSON a group of machine records may hold.
func (cs *clusterState) maxGroupBytes() int {
	return int(cs.limits.ValueKB * 1024 * tuning.GroupFillShare)
}

// reconcileCloudList compares the cloud's list with the stored machines.
func (ld *leaderLoop) reconcileCloudList(ctx context.Context, list []wire.Machine) {
	ld.mu.Lock()
	if !ld.isLeader() {
		ld.mu.Unlock()
		return
	}
	l := ld.currentLeaderState()
	now := ld.now()
	l.listedAt = now
	seen := map[string]bool{}
	var changes []inventory.RecordChange
	for host, at := range l.terminatedAt {
		if now.Sub(at) > tuning.TerminatedKept {
			delete(l.terminatedAt, host)
		}
	}
	for _, h := range list {
		if _, ok := l.terminatedAt[h.Name]; ok {
			continue
		}
		seen[h.Name] = true
		if _, ok := l.firstListed[h.Name]; !ok {
			l.firstListed[h.Name] = now
		}
		l.listed[h.Name] = h
		delete(l.missingLists, h.Name)
		rec, known := ld.inventory.Machines[h.Name]
		switch {
		case h.State == wire.MachineFailed:
			was := &rec
			if !known {
				// Its record is dropped already; the entry stays until deleted.
				was, rec = nil, inventory.Record{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Role: placement.Batch}
			}
			if next, err := rec.Phase.Next(inventory.EventTerminated); err == nil && rec.Phase != inventory.Terminated {
				gone := rec
				gone.Phase, gone.Reason = next, "listed as failed"
				changes = append(changes, inventory.RecordChange{Machine: h.Name, Before: was, After: &gone})
				ld.log.Info("machine failed", "host", h.Name)
			}
		case !known:
			rec = inventory.Record{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Phase: inventory.Active, Role: ld.initialRole(l, h, changes)}
			changes = append(changes, inventory.RecordChange{Machine: h.Name, After: &rec})
			ld.log.Info("machine joins", "host", h.Name, "type", h.MachineType, "zone", h.Zone, "spot", h.Spot, "role", string(rec.Role))
		}
		if ld.shardOwner(h.Name) == ld.self.Label && h.State == wire.MachineRunning {
			if w := ld.workers.worker(h.Name); w.Address == "" {
				w.Address = h.Address
			}
		}
	}
	newest := ""
	for _, h := range list {
		newest = max(newest, h.Name)
	}
	lag := config.Seconds(ld.settings.Params.Cloud.ListLagS)
	for host, rec := range ld.inventory.Machines {
		if seen[host] {
			continue
		}
		// A stored machine was listed once, perhaps to a former leader. A list
		// may be older than that: a new machine may be missing from it. Names
		// come in the order of creation, so a list with a later name is newer.
		if _, ok := l.firstListed[host]; !ok {
			l.firstListed[host] = now
		}
		if rec.Phase == inventory.Terminated || host < newest || now.Sub(l.firstListed[host]) > tuning.ListLagFactor*lag {
			l.missingLists[host]++
		}
	}
	for host := range l.scalingOut {
		if seen[host] {
			delete(l.scalingOut, host)
		}
	}
	ld.mu.Unlock()
	ld.storeMachines(ctx, changes)
}

// initialRole is the role of a machine that is new to the store: what it was
// rented for; else the role floors, then what waits, then services.
func (ld *leaderLoop) initialRole(l *leaderState, h wire.Machine, joining []inventory.RecordChange) placement.Role {
	if h.Spot {
		return placement.Batch
	}
	if r, ok := l.scalingOut[h.Name]; ok {
		return r.role
	}
	count := map[placement.Role]int{}
	add := func(r inventory.Record) {
		if r.MachineType == h.MachineType && !r.Spot && r.Phase == inventory.Active {
			count[r.Role]++
		}
	}
	for _, r := range ld.inventory.Machines {
		add(r)
	}
	for _, c := range joining {
		add(*c.After)
	}
	services, arrays := false, false
	for jobID := range ld.scheduler.unplaced {
		if j := ld.table.Open[jobID]; j != nil && j.Service() {
			services = true
		} else if j != nil {
			arrays = true
		}
	}
	switch {
	case count[placement.Service] < tuning.RoleFloor:
		return placement.Service
	case count[placement.Batch] < tuning.RoleFloor, arrays && !services && count[placement.Batch] < count[placement.Service]:
		return placement.Batch
	}
	// Services have ordinary machines only, and people wait for them; most
	// batch work may use spot machines, which are rented when it comes.
	return placement.Service
}

// planDrains stores that machines take no more tasks; mu is held.
// Machines that are dead go back at once, by name: what would drain them is
// over, and their tasks wait for the proof of their return.
func (ld *leaderLoop) planDrains(drains []autoscale.ScaleIn) (changes []inventory.RecordChange, dead []string) {
	for _, d := range drains {
		rec, ok := ld.inventory.Machines[d.Machine]
		if !ok {
			continue
		}
		next, err := rec.Phase.Next(inventory.EventDrain)
		if err != nil {
			continue
		}
		ld.log.Info("machine drains", "host", d.Machine, "why", d.Reason)
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

// planTerminations lists drained machines to give back, and records to drop; mu is
// held. A drained machine goes back when it is empty.
func (ld *leaderLoop) planTerminations(l *leaderState, now time.Time) (returns []string, drops []inventory.RecordChange) {
	over := map[string][]inventory.RecordChange{} // by group
	for host, rec := range ld.inventory.Machines {
		switch rec.Phase {
		case inventory.Draining:
			if ld.cache.Revision() < ld.cache.Version(ld.inventory.KeyOf(host)) {
				continue // claims stored before the drain may not be seen yet
			}
			open := 0
			for _, j := range ld.table.ClaimsByMachine[host] {
				if j.Phase == jobs.Open {
					open++
				}
			}
			if open == 0 {
				returns = append(returns, host)
			}
		case inventory.Terminated:
			if len(ld.table.ClaimsByMachine[host]) > 0 {
				continue // its owner releases them first
			}
			if l.missingLists[host] >= tuning.MissingLists {
				over[ld.inventory.KeyOf(host)] = append(over[ld.inventory.KeyOf(host)], inventory.RecordChange{Machine: host, Before: &rec})
			} else if l.listed[host].State == wire.MachineFailed && l.missingLists[host] == 0 {
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

// groupWriteBudget is how many groups of machine records the leader may change now for
// what can wait.
func (ld *leaderLoop) groupWriteBudget() int {
	return min(int(ld.limiter.AvailableWrites(tuning.WriteReserve)), tuning.DrainGroupsMax)
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

// terminate returns machines to the cloud and stores that they are gone.
// Its answer is the proof that everything on them is gone. All calls go before
// the writes: a wave of hundreds of lost machines once took a minute.
func (ld *leaderLoop) terminate(ctx context.Context, list []string) {
	var hosts []string
	for len(list) > 0 {
		some := list[:min(len(list), tuning.TerminateMax)]
		list = list[len(some):]
		if err := ld.cloud.Terminate(some); err != nil {
			ld.log.Info("machines not returned", "hosts", some, "err", err)
			break
		}
		ld.log.Info("machines returned", "hosts", some)
		hosts = append(hosts, some...)
	}
	ld.mu.Lock()
	var changes []inventory.RecordChange
	for _, h := range hosts {
		rec, ok := ld.inventory.Machines[h]
		if !ok || rec.Phase == inventory.Terminated {
			continue
		}
		if rec.Phase == inventory.Draining && len(ld.table.ClaimsByMachine[h]) == 0 && ld.isLeader() {
			// Drained and empty: there is nothing that its end would prove. A
			// machine that was not drained may yet get a claim that is under way.
			l := ld.currentLeaderState()
			l.terminatedAt[h] = ld.now()
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
	ld.mu.Unlock()
	// What is left is given back again by the next plan, which then has more
	// for each group. Guards against a wave of lost machines whose groups were
	// written three times over, while most of its tasks waited for the proof.
	ld.storeMachineGroups(ctx, changes, nil, tuning.GroupsPerBatch)
}

// scaleOut rents machines. A request's name holds the token, which only one leader
// ever has, and a counter: no name is used twice.
func (ld *leaderLoop) scaleOut(ctx context.Context, h autoscale.ScaleOut) {
	ld.mu.Lock()
	if !ld.isLeader() || ctx.Err() != nil {
		ld.mu.Unlock()
		return
	}
	l := ld.currentLeaderState()
	l.requestCounter++
	name := fmt.Sprintf("%s-%d-%d", ld.self.Label, l.fencingToken, l.requestCounter)
	ld.mu.Unlock()
	count := min(h.Count, tuning.ScaleOutMax)
	names, err := ld.cloud.ScaleOut(wire.ScaleOutRequest{Name: name, MachineType: h.Kind.MachineType, Zone: h.Kind.Zone, Spot: h.Kind.Spot, Count: count})
	ld.mu.Lock()
	defer ld.mu.Unlock()
	l = ld.currentLeaderState()
	now := ld.now()
	if errors.Is(err, cloud.ErrNoCapacity) || err == nil && len(names) < count {
		l.noCapacityAt[h.Kind] = now
	}
	ld.log.Info("machines rented", "request", name, "type", h.Kind.MachineType, "zone", h.Kind.Zone, "spot", h.Kind.Spot,
		"role", string(h.Role), "asked", count, "got", len(names), "why", h.Reason, "err", err)
	for _, host := range names {
		l.scalingOut[host] = scaleOutRecord{h.Kind, h.Role, now}
	}
}
