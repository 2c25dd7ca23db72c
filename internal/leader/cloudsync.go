package leader

import (
	"context"
	"fmt"
	"sort"
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
	var types time.Time
	for ctx.Err() == nil {
		ld.Lock()
		lead := ld.IsLeader()
		known := len(ld.MachineTypeList) > 0
		ld.Unlock()
		if !lead {
			timing.Sleep(ctx, tuning.TickEvery)
			continue
		}
		if !known || ld.Now().Sub(types) > tuning.TypesEvery {
			if err := ld.RefreshMachineTypes(ctx); err != nil {
				ld.Log.Info(logging.EventMachineTypesNotRead, logging.KeyError, err)
			} else {
				types = ld.Now()
			}
		}
		if list, err := ld.cloud.ListMachines(); err != nil {
			ld.Log.Info(logging.EventMachineListNotRead, logging.KeyError, err)
		} else {
			ld.ReconcileCloudList(ctx, list)
		}
		// A list of many pages takes as many calls of the cloud's budget.
		ld.Lock()
		pages := len(ld.LeaderState.listed)/cloud.ListPageSize + 1
		ld.Unlock()
		timing.Sleep(ctx, tuning.ListEvery*time.Duration(max(1, pages/2)))
	}
	return nil
}

// RefreshMachineTypes stores the machine types, if they have changed.
func (ld *Loop) RefreshMachineTypes(ctx context.Context) error {
	list, err := ld.cloud.MachineTypes()
	if err != nil {
		return err
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Label < list[b].Label })
	ld.Lock()
	same := len(list) == len(ld.MachineTypeList)
	for i := 0; same && i < len(list); i++ {
		a, b := list[i], ld.MachineTypeList[i]
		a.SpotPrice = b.SpotPrice // moves all the time
		same = fmt.Sprint(a) == fmt.Sprint(b)
	}
	guards := []wire.Compare{ld.Cache.Compare(membership.Key), ld.Cache.Compare(cluster.TypesKey)}
	ld.Unlock()
	if same {
		return nil
	}
	return ld.StoreDecision(ctx, guards, []wire.Operation{{Put: cluster.TypesKey, Value: wire.MustMarshal(wire.MachineTypes{Types: list})}})
}

// ReconcileCloudList compares the cloud's list with the stored machines.
func (ld *Loop) ReconcileCloudList(ctx context.Context, list []wire.Machine) {
	ld.Lock()
	if !ld.IsLeader() {
		ld.Unlock()
		return
	}
	l := ld.CurrentLeaderState()
	now := ld.Now()
	l.ListedAt = now
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
		if _, ok := l.FirstListed[h.Name]; !ok {
			l.FirstListed[h.Name] = now
		}
		l.listed[h.Name] = h
		delete(l.MissingLists, h.Name)
		rec, known := ld.Inventory.Machines[h.Name]
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
				ld.Log.Info(logging.EventMachineFailed, logging.KeyMachine, h.Name)
			}
		case !known:
			rec = inventory.Record{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Phase: inventory.Active, Role: ld.initialRole(l, h, changes)}
			changes = append(changes, inventory.RecordChange{Machine: h.Name, After: &rec})
			ld.Log.Info(logging.EventMachineRegistered, logging.KeyMachine, h.Name, logging.KeyMachineType, h.MachineType, logging.KeyZone, h.Zone, logging.KeySpot, h.Spot, logging.KeyRole, string(rec.Role))
		}
		if ld.ShardOwner(h.Name) == ld.Self.Label && h.State == wire.MachineRunning {
			if w := ld.Workers.Worker(h.Name); w.Address == "" {
				w.Address = h.Address
			}
		}
	}
	newest := ""
	for _, h := range list {
		newest = max(newest, h.Name)
	}
	lag := config.Seconds(ld.Settings.Params.Cloud.ListLagS)
	for host, rec := range ld.Inventory.Machines {
		if seen[host] {
			continue
		}
		// A stored machine was listed once, perhaps to a former leader. A list
		// may be older than that: a new machine may be missing from it. Names
		// come in the order of creation, so a list with a later name is newer.
		if _, ok := l.FirstListed[host]; !ok {
			l.FirstListed[host] = now
		}
		if rec.Phase == inventory.Terminated || host < newest || now.Sub(l.FirstListed[host]) > tuning.ListLagFactor*lag {
			l.MissingLists[host]++
		}
	}
	for host := range l.ScalingOut {
		if seen[host] {
			delete(l.ScalingOut, host)
		}
	}
	ld.Unlock()
	ld.StoreMachines(ctx, changes)
}
