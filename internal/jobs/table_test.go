package jobs

import (
	"testing"
	"time"

	"wheatspur/wire"
)

func table(t *testing.T, tasks int) (*Table, *wire.JobSpec) {
	t.Helper()
	tab := NewTable(func() time.Time { return time.Unix(0, 0) })
	w := &wire.JobSpec{ID: "wk-1", Team: "x", Kind: wire.KindArray, Tasks: tasks, GPUs: 2}
	if err := tab.ApplyJob("wk-1", wire.MustMarshal(Record{Phase: Open, Tasks: tasks, ChunkSize: 4, Spec: w})); err != nil {
		t.Fatal(err)
	}
	return tab, w
}

func chunk(t *testing.T, tab *Table, n int, tasks ...Task) {
	t.Helper()
	var raw wire.Raw
	if tasks != nil {
		raw = wire.MustMarshal(ChunkRecord{Tasks: tasks})
	}
	if err := tab.ApplyChunk(ChunkKey("wk-1", n), raw); err != nil {
		t.Fatal(err)
	}
}

func TestTableKeepsCountsAndQuota(t *testing.T) {
	tab, _ := table(t, 6)
	j := tab.Jobs["wk-1"]
	chunk(t, tab, 1, Task{State: Claimed, Attempt: 1, Machine: "h"}, Task{State: Completed, Attempt: 1})
	if j.Counts != [3]int{4, 1, 1} || tab.ResourcesByTeam["x"].GPUs != 2 || len(tab.ClaimsByMachine["h"]) != 1 {
		t.Fatalf("counts %v used %v", j.Counts, tab.ResourcesByTeam["x"])
	}
	chunk(t, tab, 1, Task{State: Completed, Attempt: 1}, Task{State: Completed, Attempt: 1})
	if tab.ResourcesByTeam["x"].GPUs != 0 || len(tab.ClaimsByMachine) != 0 || j.AllDone() {
		t.Fatalf("used %v after the release", tab.ResourcesByTeam["x"])
	}
	done := Task{State: Completed, Attempt: 1}
	chunk(t, tab, 0, done, done, done, done)
	if !j.AllDone() {
		t.Fatal("all tasks are done")
	}
}

// The final record carries no description any more, and the chunk goes in the
// same write: the quota must still be given back to the job's own team.
func TestQuotaIsGivenBackWhenTheJobEndsInTheSameWrite(t *testing.T) {
	tab, _ := table(t, 1)
	chunk(t, tab, 0, Task{State: Claimed, Attempt: 1, Machine: "h"})
	if err := tab.ApplyJob("wk-1", wire.MustMarshal(Record{Phase: Done, Tasks: 1, ChunkSize: 4})); err != nil {
		t.Fatal(err)
	}
	chunk(t, tab, 0)
	if tab.ResourcesByTeam["x"].GPUs != 0 || len(tab.ClaimsByMachine) != 0 || len(tab.Open) != 0 {
		t.Fatalf("used %v hosts %v", tab.ResourcesByTeam, tab.ClaimsByMachine)
	}
	if st := tab.Jobs["wk-1"].Status(); st.State != wire.StateDone || st.Done != 1 {
		t.Fatalf("%+v", st)
	}
}

// A user's repeat may end up in another intake record; a job's own record may
// be read before or after both. The outcome is the same for every node.
func TestIntakeRecordsCountTheSameInAnyOrder(t *testing.T) {
	rec := func(tasks int, p Phase) Record {
		return Record{Phase: p, Tasks: tasks, ChunkSize: 4, Spec: &wire.JobSpec{Team: "x"}}
	}
	steps := []func(*Table) error{
		func(t *Table) error {
			return t.ApplyIntake("w/intake/a", wire.MustMarshal(IntakeRecord{Jobs: map[string]Record{"wk-1": rec(1, Open), "wk-2": rec(2, Open)}}), 5)
		},
		func(t *Table) error {
			return t.ApplyIntake("w/intake/b", wire.MustMarshal(IntakeRecord{Jobs: map[string]Record{"wk-2": rec(3, Open)}}), 7)
		},
		func(t *Table) error { return t.ApplyJob("wk-1", wire.MustMarshal(rec(1, Cancelled))) },
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		tab := NewTable(time.Now)
		for _, i := range order {
			if err := steps[i](tab); err != nil {
				t.Fatal(err)
			}
		}
		if p := tab.Jobs["wk-1"].Record.Phase; p != Cancelled || tab.Open["wk-1"] != nil {
			t.Errorf("order %v: the cancelled job is %s", order, p)
		}
		if j := tab.Jobs["wk-2"]; j.Record.Tasks != 2 || j.Counts[Pending] != 2 {
			t.Errorf("order %v: %d tasks, %d pending: not those accepted first", order, j.Record.Tasks, j.Counts[Pending])
		}
		if tab.IntakeFinished("w/intake/a") {
			t.Errorf("order %v: over though a job of it is open", order)
		}
		if err := tab.ApplyJob("wk-2", wire.MustMarshal(rec(2, Done))); err != nil || !tab.IntakeFinished("w/intake/a") {
			t.Errorf("order %v: not over though all is (%v)", order, err)
		}
	}
}
