package inventory

import (
	"encoding/json"
	"fmt"
	"testing"

	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

const (
	testLimit   = 4096 // bytes in a value
	testMaxKeys = 12   // keys in a transaction
)

// applyWrites applies writes as the store's watch would deliver them.
func applyWrites(t *testing.T, inv *Inventory, writes []GroupWrite) {
	t.Helper()
	for _, write := range writes {
		var raw wire.Raw
		if write.Group != nil {
			raw = wire.MustMarshal(write.Group)
		}
		if err := inv.Apply(write.Key, raw); err != nil {
			t.Fatal(err)
		}
	}
}

func newRecord(machineType string) Record {
	return Record{MachineType: machineType, Zone: "a-zone-with-a-long-name", Role: placement.Batch, Phase: Active}
}

func TestGroupsStayBelowValueSizeLimit(t *testing.T) {
	limit := testLimit
	fill := int(float64(limit) * tuning.GroupFillShare)
	inv := NewInventory()
	var additions []RecordChange
	for i := range 2500 {
		record := newRecord("a-type")
		additions = append(additions, RecordChange{Machine: fmt.Sprintf("host-%06d", i), After: &record})
	}
	writes := inv.PlanWrites(additions, nil, fill, testMaxKeys)
	if len(writes) > 2500/16 {
		t.Fatalf("%d writes for 2500 machines", len(writes))
	}
	applyWrites(t, inv, writes)
	if len(inv.Machines) != 2500 {
		t.Fatalf("%d machines in the inventory, want 2500", len(inv.Machines))
	}
	// Every machine gets a reason longer than the limit.
	var terminations []RecordChange
	for machine, record := range inv.Machines {
		terminated := record
		terminated.Phase, terminated.Role = Terminated, placement.Service
		for len(terminated.Reason) < 3*maxReasonBytes {
			terminated.Reason += "because "
		}
		terminations = append(terminations, RecordChange{Machine: machine, Before: &record, After: &terminated})
	}
	keys := map[string]string{}
	for machine := range inv.Machines {
		keys[machine] = inv.RecordKey(machine)
	}
	applyWrites(t, inv, inv.PlanWrites(terminations, nil, fill, testMaxKeys))
	for machine, key := range keys {
		if inv.RecordKey(machine) != key || inv.Machines[machine].Phase != Terminated {
			t.Fatalf("%s moved to another key or its change was lost", machine)
		}
	}
	for key := range inv.groups {
		group := map[string]map[string]any{}
		for machine := range inv.groups[key] {
			r := inv.Machines[machine]
			group[machine] = map[string]any{"r": r.MachineType, "z": r.Zone, "s": r.Spot, "o": r.Role, "p": r.Phase, "w": r.Reason}
		}
		encoded, err := json.Marshal(map[string]any{"m": group})
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > limit {
			t.Fatalf("%s holds %d bytes, more than the value limit", key, len(encoded))
		}
	}
	var deletions []RecordChange
	for machine, record := range inv.Machines {
		deletions = append(deletions, RecordChange{Machine: machine, Before: &record})
	}
	for _, write := range inv.PlanWrites(deletions, nil, fill, testMaxKeys) {
		if write.Group != nil {
			t.Fatalf("%s still holds %d machines, want it deleted", write.Key, len(write.Group.Machines))
		}
	}
}

// Guards against lost updates: two parts of the leader may decide on the same machine, and a decision
// on an older record must not overwrite what was stored since.
func TestChangeDecidedOnStaleRecordIsDropped(t *testing.T) {
	inv := NewInventory()
	record := newRecord("g")
	applyWrites(t, inv, inv.PlanWrites([]RecordChange{{Machine: "m1", After: &record}}, nil, testLimit, testMaxKeys))
	terminated, moved := record, record
	terminated.Phase, moved.Role = Terminated, placement.Service
	applyWrites(t, inv, inv.PlanWrites([]RecordChange{{Machine: "m1", Before: &record, After: &terminated}}, nil, testLimit, testMaxKeys))
	stale := []RecordChange{{Machine: "m1", Before: &record, After: &moved}, {Machine: "m1", After: &record}}
	if writes := inv.PlanWrites(stale, nil, testLimit, testMaxKeys); len(writes) != 0 {
		t.Fatalf("a change decided on a stale record is written: %+v", writes)
	}
}

func TestSingleMachineRecordsAreReadAndMoveIntoGroups(t *testing.T) {
	const singleKey = SingleMachinePrefix + "m1"
	inv := NewInventory()
	record := newRecord("g")
	if err := inv.Apply(singleKey, wire.MustMarshal(record)); err != nil || inv.Machines["m1"] != record || inv.RecordKey("m1") != singleKey {
		t.Fatalf("%v %v", inv.Machines, err)
	}
	draining := record
	draining.Phase = Draining
	writes := inv.PlanWrites([]RecordChange{{Machine: "m1", Before: &record, After: &draining}}, nil, testLimit, testMaxKeys)
	if len(writes) != 2 || writes[0].Group == nil || writes[1].Key != singleKey {
		t.Fatalf("%+v: the new key must be written before the old one is deleted", writes)
	}
	applyWrites(t, inv, writes[:1])
	// A controller that reads both records, in either order, keeps the newer one.
	if err := inv.Apply(singleKey, wire.MustMarshal(record)); err != nil || inv.Machines["m1"].Phase != Draining {
		t.Fatal("the single-machine record replaced the newer one in the group")
	}
	applyWrites(t, inv, writes[1:])
	if inv.Machines["m1"].Phase != Draining || inv.RecordKey("m1") != GroupKey(0) {
		t.Fatalf("%v at %s", inv.Machines, inv.RecordKey("m1"))
	}
	if err := inv.Apply(GroupKey(1), wire.Raw{0xff}); err == nil {
		t.Fatal("an undecodable value was applied without an error")
	}
}
