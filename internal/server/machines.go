package server

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

	"wheatspur/internal/config"
	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/member"
	"wheatspur/internal/place"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// runCloud reads the machine types and the machine list while leading.
func (n *Node) runCloud(ctx context.Context) error {
	var types time.Time
	for ctx.Err() == nil {
		n.mu.Lock()
		lead := n.leads()
		known := len(n.types) > 0
		n.mu.Unlock()
		if !lead {
			sleep(ctx, tuning.TickEvery)
			continue
		}
		if !known || n.now().Sub(types) > tuning.TypesEvery {
			if err := n.readTypes(ctx); err != nil {
				n.log.Info("machine types not read", "err", err)
			} else {
				types = n.now()
			}
		}
		if list, err := n.cloud.ListMachines(); err != nil {
			n.log.Info("machine list not read", "err", err)
		} else {
			n.applyList(ctx, list)
		}
		// A list of many pages takes as many calls of the cloud's budget.
		n.mu.Lock()
		pages := len(n.leading.listed)/fleet.ListPageSize + 1
		n.mu.Unlock()
		sleep(ctx, tuning.ListEvery*time.Duration(max(1, pages/2)))
	}
	return nil
}

// readTypes stores the machine types, if they have changed.
func (n *Node) readTypes(ctx context.Context) error {
	list, err := n.cloud.MachineTypes()
	if err != nil {
		return err
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Label < list[b].Label })
	n.mu.Lock()
	same := len(list) == len(n.types)
	for i := 0; same && i < len(list); i++ {
		a, b := list[i], n.types[i]
		a.SpotPrice = b.SpotPrice // moves all the time
		same = fmt.Sprint(a) == fmt.Sprint(b)
	}
	guards := []wire.Compare{n.cache.Compare(member.Key), n.cache.Compare(typesKey)}
	n.mu.Unlock()
	if same {
		return nil
	}
	return n.write(ctx, guards, []wire.Operation{{Put: typesKey, Value: wire.MustMarshal(wire.MachineTypes{Types: list})}})
}

// writeHosts stores changes of machine records, each guarded by the version of
// its group's key. Several go in one change, and one call at a time, so that
// the leader's own writes don't race for a group.
func (n *Node) writeHosts(ctx context.Context, list []fleet.RecordChange, cut ...string) {
	n.storeHosts(ctx, list, cut, math.MaxInt)
}

// storeHosts stores the changes of at most most groups.
func (n *Node) storeHosts(ctx context.Context, list []fleet.RecordChange, cut []string, most int) {
	if len(list) == 0 && len(cut) == 0 {
		return
	}
	n.hostWrites.Lock()
	defer n.hostWrites.Unlock()
	n.mu.Lock()
	if !n.leads() {
		n.mu.Unlock()
		return
	}
	writes := n.reg.PlanWrites(list, cut, n.groupLimit(), n.limits.TxnOps)
	if len(writes) > most && !slices.ContainsFunc(writes, func(w fleet.GroupWrite) bool { return strings.HasPrefix(w.Key, fleet.SingleMachinePrefix) }) {
		writes = writes[:most]
	}
	// The versions of what the writes were computed from. Guards against a node
	// that has lost the lead and got it back, or not, and stores over what
	// another leader has changed meanwhile.
	seen := n.cache.Compare(member.Key)
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
		if c.After != nil && c.After.Phase == fleet.Draining && c.After.Reason == fleet.ReasonIdle {
			idle[n.keyOf(c.Machine)] = append(idle[n.keyOf(c.Machine)], c.Machine)
		}
	}
	defer func() {
		n.mu.Lock()
		n.storing = 0
		n.mu.Unlock()
	}()
	for i, w := range writes {
		n.mu.Lock()
		n.storing = len(writes) - i
		if n.cache.Version(member.Key) != seen.Version {
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
		if err := n.write(ctx, guards[i], then); err != nil {
			n.log.Info("machine records not stored", "group", w.Key, "err", err)
		}
	}
}

// keyOf is the key that holds a machine's record.
func (n *Node) keyOf(host string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reg.KeyOf(host)
}

// groupLimit is how much JSON a group of machine records may hold.
func (n *Node) groupLimit() int { return int(n.limits.ValueKB * 1024 * tuning.GroupFillShare) }

// applyList compares the cloud's list with the stored machines.
func (n *Node) applyList(ctx context.Context, list []wire.Machine) {
	n.mu.Lock()
	if !n.leads() {
		n.mu.Unlock()
		return
	}
	l := n.leadMemory()
	now := n.now()
	l.listAt = now
	seen := map[string]bool{}
	var changes []fleet.RecordChange
	for host, at := range l.gone {
		if now.Sub(at) > tuning.TerminatedKept {
			delete(l.gone, host)
		}
	}
	for _, h := range list {
		if _, ok := l.gone[h.Name]; ok {
			continue
		}
		seen[h.Name] = true
		if _, ok := l.since[h.Name]; !ok {
			l.since[h.Name] = now
		}
		l.listed[h.Name] = h
		delete(l.absent, h.Name)
		rec, known := n.reg.Machines[h.Name]
		switch {
		case h.State == wire.MachineFailed:
			was := &rec
			if !known {
				// Its record is dropped already; the entry stays until deleted.
				was, rec = nil, fleet.Record{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Role: place.Batch}
			}
			if next, err := rec.Phase.Next(fleet.EventTerminated); err == nil && rec.Phase != fleet.Terminated {
				gone := rec
				gone.Phase, gone.Reason = next, "listed as failed"
				changes = append(changes, fleet.RecordChange{Machine: h.Name, Before: was, After: &gone})
				n.log.Info("machine failed", "host", h.Name)
			}
		case !known:
			rec = fleet.Record{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Phase: fleet.Active, Role: n.firstRole(l, h, changes)}
			changes = append(changes, fleet.RecordChange{Machine: h.Name, After: &rec})
			n.log.Info("machine joins", "host", h.Name, "type", h.MachineType, "zone", h.Zone, "spot", h.Spot, "role", string(rec.Role))
		}
		if n.ownerOf(h.Name) == n.self.Label && h.State == wire.MachineRunning {
			if w := n.worker(h.Name); w.Address == "" {
				w.Address = h.Address
			}
		}
	}
	newest := ""
	for _, h := range list {
		newest = max(newest, h.Name)
	}
	lag := config.Seconds(n.set.Params.Cloud.ListLagS)
	for host, rec := range n.reg.Machines {
		if seen[host] {
			continue
		}
		// A stored machine was listed once, perhaps to a former leader. A list
		// may be older than that: a new machine may be missing from it. Names
		// come in the order of creation, so a list with a later name is newer.
		if _, ok := l.since[host]; !ok {
			l.since[host] = now
		}
		if rec.Phase == fleet.Terminated || host < newest || now.Sub(l.since[host]) > tuning.ListLagFactor*lag {
			l.absent[host]++
		}
	}
	for host := range l.rented {
		if seen[host] {
			delete(l.rented, host)
		}
	}
	n.mu.Unlock()
	n.writeHosts(ctx, changes)
}

// firstRole is the role of a machine that is new to the store: what it was
// rented for; else the role floors, then what waits, then services.
func (n *Node) firstRole(l *leading, h wire.Machine, joining []fleet.RecordChange) place.Role {
	if h.Spot {
		return place.Batch
	}
	if r, ok := l.rented[h.Name]; ok {
		return r.role
	}
	count := map[place.Role]int{}
	add := func(r fleet.Record) {
		if r.MachineType == h.MachineType && !r.Spot && r.Phase == fleet.Active {
			count[r.Role]++
		}
	}
	for _, r := range n.reg.Machines {
		add(r)
	}
	for _, c := range joining {
		add(*c.After)
	}
	services, arrays := false, false
	for jobID := range n.unmet {
		if j := n.table.Open[jobID]; j != nil && j.Service() {
			services = true
		} else if j != nil {
			arrays = true
		}
	}
	switch {
	case count[place.Service] < tuning.RoleFloor:
		return place.Service
	case count[place.Batch] < tuning.RoleFloor, arrays && !services && count[place.Batch] < count[place.Service]:
		return place.Batch
	}
	// Services have ordinary machines only, and people wait for them; most
	// batch work may use spot machines, which are rented when it comes.
	return place.Service
}

// drainChanges stores that machines take no more tasks; mu is held.
// Machines that are dead go back at once, by name: what would drain them is
// over, and their tasks wait for the proof of their return.
func (n *Node) drainChanges(drains []fleet.ScaleIn) (changes []fleet.RecordChange, dead []string) {
	for _, d := range drains {
		rec, ok := n.reg.Machines[d.Machine]
		if !ok {
			continue
		}
		next, err := rec.Phase.Next(fleet.EventDrain)
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
		changes = append(changes, fleet.RecordChange{Machine: d.Machine, Before: &rec, After: &drained})
	}
	return changes, dead
}

// toReturn lists drained machines to give back, and records to drop; mu is
// held. A drained machine goes back when it is empty.
func (n *Node) toReturn(l *leading, now time.Time) (returns []string, drops []fleet.RecordChange) {
	over := map[string][]fleet.RecordChange{} // by group
	for host, rec := range n.reg.Machines {
		switch rec.Phase {
		case fleet.Draining:
			if n.cache.Revision() < n.cache.Version(n.reg.KeyOf(host)) {
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
		case fleet.Terminated:
			if len(n.table.ClaimsByMachine[host]) > 0 {
				continue // its owner releases them first
			}
			if l.absent[host] >= tuning.MissingLists {
				over[n.reg.KeyOf(host)] = append(over[n.reg.KeyOf(host)], fleet.RecordChange{Machine: host, Before: &rec})
			} else if l.listed[host].State == wire.MachineFailed && l.absent[host] == 0 {
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
	for _, key := range keys[:min(len(keys), max(n.groupsNow(), 1))] {
		for _, c := range over[key] {
			drops = append(drops, c)
			l.forget(c.Machine)
		}
	}
	return returns, drops
}

// groupsNow is how many groups of machine records the leader may change now for
// what can wait.
func (n *Node) groupsNow() int {
	return min(int(n.lim.AvailableWrites(tuning.WriteReserve)), tuning.DrainGroupsMax)
}

// forget drops what the leader remembers of a machine.
func (l *leading) forget(host string) {
	delete(l.listed, host)
	delete(l.absent, host)
	delete(l.heard, host)
	delete(l.since, host)
	delete(l.idle, host)
	delete(l.unfit, host)
}

// giveBack returns machines to the cloud and stores that they are gone.
// Its answer is the proof that everything on them is gone. All calls go before
// the writes: a wave of hundreds of lost machines once took a minute.
func (n *Node) giveBack(ctx context.Context, list []string) {
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
	var changes []fleet.RecordChange
	for _, h := range hosts {
		rec, ok := n.reg.Machines[h]
		if !ok || rec.Phase == fleet.Terminated {
			continue
		}
		if rec.Phase == fleet.Draining && len(n.table.ClaimsByMachine[h]) == 0 && n.leads() {
			// Drained and empty: there is nothing that its end would prove. A
			// machine that was not drained may yet get a claim that is under way.
			l := n.leadMemory()
			l.gone[h] = n.now()
			l.forget(h)
			changes = append(changes, fleet.RecordChange{Machine: h, Before: &rec})
			continue
		}
		if next, err := rec.Phase.Next(fleet.EventTerminated); err == nil {
			gone := rec
			gone.Phase = next
			changes = append(changes, fleet.RecordChange{Machine: h, Before: &rec, After: &gone})
		}
	}
	n.mu.Unlock()
	// What is left is given back again by the next plan, which then has more
	// for each group. Guards against a wave of lost machines whose groups were
	// written three times over, while most of its tasks waited for the proof.
	n.storeHosts(ctx, changes, nil, tuning.GroupsPerBatch)
}

// rent rents machines. A request's name holds the token, which only one leader
// ever has, and a counter: no name is used twice.
func (n *Node) rent(ctx context.Context, h fleet.ScaleOut) {
	n.mu.Lock()
	if !n.leads() || ctx.Err() != nil {
		n.mu.Unlock()
		return
	}
	l := n.leadMemory()
	l.counter++
	name := fmt.Sprintf("%s-%d-%d", n.self.Label, l.token, l.counter)
	n.mu.Unlock()
	count := min(h.Count, tuning.ScaleOutMax)
	names, err := n.cloud.ScaleOut(wire.ScaleOutRequest{Name: name, MachineType: h.Kind.MachineType, Zone: h.Kind.Zone, Spot: h.Kind.Spot, Count: count})
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.leadMemory()
	now := n.now()
	if errors.Is(err, fleet.ErrNoCapacity) || err == nil && len(names) < count {
		l.refused[h.Kind] = now
	}
	n.log.Info("machines rented", "request", name, "type", h.Kind.MachineType, "zone", h.Kind.Zone, "spot", h.Kind.Spot,
		"role", string(h.Role), "asked", count, "got", len(names), "why", h.Reason, "err", err)
	for _, host := range names {
		l.rented[host] = rental{h.Kind, h.Role, now}
	}
}
