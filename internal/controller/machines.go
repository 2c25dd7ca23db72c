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
func (n *Controller) runCloudSync(ctx context.Context) error {
	var types time.Time
	for ctx.Err() == nil {
		n.mu.Lock()
		lead := n.isLeader()
		known := len(n.machineTypeList) > 0
		n.mu.Unlock()
		if !lead {
			sleep(ctx, tuning.TickEvery)
			continue
		}
		if !known || n.now().Sub(types) > tuning.TypesEvery {
			if err := n.refreshMachineTypes(ctx); err != nil {
				n.log.Info("machine types not read", "err", err)
			} else {
				types = n.now()
			}
		}
		if list, err := n.cloud.ListMachines(); err != nil {
			n.log.Info("machine list not read", "err", err)
		} else {
			n.reconcileCloudList(ctx, list)
		}
		// A list of many pages takes as many calls of the cloud's budget.
		n.mu.Lock()
		pages := len(n.leaderState.listed)/cloud.ListPageSize + 1
		n.mu.Unlock()
		sleep(ctx, tuning.ListEvery*time.Duration(max(1, pages/2)))
	}
	return nil
}

// refreshMachineTypes stores the machine types, if they have changed.
func (n *Controller) refreshMachineTypes(ctx context.Context) error {
	list, err := n.cloud.MachineTypes()
	if err != nil {
		return err
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Label < list[b].Label })
	n.mu.Lock()
	same := len(list) == len(n.machineTypeList)
	for i := 0; same && i < len(list); i++ {
		a, b := list[i], n.machineTypeList[i]
		a.SpotPrice = b.SpotPrice // moves all the time
		same = fmt.Sprint(a) == fmt.Sprint(b)
	}
	guards := []wire.Compare{n.cache.Compare(membership.Key), n.cache.Compare(typesKey)}
	n.mu.Unlock()
	if same {
		return nil
	}
	return n.storeDecision(ctx, guards, []wire.Operation{{Put: typesKey, Value: wire.MustMarshal(wire.MachineTypes{Types: list})}})
}

// storeMachines stores changes of machine records, each guarded by the version of
// its group's key. Several go in one change, and one call at a time, so that
// the leader's own writes don't race for a group.
func (n *Controller) storeMachines(ctx context.Context, list []inventory.RecordChange, cut ...string) {
	n.storeMachineGroups(ctx, list, cut, math.MaxInt)
}

// storeMachineGroups stores the changes of at most most groups.
func (n *Controller) storeMachineGroups(ctx context.Context, list []inventory.RecordChange, cut []string, most int) {
	if len(list) == 0 && len(cut) == 0 {
		return
	}
	n.machineWriteMu.Lock()
	defer n.machineWriteMu.Unlock()
	n.mu.Lock()
	if !n.isLeader() {
		n.mu.Unlock()
		return
	}
	writes := n.inventory.PlanWrites(list, cut, n.maxGroupBytes(), n.limits.TxnOps)
	if len(writes) > most && !slices.ContainsFunc(writes, func(w inventory.GroupWrite) bool { return strings.HasPrefix(w.Key, inventory.SingleMachinePrefix) }) {
		writes = writes[:most]
	}
	// The versions of what the writes were computed from. Guards against a node
	// that has lost the lead and got it back, or not, and stores over what
	// another leader has changed meanwhile.
	seen := n.cache.Compare(membership.Key)
	guards := make([][]wire.Compare, len(writes))
	for i, w := range writes {
		guards[i] = []wire.Compare{seen, n.cache.Compare(w.Key)}
		for key := range w.SplitOff {
			guards[i] = append(guards[i], n.cache.Compare(key))
		}
	}
	n.mu.Unlock()
	idle := map[string][]string{} // machines to go because they are idle, by group
	for _, c := range list {
		if c.After != nil && c.After.Phase == inventory.Draining && c.After.Reason == autoscale.ReasonIdle {
			idle[n.groupKeyOf(c.Machine)] = append(idle[n.groupKeyOf(c.Machine)], c.Machine)
		}
	}
	defer func() {
		n.mu.Lock()
		n.machineWritesLeft = 0
		n.mu.Unlock()
	}()
	for i, w := range writes {
		n.mu.Lock()
		n.machineWritesLeft = len(writes) - i
		if n.cache.Version(membership.Key) != seen.Version {
			n.mu.Unlock()
			return // the rest would fail, and count as changes
		}
		if slices.ContainsFunc(idle[w.Key], func(host string) bool { return len(n.table.ClaimsByMachine[host]) > 0 }) {
			n.mu.Unlock()
			continue // one of them has got work while this waited
		}
		then := []wire.Operation{{Delete: w.Key}}
		if w.Group != nil {
			then = []wire.Operation{{Put: w.Key, Value: wire.MustMarshal(w.Group)}}
		}
		for key, part := range w.SplitOff {
			then = append(then, wire.Operation{Put: key, Value: wire.MustMarshal(part)})
		}
		n.mu.Unlock()
		if err := n.storeDecision(ctx, guards[i], then); err != nil {
			n.log.Info("machine records not stored", "group", w.Key, "err", err)
		}
	}
}

// groupKeyOf is the key that holds a machine's record.
func (n *Controller) groupKeyOf(host string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.inventory.KeyOf(host)
}

// maxGroupBytes is how much JSON a group of machine records may hold.
func (n *Controller) maxGroupBytes() int { return int(n.limits.ValueKB * 1024 * tuning.GroupFillShare) }

// reconcileCloudList compares the cloud's list with the stored machines.
func (n *Controller) reconcileCloudList(ctx context.Context, list []wire.Machine) {
	n.mu.Lock()
	if !n.isLeader() {
		n.mu.Unlock()
		return
	}
	l := n.currentLeaderState()
	now := n.now()
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
		rec, known := n.inventory.Machines[h.Name]
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
				n.log.Info("machine failed", "host", h.Name)
			}
		case !known:
			rec = inventory.Record{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Phase: inventory.Active, Role: n.initialRole(l, h, changes)}
			changes = append(changes, inventory.RecordChange{Machine: h.Name, After: &rec})
			n.log.Info("machine joins", "host", h.Name, "type", h.MachineType, "zone", h.Zone, "spot", h.Spot, "role", string(rec.Role))
		}
		if n.shardOwner(h.Name) == n.self.Label && h.State == wire.MachineRunning {
			if w := n.worker(h.Name); w.Address == "" {
				w.Address = h.Address
			}
		}
	}
	newest := ""
	for _, h := range list {
		newest = max(newest, h.Name)
	}
	lag := config.Seconds(n.settings.Params.Cloud.ListLagS)
	for host, rec := range n.inventory.Machines {
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
	n.mu.Unlock()
	n.storeMachines(ctx, changes)
}

// initialRole is the role of a machine that is new to the store: what it was
// rented for; else the role floors, then what waits, then services.
func (n *Controller) initialRole(l *leaderState, h wire.Machine, joining []inventory.RecordChange) placement.Role {
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
	for _, r := range n.inventory.Machines {
		add(r)
	}
	for _, c := range joining {
		add(*c.After)
	}
	services, arrays := false, false
	for jobID := range n.unplaced {
		if j := n.table.Open[jobID]; j != nil && j.Service() {
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
func (n *Controller) planDrains(drains []autoscale.ScaleIn) (changes []inventory.RecordChange, dead []string) {
	for _, d := range drains {
		rec, ok := n.inventory.Machines[d.Machine]
		if !ok {
			continue
		}
		next, err := rec.Phase.Next(inventory.EventDrain)
		if err != nil {
			continue
		}
		n.log.Info("machine drains", "host", d.Machine, "why", d.Reason)
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
func (n *Controller) planTerminations(l *leaderState, now time.Time) (returns []string, drops []inventory.RecordChange) {
	over := map[string][]inventory.RecordChange{} // by group
	for host, rec := range n.inventory.Machines {
		switch rec.Phase {
		case inventory.Draining:
			if n.cache.Revision() < n.cache.Version(n.inventory.KeyOf(host)) {
				continue // claims stored before the drain may not be seen yet
			}
			open := 0
			for _, j := range n.table.ClaimsByMachine[host] {
				if j.Phase == jobs.Open {
					open++
				}
			}
			if open == 0 {
				returns = append(returns, host)
			}
		case inventory.Terminated:
			if len(n.table.ClaimsByMachine[host]) > 0 {
				continue // its owner releases them first
			}
			if l.missingLists[host] >= tuning.MissingLists {
				over[n.inventory.KeyOf(host)] = append(over[n.inventory.KeyOf(host)], inventory.RecordChange{Machine: host, Before: &rec})
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
	for _, key := range keys[:min(len(keys), max(n.groupWriteBudget(), 1))] {
		for _, c := range over[key] {
			drops = append(drops, c)
			l.forget(c.Machine)
		}
	}
	return returns, drops
}

// groupWriteBudget is how many groups of machine records the leader may change now for
// what can wait.
func (n *Controller) groupWriteBudget() int {
	return min(int(n.limiter.AvailableWrites(tuning.WriteReserve)), tuning.DrainGroupsMax)
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
func (n *Controller) terminate(ctx context.Context, list []string) {
	var hosts []string
	for len(list) > 0 {
		some := list[:min(len(list), tuning.TerminateMax)]
		list = list[len(some):]
		if err := n.cloud.Terminate(some); err != nil {
			n.log.Info("machines not returned", "hosts", some, "err", err)
			break
		}
		n.log.Info("machines returned", "hosts", some)
		hosts = append(hosts, some...)
	}
	n.mu.Lock()
	var changes []inventory.RecordChange
	for _, h := range hosts {
		rec, ok := n.inventory.Machines[h]
		if !ok || rec.Phase == inventory.Terminated {
			continue
		}
		if rec.Phase == inventory.Draining && len(n.table.ClaimsByMachine[h]) == 0 && n.isLeader() {
			// Drained and empty: there is nothing that its end would prove. A
			// machine that was not drained may yet get a claim that is under way.
			l := n.currentLeaderState()
			l.terminatedAt[h] = n.now()
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
	n.mu.Unlock()
	// What is left is given back again by the next plan, which then has more
	// for each group. Guards against a wave of lost machines whose groups were
	// written three times over, while most of its tasks waited for the proof.
	n.storeMachineGroups(ctx, changes, nil, tuning.GroupsPerBatch)
}

// scaleOut rents machines. A request's name holds the token, which only one leader
// ever has, and a counter: no name is used twice.
func (n *Controller) scaleOut(ctx context.Context, h autoscale.ScaleOut) {
	n.mu.Lock()
	if !n.isLeader() || ctx.Err() != nil {
		n.mu.Unlock()
		return
	}
	l := n.currentLeaderState()
	l.requestCounter++
	name := fmt.Sprintf("%s-%d-%d", n.self.Label, l.fencingToken, l.requestCounter)
	n.mu.Unlock()
	count := min(h.Count, tuning.ScaleOutMax)
	names, err := n.cloud.ScaleOut(wire.ScaleOutRequest{Name: name, MachineType: h.Kind.MachineType, Zone: h.Kind.Zone, Spot: h.Kind.Spot, Count: count})
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.currentLeaderState()
	now := n.now()
	if errors.Is(err, cloud.ErrNoCapacity) || err == nil && len(names) < count {
		l.noCapacityAt[h.Kind] = now
	}
	n.log.Info("machines rented", "request", name, "type", h.Kind.MachineType, "zone", h.Kind.Zone, "spot", h.Kind.Spot,
		"role", string(h.Role), "asked", count, "got", len(names), "why", h.Reason, "err", err)
	for _, host := range names {
		l.scalingOut[host] = scaleOutRecord{h.Kind, h.Role, now}
	}
}
