package autoscale

import (
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// With nothing to do for long the floors kept two machines for ever.
func TestInactiveRolesKeepNoMachines(t *testing.T) {
	in := newInput(newMachine("s1", placement.Service, false), newMachine("b1", placement.Batch, false))
	in.Operator.BatchHeadroom = 0.25
	in.Batch = newLoad(wire.KindArray, 0.01)
	wantScaleIn(t, in, "", "the floors of active roles")
	in.ActiveRoles = nil
	if out := Plan(in); len(out.ScaleIn) != 2 || len(out.ScaleOut) != 0 {
		t.Fatalf("without work: %+v", out)
	}
}

// With no spot machines left in the cloud, idle on-demand ones stood in for the
// headroom of batch work: dozens at several times the price.
func TestOnDemandMachinesAreNotKeptForHeadroomOfSpotWork(t *testing.T) {
	in := newInput(newMachine("a", placement.Batch, false), newMachine("b", placement.Batch, false))
	in.Operator.BatchHeadroom = 0.5
	in.Batch = newLoad(wire.KindArray, 100)
	refuse(in, true)
	if out := Plan(in); len(out.ScaleIn) != 1 {
		t.Fatalf("%+v: one of two idle machines is terminated, one keeps the role's floor", out.ScaleIn)
	}
	in.Batch.Spec.Spot = false
	refuse(in, false)
	wantScaleIn(t, in, "", "the headroom of work that needs on-demand machines")
}

// Spot machines hold the batch role's floor, so each short array that may not
// use them waited for an on-demand machine to boot.
func TestRoomIsKeptForBatchWorkThatMayNotUseSpot(t *testing.T) {
	small := &wire.JobSpec{ID: "wk-7", Team: "x", Kind: wire.KindArray, Tasks: 3, CPUs: 2, RAMGB: 4}
	spot, onDemand := newMachine("s", placement.Batch, true), newMachine("o", placement.Batch, false)
	plan := func(onDemandWork bool, machines ...Machine) Output {
		in := newInput(machines...)
		in.Batch = newLoad(wire.KindArray, 0)
		if onDemandWork {
			in.OnDemand = Load{MinTasks: 5, Need: jobs.ResourcesPerTask(small), Spec: small}
			in.Operator.BatchHeadroom = 0.25
		}
		return Plan(in)
	}
	if out := plan(true, spot); len(out.ScaleOut) != 1 || out.ScaleOut[0].Kind.Spot || out.ScaleOut[0].Count != 1 {
		t.Fatalf("added ahead: %+v", out.ScaleOut)
	}
	if out := plan(true, onDemand, spot, spot); len(out.ScaleOut) != 0 || len(out.ScaleIn) != 0 && out.ScaleIn[0].Machine == "o" {
		t.Fatalf("with room: scale out %+v, scale in %+v", out.ScaleOut, out.ScaleIn)
	}
	if out := plan(false, onDemand, newMachine("s2", placement.Batch, true), spot); len(out.ScaleOut) != 0 || len(out.ScaleIn) == 0 || out.ScaleIn[0].Machine != "o" {
		t.Fatalf("without such work: scale out %+v, scale in %+v", out.ScaleOut, out.ScaleIn)
	}
}
