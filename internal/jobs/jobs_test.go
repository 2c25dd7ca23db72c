package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"wheatspur/wire"
)

func TestTaskAndJobMachines(t *testing.T) {
	task := Task{}
	var err error
	for _, s := range []struct {
		e    TaskEvent
		want State
		try  uint64
	}{
		{TaskEvent{Kind: Claim, Machine: "h", Incarnation: 2}, Claimed, 1},
		{TaskEvent{Kind: Fail}, Pending, 1},
		{TaskEvent{Kind: Claim, Machine: "h", Incarnation: 2}, Claimed, 2},
		{TaskEvent{Kind: Release}, Pending, 2},
		{TaskEvent{Kind: Claim, Machine: "h", Incarnation: 2}, Claimed, 3},
		{TaskEvent{Kind: Complete}, Completed, 3},
	} {
		if task, err = task.Next(s.e); err != nil || task.State != s.want || task.Attempt != s.try {
			t.Fatalf("after %s: %+v %v", s.e.Kind, task, err)
		}
	}
	for _, k := range []TaskEventKind{Claim, Release, Fail, Complete} {
		if _, err := task.Next(TaskEvent{Kind: k}); err == nil {
			t.Errorf("%s of a completed task", k)
		}
	}
	if _, err := (Task{}).Next(TaskEvent{Kind: Complete}); err == nil {
		t.Error("a task that was never claimed completed")
	}
	for _, p := range []Phase{Done, Cancelled} {
		for _, e := range []JobEvent{JobCompleted, JobCancel} {
			if next, err := p.Next(e); err == nil || next != p {
				t.Errorf("%s: %s gave %s", p, e, next)
			}
		}
	}
}

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

func TestChunkRecordsStayBelowTheValueLimit(t *testing.T) {
	size := func(c ChunkRecord) int {
		var list []any
		for _, k := range c.Tasks {
			list = append(list, []any{k.State, k.Attempt, k.Machine, k.Incarnation, k.Failures})
		}
		b, err := json.Marshal(map[string]any{"t": list})
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	full := func(n int, k Task) (c ChunkRecord) {
		for range n {
			c.Tasks = append(c.Tasks, k)
		}
		return c
	}
	for _, kb := range []float64{1, 2, 4, 16} {
		c := full(ChunkSize(kb), Task{State: Claimed, Attempt: 99, Machine: "host-000231", Incarnation: 99, Failures: 9})
		if n := c.Bytes(); float64(n) > kb*1024 || size(c) > n {
			t.Errorf("%g KiB: %d tasks take %d bytes, by our count %d", kb, len(c.Tasks), size(c), n)
		}
	}
	// With longer names a claim too many is left out: its bound is what the
	// record grows by.
	for _, k := range []Task{{}, {Attempt: 9}, {Attempt: 99999, Failures: 20}} {
		was := full(3, k)
		e := TaskEvent{Kind: Claim, Machine: "a-machine-with-a-long-name", Incarnation: 12345}
		is := full(3, k)
		is.Tasks[1], _ = k.Next(e)
		if grown := is.Bytes() - was.Bytes(); grown > ClaimBytes(e) || size(is) > is.Bytes() {
			t.Errorf("%+v: grows by %d, bound %d", k, grown, ClaimBytes(e))
		}
	}
}

func TestWhatCanNeverRunIsRefused(t *testing.T) {
	types := []wire.MachineType{{Label: "g", CPUs: 8, GPUs: 4, RAMGB: 64, Zones: []string{"z"}}}
	zone := "elsewhere"
	for name, c := range map[string]struct {
		edit  func(*wire.JobSpec)
		known bool
		ok    bool
	}{
		"fits":            {func(w *wire.JobSpec) {}, true, true},
		"unknown team":    {func(w *wire.JobSpec) {}, false, false},
		"too large":       {func(w *wire.JobSpec) { w.CPUs = 9 }, true, false},
		"other type":      {func(w *wire.JobSpec) { w.MachineTypes = []string{"h"} }, true, false},
		"other zone":      {func(w *wire.JobSpec) { w.Zone = &zone }, true, false},
		"task over limit": {func(w *wire.JobSpec) { w.GPUs = 4 }, true, false},
		"array at limit":  {func(w *wire.JobSpec) { w.Tasks = 1000 }, true, true},
		"service over":    {func(w *wire.JobSpec) { w.Kind, w.Tasks = wire.KindService, 4 }, true, false},
		"gang too large":  {func(w *wire.JobSpec) { w.Kind, w.Tasks, w.GPUs = wire.KindGang, 99, 0 }, true, false},
	} {
		w := &wire.JobSpec{Kind: wire.KindArray, Tasks: 2, CPUs: 1, GPUs: 1, RAMGB: 1}
		c.edit(w)
		err := Validate(w, TeamLimits{GPUsMax: 3}, c.known, types, 64)
		var r ValidationError
		if (err == nil) != c.ok || err != nil && !errors.As(err, &r) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestShardNames(t *testing.T) {
	for i := range 3 {
		jobID, n, ok := ParseTaskName(TaskName("wk-7", i))
		if jobID != "wk-7" || n != i || !ok {
			t.Fatal(jobID, n, ok)
		}
	}
	for _, s := range []string{"", "wk-7", "wk-7/", "wk-7/-1", "wk-7/x"} {
		if _, _, ok := ParseTaskName(s); ok {
			t.Errorf("%q was read", s)
		}
	}
	if jobID, c, ok := ParseChunkKey(ChunkKey("wk-7", 12)); jobID != "wk-7" || c != 12 || !ok {
		t.Fatal(fmt.Sprint(jobID, c, ok))
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
