package jobs

import (
	"fmt"
	"testing"
	"time"

	"wheatspur/wire"
)

// newTestTable returns a table with the open job wk-1 of team x, whose tasks take
// two GPUs each.
func newTestTable(t *testing.T, tasks int) *Table {
	t.Helper()
	table := NewTable(func() time.Time { return time.Unix(0, 0) })
	spec := &wire.JobSpec{ID: "wk-1", Team: "x", Kind: wire.KindArray, Tasks: tasks, GPUs: 2}
	applyJob(t, table, "wk-1", Record{Phase: Open, Tasks: tasks, TasksPerChunk: 4, Spec: spec})
	return table
}

func applyJob(t *testing.T, table *Table, jobID string, record Record) {
	t.Helper()
	if err := table.ApplyJob(jobID, wire.MustMarshal(record)); err != nil {
		t.Fatal(err)
	}
}

// applyChunk applies a chunk record of wk-1; no tasks means that it was deleted.
func applyChunk(t *testing.T, table *Table, chunk int, tasks ...Task) {
	t.Helper()
	var raw wire.Raw
	if tasks != nil {
		raw = wire.MustMarshal(ChunkRecord{Tasks: tasks})
	}
	if err := table.ApplyChunk(ChunkKey("wk-1", chunk), raw); err != nil {
		t.Fatal(err)
	}
}

func TestTableCountsTasksAndClaims(t *testing.T) {
	table := newTestTable(t, 6)
	job := table.Jobs["wk-1"]
	applyChunk(t, table, 1, Task{State: Claimed, Attempt: 1, Machine: "h"}, Task{State: Completed, Attempt: 1})
	if job.TaskCounts != [3]int{4, 1, 1} || table.ResourcesByTeam["x"].GPUs != 2 || len(table.ClaimsByMachine["h"]) != 1 {
		t.Fatalf("counts %v, team uses %v", job.TaskCounts, table.ResourcesByTeam["x"])
	}
	applyChunk(t, table, 1, Task{State: Completed, Attempt: 1}, Task{State: Completed, Attempt: 1})
	if table.ResourcesByTeam["x"].GPUs != 0 || len(table.ClaimsByMachine) != 0 || job.AllTasksCompleted() {
		t.Fatalf("team uses %v after the claim was released", table.ResourcesByTeam["x"])
	}
	completed := Task{State: Completed, Attempt: 1}
	applyChunk(t, table, 0, completed, completed, completed, completed)
	if !job.AllTasksCompleted() {
		t.Fatal("AllTasksCompleted is false although all tasks are completed")
	}
}

// Guards against claims that still count against the team after the job has ended: the final record
// has no spec, and the chunk record is deleted in the same write.
func TestClaimsAreReleasedWhenTheJobEndsInTheSameWrite(t *testing.T) {
	table := newTestTable(t, 1)
	applyChunk(t, table, 0, Task{State: Claimed, Attempt: 1, Machine: "h"})
	applyJob(t, table, "wk-1", Record{Phase: Done, Tasks: 1, TasksPerChunk: 4})
	applyChunk(t, table, 0)
	if table.ResourcesByTeam["x"].GPUs != 0 || len(table.ClaimsByMachine) != 0 || len(table.Open) != 0 {
		t.Fatalf("teams use %v, claims by machine %v", table.ResourcesByTeam, table.ClaimsByMachine)
	}
	if status := table.Jobs["wk-1"].Status(); status.State != wire.StateDone || status.Done != 1 {
		t.Fatalf("status %+v, want done with one task", status)
	}
}

// A repeated submission may be stored in another intake record, and a job's own record may be read
// before or after both. Every controller must end up with the same jobs.
func TestIntakeRecordsApplyTheSameInAnyOrder(t *testing.T) {
	job := func(tasks int, phase Phase) Record {
		return Record{Phase: phase, Tasks: tasks, TasksPerChunk: 4, Spec: &wire.JobSpec{Team: "x"}}
	}
	steps := []func(*Table) error{
		func(table *Table) error {
			return table.ApplyIntake("w/intake/a", wire.MustMarshal(IntakeRecord{Jobs: map[string]Record{"wk-1": job(1, Open), "wk-2": job(2, Open)}}), 5)
		},
		func(table *Table) error {
			return table.ApplyIntake("w/intake/b", wire.MustMarshal(IntakeRecord{Jobs: map[string]Record{"wk-2": job(3, Open)}}), 7)
		},
		func(table *Table) error { return table.ApplyJob("wk-1", wire.MustMarshal(job(1, Cancelled))) },
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		t.Run(fmt.Sprint(order), func(t *testing.T) {
			table := NewTable(time.Now)
			for _, i := range order {
				if err := steps[i](table); err != nil {
					t.Fatal(err)
				}
			}
			if phase := table.Jobs["wk-1"].Record.Phase; phase != Cancelled || table.Open["wk-1"] != nil {
				t.Errorf("wk-1 is in phase %s, want cancelled", phase)
			}
			if j := table.Jobs["wk-2"]; j.Record.Tasks != 2 || j.TaskCounts[Pending] != 2 {
				t.Errorf("wk-2 has %d tasks, %d pending; want those of the older intake record", j.Record.Tasks, j.TaskCounts[Pending])
			}
			if table.AllIntakeJobsFinal("w/intake/a") {
				t.Error("AllIntakeJobsFinal is true although a job is open")
			}
			applyJob(t, table, "wk-2", job(2, Done))
			if !table.AllIntakeJobsFinal("w/intake/a") {
				t.Error("AllIntakeJobsFinal is false although all jobs are final")
			}
		})
	}
}
