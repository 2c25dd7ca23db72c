package autoscale

import (
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

var t0 = time.Unix(1000, 0)

// testTypes have eight GPUs each, room for eight tasks of newDemand.
var testTypes = []wire.MachineType{
	{Label: "big", CPUs: 16, GPUs: 8, RAMGB: 128, Price: 8, SpotPrice: 2, StartupS: 40, Zones: []string{"z1", "z2"}},
	{Label: "expensive", CPUs: 16, GPUs: 8, RAMGB: 128, Price: 16, SpotPrice: 6, StartupS: 40, Zones: []string{"z1"}},
}

// newDemand returns the demand of a job of the kind for count tasks with one GPU each. Arrays
// may use spot machines.
func newDemand(kind string, count int) Demand {
	spec := &wire.JobSpec{
		ID:       "wk-1",
		Team:     "x",
		Kind:     kind,
		Priority: wire.PriorityNormal,
		Tasks:    count,
		CPUs:     1,
		GPUs:     1,
		RAMGB:    1,
		Spot:     kind == wire.KindArray,
	}
	record := jobs.Record{Phase: jobs.Open, Tasks: count, Spec: spec}
	return Demand{Job: &jobs.Job{ID: spec.ID, Record: record, TaskResources: jobs.ResourcesPerTask(spec)}, Count: count}
}

// newLoad returns a load of tasks of the kind, as newDemand makes them.
func newLoad(kind string, tasks float64) Load {
	job := newDemand(kind, 1).Job
	return Load{Tasks: tasks, TaskResources: job.TaskResources, Spec: job.Record.Spec}
}

// newInput returns an input with both roles active and no headroom.
func newInput(machines ...Machine) Input {
	operator := config.DefaultOperatorSettings()
	operator.ServiceHeadroom, operator.BatchHeadroom = 0, 0
	return Input{
		Now:            t0,
		Operator:       operator,
		Types:          testTypes,
		Machines:       machines,
		LastNoCapacity: map[MachineKind]time.Time{},
		SurplusSince:   map[string]time.Time{},
		ActiveRoles:    map[placement.Role]bool{placement.Batch: true, placement.Service: true},
	}
}

// newMachine returns an empty schedulable machine of type big in zone z1, idle for an hour.
func newMachine(name string, role placement.Role, spot bool) Machine {
	return Machine{
		Name:        name,
		Kind:        MachineKind{"big", "z1", spot},
		Role:        role,
		Schedulable: true,
		Free:        capacity(testTypes[0]),
		Idle:        time.Hour,
	}
}

// markNoCapacity records that the cloud has just had no capacity for any type of spot machines,
// or of on-demand machines if spot is false.
func markNoCapacity(in Input, spot bool) {
	for _, machineType := range testTypes {
		for _, zone := range machineType.Zones {
			in.LastNoCapacity[MachineKind{machineType.Label, zone, spot}] = t0
		}
	}
}

// totalCount returns the number of machines to add.
func totalCount(scaleOuts []ScaleOut) int {
	total := 0
	for _, s := range scaleOuts {
		total += s.Count
	}
	return total
}

// wantScaleIn checks that exactly one machine is terminated, for the given reason, or none if
// reason is "".
func wantScaleIn(t *testing.T, in Input, reason, when string) {
	t.Helper()
	got := Plan(in).ScaleIn
	if reason == "" && len(got) != 0 || reason != "" && (len(got) != 1 || got[0].Reason != reason) {
		t.Fatalf("%s: scale in %v, want reason %q", when, got, reason)
	}
}
