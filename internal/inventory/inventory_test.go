package inventory

import (
	"encoding/json"
	"fmt"
	"testing"

	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// apply enters writes as the state service would tell of them.
func apply(t *testing.T, g *Inventory, list []GroupWrite) {
	t.Helper()
	for _, w := range list {
		var raw wire.Raw
		if w.Group != nil {
			raw = wire.MustMarshal(w.Group)
		}
		if err := g.Apply(w.Key, raw); err != nil {
			t.Fatal(err)
		}
	}
}

func rec(machineType string) Record {
	return Record{MachineType: machineType, Zone: "a-zone-with-a-long-name", Role: placement.Batch, Phase: Active}
}

func TestMachinesShareKeysAndStayBelowTheValueLimit(t *testing.T) {
	limit := 4096
	g := NewInventory()
	var joins []RecordChange
	for i := range 2500 {
		r := rec("a-type")
		joins = append(joins, RecordChange{Machine: fmt.Sprintf("host-%06d", i), After: &r})
	}
	first := g.PlanWrites(joins, nil, int(float64(limit)*tuning.GroupFillShare), 12)
	if len(first) > 2500/16 {
		t.Fatalf("%d changes for 2500 machines", len(first))
	}
	apply(t, g, first)
	if len(g.Machines) != 2500 {
		t.Fatalf("%d machines are known", len(g.Machines))
	}
	// All get the longest reason that there may be.
	var drains []RecordChange
	for host, r := range g.Machines {
		d := r
		d.Phase, d.Role = Terminated, placement.Service
		for len(d.Reason) < 3*reasonMaxBytes {
			d.Reason += "because "
		}
		drains = append(drains, RecordChange{Machine: host, Before: &r, After: &d})
	}
	keys := map[string]string{}
	for host := range g.Machines {
		keys[host] = g.KeyOf(host)
	}
	apply(t, g, g.PlanWrites(drains, nil, int(float64(limit)*tuning.GroupFillShare), 12))
	for host, key := range keys {
		if g.KeyOf(host) != key || g.Machines[host].Phase != Terminated {
			t.Fatalf("%s left its key or was not changed", host)
		}
	}
	for key := range g.groups {
		all := map[string]map[string]any{}
		for host := range g.groups[key] {
			r := g.Machines[host]
			all[host] = map[string]any{"r": r.MachineType, "z": r.Zone, "s": r.Spot, "o": r.Role, "p": r.Phase, "w": r.Reason}
		}
		if b, _ := json.Marshal(map[string]any{"m": all}); len(b) > limit {
			t.Fatalf("%s holds %d bytes", key, len(b))
		}
	}
	var drops []RecordChange
	for host, r := range g.Machines {
		drops = append(drops, RecordChange{Machine: host, Before: &r})
	}
	for _, w := range g.PlanWrites(drops, nil, int(float64(limit)*tuning.GroupFillShare), 12) {
		if w.Group != nil {
			t.Fatalf("%s stays with %d machines", w.Key, len(w.Group.Machines))
		}
	}
}

// Two parts of the leader decide on the same machine; what was decided on an
// older record must not undo what was stored since.
func TestAChangeDecidedOnAnOldRecordIsLeftOut(t *testing.T) {
	g := NewInventory()
	r := rec("g")
	apply(t, g, g.PlanWrites([]RecordChange{{Machine: "h1", After: &r}}, nil, 4096, 12))
	returned, moved := r, r
	returned.Phase, moved.Role = Terminated, placement.Service
	apply(t, g, g.PlanWrites([]RecordChange{{Machine: "h1", Before: &r, After: &returned}}, nil, 4096, 12))
	if w := g.PlanWrites([]RecordChange{{Machine: "h1", Before: &r, After: &moved}, {Machine: "h1", After: &r}}, nil, 4096, 12); len(w) != 0 {
		t.Fatalf("an old decision is written: %+v", w)
	}
}

func TestRecordsOfTheEarlierLayoutAreReadAndMoveIntoAGroup(t *testing.T) {
	g := NewInventory()
	r := rec("g")
	if err := g.Apply(SingleMachinePrefix+"h1", wire.MustMarshal(r)); err != nil || g.Machines["h1"] != r || g.KeyOf("h1") != SingleMachinePrefix+"h1" {
		t.Fatalf("%v %v", g.Machines, err)
	}
	d := r
	d.Phase = Draining
	writes := g.PlanWrites([]RecordChange{{Machine: "h1", Before: &r, After: &d}}, nil, 4096, 12)
	if len(writes) != 2 || writes[0].Group == nil || writes[1].Key != SingleMachinePrefix+"h1" {
		t.Fatalf("%+v: the new key is to stand before the old one goes", writes)
	}
	apply(t, g, writes[:1])
	// A node that reads both, in any order, takes the newer.
	if err := g.Apply(SingleMachinePrefix+"h1", wire.MustMarshal(r)); err != nil || g.Machines["h1"].Phase != Draining {
		t.Fatal("the former key hides the new one")
	}
	apply(t, g, writes[1:])
	if g.Machines["h1"].Phase != Draining || g.KeyOf("h1") != GroupKey(0) {
		t.Fatalf("%v at %s", g.Machines, g.KeyOf("h1"))
	}
	if err := g.Apply(GroupKey(1), wire.Raw{0xff}); err == nil {
		t.Fatal("nonsense was read")
	}
}
