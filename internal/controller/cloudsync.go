package controller

import (
	"context"
	"fmt"
	"sort"
	"time"

	"wheatspur/internal/cloud"
	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/membership"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// runCloudSync reads the machine types and the machine list while leading.
func (ld *leaderLoop) runCloudSync(ctx context.Context) error {
	var types time.Time
	for ctx.Err() == nil {
		ld.Lock()
		lead := ld.isLeader()
		known := len(ld.machineTypeList) > 0
		ld.Unlock()
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
		ld.Lock()
		pages := len(ld.leaderState.listed)/cloud.ListPageSize + 1
		ld.Unlock()
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
	ld.Lock()
	same := len(list) == len(ld.machineTypeList)
	for i := 0; same && i < len(list); i++ {
		a, b := list[i], ld.machineTypeList[i]
		a.SpotPrice = b.SpotPrice // moves all the time
		same = fmt.Sprint(a) == fmt.Sprint(b)
	}
	guards := []wire.Compare{ld.cache.Compare(membership.Key), ld.cache.Compare(typesKey)}
	ld.Unlock()
	if same {
		return nil
	}
	return ld.storeDecision(ctx, guards, []wire.Operation{{Put: typesKey, Value: wire.MustMarshal(wire.MachineTypes{Types: list})}})
}

// reconcileCloudList compares the cloud's list with the stored machines.
func (ld *leaderLoop) reconcileCloudList(ctx context.Context, list []wire.Machine) {
	ld.Lock()
	if !ld.isLeader() {
		ld.Unlock()
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
	ld.Unlock()
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
