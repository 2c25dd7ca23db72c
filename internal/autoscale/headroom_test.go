package autoscale

import (
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// Guards against role floors that keep machines indefinitely after the last job has ended.
func TestInactiveRolesKeepNoMachines(t *testing.T) {
	in := newInput(newMachine("s1", placement.Service, false), newMachine("b1", placement.Batch, false))
	in.Operator.BatchHeadroom = 0.25
	in.Batch = newLoad(wire.KindArray, 0.01)
	wantScaleIn(t, in, "", "active roles keep their floors")
	in.ActiveRoles = nil
	if out := Plan(in); len(out.ScaleIn) != 2 || len(out.ScaleOut) != 0 {
		t.Fatalf("without active roles: %+v", out)
	}
}

// Guards against idle on-demand machines that are kept as headroom for work that may use spot
// machines. While the cloud has no spot capacity, this once kept dozens of machines at several
// times the price.
func TestOnDemandMachinesAreNotKeptForHeadroomOfSpotWork(t *testing.T) {
	in := newInput(newMachine("a", placement.Batch, false), newMachine("b", placement.Batch, false))
	in.Operator.BatchHeadroom = 0.5
	in.Batch = newLoad(wire.KindArray, 100)
	markNoCapacity(in, true)
	if out := Plan(in); len(out.ScaleIn) != 1 {
		t.Fatalf("scale in %+v, want one of two idle machines terminated and one kept as the role floor", out.ScaleIn)
	}
	in.Batch.Spec.Spot = false
	markNoCapacity(in, false)
	wantScaleIn(t, in, "", "headroom of work that may not use spot machines")
}

// Guards against short arrays that may not use spot machines waiting for an on-demand machine to
// boot each time, because spot machines satisfy the batch role's floor.
func TestRoomIsKeptForBatchWorkThatMayNotUseSpot(t *testing.T) {
	small := &wire.JobSpec{ID: "wk-7", Team: "x", Kind: wire.KindArray, Tasks: 3, CPUs: 2, RAMGB: 4}
	spot, onDemand := newMachine("s", placement.Batch, true), newMachine("o", placement.Batch, false)
	plan := func(onDemandWork bool, machines ...Machine) Output {
		in := newInput(machines...)
		in.Batch = newLoad(wire.KindArray, 0)
		if onDemandWork {
			in.OnDemandBatch = Load{MinTasks: 5, TaskResources: jobs.ResourcesPerTask(small), Spec: small}
			in.Operator.BatchHeadroom = 0.25
		}
		return Plan(in)
	}
	if out := plan(true, spot); len(out.ScaleOut) != 1 || out.ScaleOut[0].Kind.Spot || out.ScaleOut[0].Count != 1 {
		t.Fatalf("without on-demand machines: scale out %+v, want one on-demand machine", out.ScaleOut)
	}
	if out := plan(true, onDemand, spot, spot); len(out.ScaleOut) != 0 || len(out.ScaleIn) != 0 && out.ScaleIn[0].Machine == "o" {
		t.Fatalf("with a free on-demand machine: scale out %+v, scale in %+v", out.ScaleOut, out.ScaleIn)
	}
	if out := plan(false, onDemand, newMachine("s2", placement.Batch, true), spot); len(out.ScaleOut) != 0 || len(out.ScaleIn) == 0 || out.ScaleIn[0].Machine != "o" {
		t.Fatalf("without on-demand work: scale out %+v, scale in %+v", out.ScaleOut, out.ScaleIn)
	}
}
