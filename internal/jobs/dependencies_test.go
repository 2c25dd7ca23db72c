package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheatspur/wire"
)

// dag is a table for tests of jobs that depend on each other.
type dag struct {
	t     *testing.T
	table *Table
}

func newDAG(t *testing.T) *dag {
	t.Helper()
	return &dag{t, NewTable(func() time.Time { return time.Unix(0, 0) })}
}

func (d *dag) put(jobID string, record Record) {
	d.t.Helper()
	applyJob(d.t, d.table, jobID, record)
}

// newJobRecord returns the record of a new job whose spec was changed by edit.
func newJobRecord(jobID string, edit func(*wire.JobSpec), dependsOn ...string) Record {
	spec := &wire.JobSpec{ID: jobID, Team: "x", Kind: wire.KindArray, Priority: wire.PriorityLow, Tasks: 1, EstimateS: 10, DependsOn: dependsOn}
	if edit != nil {
		edit(spec)
	}
	r := Record{Phase: Open, AcceptedAtMs: 1000, Tasks: 1, TasksPerChunk: 4, Spec: spec}
	if len(dependsOn) > 0 {
		r.Phase = Waiting
	}
	return r
}

func (d *dag) putDone(jobID string, endedAtMs int64) {
	d.put(jobID, Record{Phase: Done, AcceptedAtMs: 1000, Tasks: 1, TasksPerChunk: 4, EndedAtMs: endedAtMs})
}

// putCancelled applies the record of a job that its user has cancelled.
func (d *dag) putCancelled(jobID string, record Record) {
	d.t.Helper()
	cancelled, err := record.Cancel(time.UnixMilli(7000))
	if err != nil {
		d.t.Fatal(err)
	}
	d.put(jobID, cancelled)
}

// wantPhases compares the phases of jobs and the indexes by phase with those wanted.
func (d *dag) wantPhases(what string, phases map[string]Phase) {
	d.t.Helper()
	for jobID, want := range phases {
		j := d.table.Jobs[jobID]
		if j.Phase != want || (d.table.Open[jobID] != nil) != (want == Open) || (d.table.Waiting[jobID] != nil) != (want == Waiting) {
			d.t.Errorf("%s: %s is %s, want %s", what, jobID, j.Phase, want)
		}
	}
}

// Guards against phases that depend on the order of records: a full read delivers job records before
// intake records, the watch delivers them in the order in which they were written.
func TestPhasesAreDerivedTheSameInAnyRecordOrder(t *testing.T) {
	// wk-4 joins two branches, wk-5 and wk-8 follow it, and wk-7 depends on the cancelled wk-6.
	steps := []func(d *dag){
		func(d *dag) { d.putDone("wk-1", 5000) },
		func(d *dag) { d.put("wk-2", newJobRecord("wk-2", nil, "wk-1")) },
		func(d *dag) { d.putDone("wk-3", 9000) },
		func(d *dag) { d.put("wk-4", newJobRecord("wk-4", nil, "wk-2", "wk-3")) },
		func(d *dag) { d.put("wk-5", newJobRecord("wk-5", nil, "wk-4")) },
		func(d *dag) { d.put("wk-6", Record{Phase: Cancelled, Tasks: 1, TasksPerChunk: 4}) },
		func(d *dag) { d.put("wk-7", newJobRecord("wk-7", nil, "wk-3", "wk-6")) },
		func(d *dag) { d.put("wk-8", newJobRecord("wk-8", nil, "wk-7", "wk-5")) },
		func(d *dag) { d.put("wk-9", newJobRecord("wk-9", nil, "wk-3", "wk-1")) },
	}
	for seed := range uint64(40) {
		d := newDAG(t)
		for _, i := range rand.New(rand.NewPCG(seed, 1)).Perm(len(steps)) {
			steps[i](d)
		}
		d.wantPhases(fmt.Sprint("order ", seed), map[string]Phase{"wk-2": Open, "wk-4": Waiting, "wk-5": Waiting, "wk-7": Cancelled, "wk-8": Cancelled, "wk-9": Open})
		if j := d.table.Jobs["wk-9"]; j.ReadyAtMs != 9000 {
			t.Fatalf("order %d: wk-9 is ready at %d ms, want 9000", seed, j.ReadyAtMs)
		}
		if d.table.Jobs["wk-8"].Status().State != wire.StateCancelled || d.table.Jobs["wk-4"].Status().State != wire.StateQueued {
			t.Fatal("wk-8 is not reported as cancelled or wk-4 not as queued")
		}
		if len(d.table.AwaitingFinalRecord) != 2 || d.table.Jobs["wk-7"].CancelledByDependency != "wk-6" || d.table.Jobs["wk-8"].CancelledByDependency != "wk-7" {
			t.Fatalf("order %d: cancelled jobs without a final record: %v", seed, d.table.AwaitingFinalRecord)
		}
	}
}

func TestCancellationReachesAllDependents(t *testing.T) {
	const length = 3000 // jobs in a deep chain, and direct dependents of its first job
	d := newDAG(t)
	d.put("wk-0", newJobRecord("wk-0", nil))
	for i := 1; i <= length; i++ {
		link := fmt.Sprintf("wk-%d", i)
		d.put(link, newJobRecord(link, nil, fmt.Sprintf("wk-%d", i-1)))
		fan := fmt.Sprintf("wk-%d", 10000+i)
		d.put(fan, newJobRecord(fan, nil, "wk-0"))
	}
	if len(d.table.Waiting) != 2*length {
		t.Fatalf("%d jobs are waiting", len(d.table.Waiting))
	}
	d.putCancelled("wk-0", newJobRecord("wk-0", nil))
	if len(d.table.Waiting) != 0 || len(d.table.Open) != 0 || len(d.table.AwaitingFinalRecord) != 2*length {
		t.Fatalf("%d waiting, %d open, %d cancelled", len(d.table.Waiting), len(d.table.Open), len(d.table.AwaitingFinalRecord))
	}
	// A dependent that was accepted late, by a controller that had not seen the cancellation yet.
	d.put("wk-99999", newJobRecord("wk-99999", nil, "wk-3000"))
	if d.table.Jobs["wk-99999"].Phase != Cancelled {
		t.Fatal("a late dependent is not cancelled")
	}
}

func TestCancellationDoesNotAffectDependencies(t *testing.T) {
	d := newDAG(t)
	d.put("wk-1", newJobRecord("wk-1", nil))
	dependent := newJobRecord("wk-2", nil, "wk-1")
	d.put("wk-2", dependent)
	d.putCancelled("wk-2", dependent)
	d.wantPhases("after the cancellation of a dependent", map[string]Phase{"wk-1": Open, "wk-2": Cancelled})
}

func TestPriorityAndDeadlineReachDependencies(t *testing.T) {
	d := newDAG(t)
	deadline := 100.0
	d.put("wk-1", newJobRecord("wk-1", nil))
	d.put("wk-2", newJobRecord("wk-2", nil, "wk-1"))
	d.put("wk-3", newJobRecord("wk-3", func(s *wire.JobSpec) { s.Priority = wire.PriorityNormal }, "wk-1"))
	if j := d.table.Jobs["wk-1"]; j.Priority != PriorityRank(wire.PriorityNormal) || j.DeadlineMs != 0 {
		t.Fatalf("priority %d, deadline %d before wk-4 is known", j.Priority, j.DeadlineMs)
	}
	last := newJobRecord("wk-4", func(s *wire.JobSpec) { s.Priority, s.DeadlineS = wire.PriorityUrgent, &deadline }, "wk-2", "wk-3")
	d.put("wk-4", last)
	urgent := PriorityRank(wire.PriorityUrgent)
	// wk-4 is due at 101 s. Each dependency is due 13 s before its dependent: 10 s of estimated run
	// time and a DependencyStartDelay of 3 s.
	for jobID, want := range map[string]int64{"wk-4": 101000, "wk-2": 88000, "wk-3": 88000, "wk-1": 75000} {
		if j := d.table.Jobs[jobID]; j.Priority != urgent || j.DeadlineMs != want {
			t.Errorf("%s: priority %d, deadline %d, want %d", jobID, j.Priority, j.DeadlineMs, want)
		}
	}
	// A cancelled dependent no longer raises the urgency of its dependencies.
	d.putCancelled("wk-4", last)
	for _, jobID := range []string{"wk-1", "wk-2", "wk-3"} {
		if j := d.table.Jobs[jobID]; j.Priority == urgent || j.DeadlineMs != 0 {
			t.Errorf("%s still has priority %d and deadline %d", jobID, j.Priority, j.DeadlineMs)
		}
	}
}

// Guards against treating a job whose record can't be decoded as done.
func TestUnreadableRecordKeepsDependentsWaiting(t *testing.T) {
	d := newDAG(t)
	if d.table.ApplyJob("wk-1", []byte{0x61}) == nil {
		t.Fatal("a truncated record was decoded without an error")
	}
	d.put("wk-2", newJobRecord("wk-2", nil, "wk-1"))
	d.wantPhases("with an unreadable dependency", map[string]Phase{"wk-2": Waiting})
	if unfinished := d.table.UnfinishedDependencies(d.table.Jobs["wk-2"]); len(unfinished) != 1 || unfinished[0] != "wk-1" {
		t.Fatalf("unfinished dependencies: %v, want wk-1", unfinished)
	}
}
