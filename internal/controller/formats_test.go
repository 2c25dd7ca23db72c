package controller

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"

	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/wire"
)

// readProductionRecords returns the stored records and peer messages in testdata/production.json,
// which the production version wrote, by their keys.
func readProductionRecords(t testing.TB) map[string][]byte {
	t.Helper()
	b, err := os.ReadFile("testdata/production.json")
	if err != nil {
		t.Fatal(err)
	}
	var hexByKey map[string]string
	if err := json.Unmarshal(b, &hexByKey); err != nil {
		t.Fatal(err)
	}
	records := map[string][]byte{}
	for k, v := range hexByKey {
		if records[k], err = hex.DecodeString(v); err != nil {
			t.Fatal(err)
		}
	}
	return records
}

// Records and peer messages of the production version are decoded, and its records are rewritten
// within lower store limits.
func TestRecordsOfTheProductionVersionAreReadAndRewritten(t *testing.T) {
	data := readProductionRecords(t)
	status, err := peer.DecodeStatus(data["peer status"])
	if err != nil || status.Label != "b" || len(status.Machines) != 1 || status.Machines[0].Name != "host-000001" {
		t.Fatalf("status of a peer: %+v %v", status, err)
	}
	delete(data, "peer status")
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.store.ValueLimit, env.store.OpsLimit = 2048, 4
	for key, v := range data {
		if key == membership.RecordKey || key == membership.LeaderKey || key == jobs.TeamKey("x") || strings.HasPrefix(key, membership.SessionPrefix) {
			if err := applyRecord(controller, key, v); err != nil {
				t.Errorf("%s: %v", key, err)
			}
			continue
		}
		// The production version wrote it under a larger value limit.
		env.store.Put(key, v)
	}
	env = env.restartAll("a")
	controller = env.controllers["a"]
	controller.Limits.ValueKB, controller.Limits.TxnOps = 2, 4
	for jobID, phase := range map[string]jobs.Phase{"wk-1": jobs.Open, "wk-2": jobs.Cancelled, "wk-3": jobs.Done, "wk-4": jobs.Open, "wk-5": jobs.Open} {
		if job := controller.Table.Jobs[jobID]; job == nil || job.Phase != phase {
			t.Fatalf("%s: %+v", jobID, job)
		}
	}
	if controller.Table.Jobs["wk-1"].TaskCounts != [3]int{30, 70, 0} || len(controller.Inventory.Machines) != 33 {
		t.Fatalf("%v, %d machines", controller.Table.Jobs["wk-1"].TaskCounts, len(controller.Inventory.Machines))
	}
	// New jobs may depend on jobs that the production version accepted, also on finished ones and
	// on those in intake records.
	env.submit(controller, dependentJob(arrayJob("wk-10", 1), "wk-3", "wk-5"))
	env.submit(controller, dependentJob(arrayJob("wk-11", 1), "wk-1"))
	// Its jobs can be cancelled and its machines changed within the lower limits.
	for _, jobID := range []string{"wk-1", "wk-5"} {
		if code, _, _ := sendRequest(controller, "POST", "/work/"+jobID+"/cancel", nil); code != http.StatusOK {
			t.Fatalf("cancellation of %s: %d", jobID, code)
		}
	}
	env.checkStates("cancelled", map[string]string{"wk-1": wire.StateCancelled, "wk-10": wire.StateCancelled, "wk-11": wire.StateCancelled})
	var changes []inventory.RecordChange
	for _, machineName := range []string{"host-000000", "host-000017", "host-000031", "host-000099"} {
		before := controller.Inventory.Machines[machineName]
		after := before
		after.Phase, after.Reason = inventory.Draining, "a long reason for which there may be no room in the record"
		changes = append(changes, inventory.RecordChange{Machine: machineName, Before: &before, After: &after})
	}
	controller.leaderLoop.StoreMachines(context.Background(), changes)
	env.refreshAll()
	for _, c := range changes {
		if controller.Inventory.Machines[c.Machine].Phase != inventory.Draining {
			t.Errorf("%s is %s", c.Machine, controller.Inventory.Machines[c.Machine].Phase)
		}
	}
	if len(controller.Inventory.Machines) != 33 || len(controller.Inventory.OversizeGroups(controller.MaxRecordGroupBytes(), 9)) != 0 {
		t.Fatalf("%d machines, oversize groups: %v", len(controller.Inventory.Machines), controller.Inventory.OversizeGroups(controller.MaxRecordGroupBytes(), 9))
	}
	if env.store.RejectedOverLimit != 0 {
		t.Fatalf("%d transactions beyond the limits", env.store.RejectedOverLimit)
	}
}

// The formats in which the production version decodes records.
type (
	oldJobSpec struct {
		Ref    string `cbor:"ref"`
		Crew   string `cbor:"crew"`
		Shards int    `cbor:"shards"`
	}
	oldJobRecord struct {
		Phase  string      `cbor:"p"`
		At     int64       `cbor:"at"`
		Tasks  int         `cbor:"n"`
		Chunk  int         `cbor:"cs"`
		Serial uint64      `cbor:"s,omitempty"`
		Work   *oldJobSpec `cbor:"w,omitempty"`
	}
	oldSession struct {
		Label       string `cbor:"l"`
		Incarnation uint64 `cbor:"i"`
	}
)

// The formats of the production version decode the records that this version writes, and a waiting
// job decodes neither as open, so that it would be placed, nor as finished.
func TestTheProductionVersionDecodesRecordsOfThisVersion(t *testing.T) {
	spec := dependentJob(arrayJob("wk-2", 3), "wk-1")
	var record oldJobRecord
	if err := wire.Unmarshal(wire.MustMarshal(jobs.Record{Phase: jobs.Waiting, AcceptedAtMs: 5, Tasks: 3, TasksPerChunk: 64, Spec: &spec, EndedAtMs: 9, CancelledByDependency: "wk-1"}), &record); err != nil {
		t.Fatal(err)
	}
	// For any other phase the production version answers "queued" and never places the job.
	if record.Phase == "open" || record.Phase == "done" || record.Phase == "cancelled" || record.Tasks != 3 || record.Chunk != 64 || record.Work.Ref != "wk-2" {
		t.Fatalf("%+v", record)
	}
	var session oldSession
	if err := wire.Unmarshal(wire.MustMarshal(membership.Session{Controller: membership.Controller{Label: "a", Incarnation: 7}, Format: 1, ProgramVersion: "x"}), &session); err != nil || session != (oldSession{"a", 7}) {
		t.Fatalf("%+v %v", session, err)
	}
}

// A machine group above the value limit is split while the controller restarts between any two
// writes. At every revision each machine is in exactly one group. A leader of an older version that
// writes an oversize group again causes one more split.
func TestOversizeMachineGroupsAreSplitAcrossRestarts(t *testing.T) {
	data := readProductionRecords(t)
	env := newTestEnv(t, "a")
	for i := range 3 {
		var g inventory.Group
		if err := wire.Unmarshal(data["w/fleet/000000"], &g); err != nil {
			t.Fatal(err)
		}
		renamed := inventory.Group{Machines: map[string]inventory.Record{}}
		for machineName, r := range g.Machines {
			renamed.Machines[strings.Replace(machineName, "host-0", fmt.Sprintf("host-%d", i+1), 1)] = r
		}
		env.store.Put(inventory.GroupKey(i), wire.MustMarshal(renamed))
	}
	env.store.ValueLimit, env.store.OpsLimit = 2048, 4
	machines := 96
	for step := range 8 {
		env = env.restartAll("a") // each split is made by a newly started controller
		controller := env.controllers["a"]
		controller.Limits.ValueKB, controller.Limits.TxnOps = 2, 4
		if len(controller.Inventory.Machines) != machines {
			t.Fatalf("step %d: %d machines", step, len(controller.Inventory.Machines))
		}
		controller.leaderLoop.StoreMachines(context.Background(), nil, controller.Inventory.OversizeGroups(controller.MaxRecordGroupBytes(), 1)...)
		if step == 1 {
			// A leader of an older version fills up a group that was split.
			fullGroup := inventory.Group{Machines: map[string]inventory.Record{}}
			for machineName, r := range controller.Inventory.Machines {
				if controller.Inventory.RecordKey(machineName) == inventory.GroupKey(0) {
					fullGroup.Machines[machineName] = r
				}
			}
			for ; len(fullGroup.Machines) < 32; machines++ {
				fullGroup.Machines[fmt.Sprintf("host-9%05d", machines)] = inventory.Record{MachineType: "a-large-type", Zone: "a-far-away-zone", Role: "batch", Phase: inventory.Active, Reason: "joins"}
			}
			env.store.Put(inventory.GroupKey(0), wire.MustMarshal(fullGroup))
		}
	}
	controller := env.controllers["a"]
	if oversize := controller.Inventory.OversizeGroups(controller.MaxRecordGroupBytes(), 9); len(oversize) != 0 || env.store.RejectedOverLimit != 0 {
		t.Fatalf("oversize groups: %v, %d transactions beyond the limits", oversize, env.store.RejectedOverLimit)
	}
	seen := map[string]string{}
	for key, e := range env.store.Keys {
		var g inventory.Group
		if !strings.HasPrefix(key, inventory.GroupPrefix) {
			continue
		}
		if err := wire.Unmarshal(e.Value, &g); err != nil {
			t.Fatal(err)
		}
		for machineName := range g.Machines {
			if seen[machineName] != "" {
				t.Errorf("%s is in both %s and %s", machineName, seen[machineName], key)
			}
			seen[machineName] = key
		}
	}
	if len(seen) != machines {
		t.Fatalf("%d machines are stored, want %d", len(seen), machines)
	}
}

// Announced store limits apply at once where they are lower than the current ones. Higher ones do
// not apply yet.
func TestAnnouncedStoreLimitsLowerTheCurrentOnes(t *testing.T) {
	s := settings("a", []string{"a", "b", "c"})
	s.Params.State.Next = &config.StoreLimits{WriteRPS: 18, ValueKB: 2, TxnOps: 5}
	if l := s.EffectiveStoreLimits(); l.RPS != 1000 || l.WriteRPS != 18 || l.ValueKB != 2 || l.TxnOps != 5 {
		t.Fatalf("%+v", l)
	}
	s.Params.State.Next = &config.StoreLimits{ValueKB: 16}
	if l := s.EffectiveStoreLimits(); l.ValueKB != 4 || l.TxnOps != 12 {
		t.Fatalf("%+v", l)
	}
}
