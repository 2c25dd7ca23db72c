package placement

import (
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

func TestTheTightestDeadlineThatCanBeKeptGoesFirst(t *testing.T) {
	due := func(s float64) func(*wire.JobSpec) {
		return func(w *wire.JobSpec) { w.DeadlineS, w.EstimateS = &s, 20 }
	}
	loose, tight, lost := job("wk-1", wire.KindArray, wire.PriorityNormal, 1, due(300)),
		job("wk-2", wire.KindArray, wire.PriorityNormal, 1, due(100)), job("wk-3", wire.KindArray, wire.PriorityNormal, 1, due(60))
	for i, want := range []string{"wk-2", "wk-1", "wk-3"} {
		left := []*jobs.Job{loose, tight, lost}
		switch i {
		case 1:
			left = []*jobs.Job{loose, lost}
		case 2:
			left = []*jobs.Job{lost}
		}
		in := input("a", []*Machine{machine("m", "a", "z", Batch, 1)}, left...)
		in.Now = time.UnixMilli(0).Add(55 * time.Second)
		if out := Schedule(in); len(out.Claims) != 1 || out.Claims[0].Job.ID != want {
			t.Fatalf("step %d: %+v", i, out.Claims)
		}
	}
}

// A team without a guarantee, and jobs that can't keep their deadline, come
// after all others until they have waited too long.
func TestAgeBreaksTiesAgainstAStreamOfBetterWork(t *testing.T) {
	run := func(aged bool) string {
		better := job("wk-1", wire.KindArray, wire.PriorityNormal, 1, nil)
		old := job("wk-2", wire.KindArray, wire.PriorityNormal, 1, func(w *wire.JobSpec) { w.Team = "y" })
		in := input("a", []*Machine{machine("m", "a", "z", Batch, 1)}, better, old)
		in.Teams["x"].Guarantee = quota.Amount{GPUs: 4}
		in.Teams["y"] = &quota.Allowance{}
		in.Demands[1].Starved = aged
		return Schedule(in).Claims[0].Job.ID
	}
	if run(false) != "wk-1" || run(true) != "wk-2" {
		t.Fatalf("first without age %s, with age %s", run(false), run(true))
	}
	urgent := job("wk-1", wire.KindArray, wire.PriorityUrgent, 1, nil)
	in := input("a", []*Machine{machine("m", "a", "z", Batch, 1)}, urgent, job("wk-2", wire.KindArray, wire.PriorityNormal, 1, nil))
	in.Demands[1].Starved = true
	if Schedule(in).Claims[0].Job.ID != "wk-1" {
		t.Fatal("age goes before rank")
	}
}
