package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheatspur/wire"
)

// dag is a table that is fed with jobs which depend on each other.
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

// record is that of a new job, edited.
func record(jobID string, edit func(*wire.JobSpec), dependsOn ...string) Record {
	spec := &wire.JobSpec{ID: jobID, Team: "x", Kind: wire.KindArray, Priority: wire.PriorityLow, Tasks: 1, EstimateS: 10, DependsOn: dependsOn}
	if edit != nil {
		edit(spec)
	}
	r := Record{Phase: Open, AcceptedAtMs: 1000, Tasks: 1, ChunkSize: 4, Spec: spec}
	if len(dependsOn) > 0 {
		r.Phase = Waiting
	}
	return r
}

func (d *dag) done(jobID string, endedAtMs int64) {
	d.put(jobID, Record{Phase: Done, AcceptedAtMs: 1000, Tasks: 1, ChunkSize: 4, EndedAtMs: endedAtMs})
}

// cancel puts the record of a job after its user has cancelled it.
func (d *dag) cancel(jobID string, record Record) {
	d.t.Helper()
	cancelled, err := record.Cancel(time.UnixMilli(7000))
	if err != nil {
		d.t.Fatal(err)
	}
	d.put(jobID, cancelled)
}

// want compares the phases of jobs, and the indexes by phase.
func (d *dag) want(what string, phases map[string]Phase) {
	d.t.Helper()
	for jobID, want := range phases {
		j := d.table.Jobs[jobID]
		if j.Phase != want || (d.table.Open[jobID] != nil) != (want == Open) || (d.table.Waiting[jobID] != nil) != (want == Waiting) {
			d.t.Errorf("%s: %s is %s, want %s", what, jobID, j.Phase, want)
		}
	}
}

// The records come in any order: a full read has job records before intake
// records, and the watch has whatever was written.
func TestPhasesAreDerivedTheSameInAnyRecordOrder(t *testing.T) {
	// a diamond a -> b, c -> d, a chain after it, and one that depends on a cancelled job
	steps := []func(d *dag){
		func(d *dag) { d.done("wk-1", 5000) },
		func(d *dag) { d.put("wk-2", record("wk-2", nil, "wk-1")) },
		func(d *dag) { d.done("wk-3", 9000) },
		func(d *dag) { d.put("wk-4", record("wk-4", nil, "wk-2", "wk-3")) },
		func(d *dag) { d.put("wk-5", record("wk-5", nil, "wk-4")) },
		func(d *dag) { d.put("wk-6", Record{Phase: Cancelled, Tasks: 1, ChunkSize: 4}) },
		func(d *dag) { d.put("wk-7", record("wk-7", nil, "wk-3", "wk-6")) },
		func(d *dag) { d.put("wk-8", record("wk-8", nil, "wk-7", "wk-5")) },
		func(d *dag) { d.put("wk-9", record("wk-9", nil, "wk-3", "wk-1")) },
	}
	for seed := range uint64(40) {
		d := newDAG(t)
		for _, i := range rand.New(rand.NewPCG(seed, 1)).Perm(len(steps)) {
			steps[i](d)
		}
		d.want(fmt.Sprint("order ", seed), map[string]Phase{"wk-2": Open, "wk-4": Waiting, "wk-5": Waiting, "wk-7": Cancelled, "wk-8": Cancelled, "wk-9": Open})
		if j := d.table.Jobs["wk-9"]; j.ReadyAtMs != 9000 {
			t.Fatalf("order %d: wk-9 may start from %d", seed, j.ReadyAtMs)
		}
		if d.table.Jobs["wk-8"].Status().State != wire.StateCancelled || d.table.Jobs["wk-4"].Status().State != wire.StateQueued {
			t.Fatal("the status that users see differs")
		}
		if len(d.table.Unrecorded) != 2 || d.table.Jobs["wk-7"].CancelledWith != "wk-6" || d.table.Jobs["wk-8"].CancelledWith != "wk-7" {
			t.Fatalf("order %d: unrecorded %v", seed, d.table.Unrecorded)
		}
	}
}

func TestCancellationReachesAllDependents(t *testing.T) {
	const length = 3000 // of a deep chain, and the width of a fan
	d := newDAG(t)
	d.put("wk-0", record("wk-0", nil))
	for i := 1; i <= length; i++ {
		link := fmt.Sprintf("wk-%d", i)
		d.put(link, record(link, nil, fmt.Sprintf("wk-%d", i-1)))
		fan := fmt.Sprintf("wk-%d", 10000+i)
		d.put(fan, record(fan, nil, "wk-0"))
	}
	if len(d.table.Waiting) != 2*length {
		t.Fatalf("%d wait", len(d.table.Waiting))
	}
	d.cancel("wk-0", record("wk-0", nil))
	if len(d.table.Waiting) != 0 || len(d.table.Open) != 0 || len(d.table.Unrecorded) != 2*length {
		t.Fatalf("%d wait, %d open, %d cancelled", len(d.table.Waiting), len(d.table.Open), len(d.table.Unrecorded))
	}
	// One that comes late, through a controller that had not heard.
	d.put("wk-99999", record("wk-99999", nil, "wk-3000"))
	if d.table.Jobs["wk-99999"].Phase != Cancelled {
		t.Fatal("a late dependent is not cancelled")
	}
}

func TestCancellationLeavesDependenciesAlone(t *testing.T) {
	d := newDAG(t)
	d.put("wk-1", record("wk-1", nil))
	dependent := record("wk-2", nil, "wk-1")
	d.put("wk-2", dependent)
	d.cancel("wk-2", dependent)
	d.want("after a dependent's cancellation", map[string]Phase{"wk-1": Open, "wk-2": Cancelled})
}

func TestPriorityAndDeadlineReachDependencies(t *testing.T) {
	d := newDAG(t)
	deadline := 100.0
	d.put("wk-1", record("wk-1", nil))
	d.put("wk-2", record("wk-2", nil, "wk-1"))
	d.put("wk-3", record("wk-3", func(s *wire.JobSpec) { s.Priority = wire.PriorityNormal }, "wk-1"))
	if j := d.table.Jobs["wk-1"]; j.Priority != PriorityOrder(wire.PriorityNormal) || j.DeadlineMs != 0 {
		t.Fatalf("priority %d deadline %d before the last job is known", j.Priority, j.DeadlineMs)
	}
	last := record("wk-4", func(s *wire.JobSpec) { s.Priority, s.DeadlineS = wire.PriorityUrgent, &deadline }, "wk-2", "wk-3")
	d.put("wk-4", last)
	urgent := PriorityOrder(wire.PriorityUrgent)
	// 101 s, less 10 s for the last job and 3 s for the gap, and once more.
	for jobID, want := range map[string]int64{"wk-4": 101000, "wk-2": 88000, "wk-3": 88000, "wk-1": 75000} {
		if j := d.table.Jobs[jobID]; j.Priority != urgent || j.DeadlineMs != want {
			t.Errorf("%s: priority %d deadline %d, want %d", jobID, j.Priority, j.DeadlineMs, want)
		}
	}
	// A cancelled dependent no longer raises the urgency of its dependencies.
	d.cancel("wk-4", last)
	for _, jobID := range []string{"wk-1", "wk-2", "wk-3"} {
		if j := d.table.Jobs[jobID]; j.Priority == urgent || j.DeadlineMs != 0 {
			t.Errorf("%s keeps priority %d and deadline %d", jobID, j.Priority, j.DeadlineMs)
		}
	}
}

// A job whose record can't be read is not taken for one that is done.
func TestUnreadableRecordKeepsDependentsWaiting(t *testing.T) {
	d := newDAG(t)
	if d.table.ApplyJob("wk-1", []byte{0x61}) == nil {
		t.Fatal("half a text was read")
	}
	d.put("wk-2", record("wk-2", nil, "wk-1"))
	d.want("", map[string]Phase{"wk-2": Waiting})
	if unfinished := d.table.Unfinished(d.table.Jobs["wk-2"]); len(unfinished) != 1 || unfinished[0] != "wk-1" {
		t.Fatalf("waits for %v", unfinished)
	}
}
