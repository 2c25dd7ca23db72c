package placement

import (
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

func TestEarliestAttainableDeadlineIsPlacedFirst(t *testing.T) {
	due := func(seconds float64) func(*wire.JobSpec) {
		return func(spec *wire.JobSpec) { spec.DeadlineS, spec.EstimateS = &seconds, 20 }
	}
	loose, tight, missed := newArray("wk-1", 1, due(300)), newArray("wk-2", 1, due(100)), newArray("wk-3", 1, due(60))
	for _, c := range []struct {
		name string
		open []*jobs.Job
		want string
	}{
		{"all three jobs are open", []*jobs.Job{loose, tight, missed}, "wk-2"},
		{"the job with the tight deadline is done", []*jobs.Job{loose, missed}, "wk-1"},
		{"only the missed deadline is left", []*jobs.Job{missed}, "wk-3"},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := newInput("a", []*Machine{newMachine("m", "a", "z", Batch, 1)}, c.open...)
			in.Now = time.UnixMilli(0).Add(55 * time.Second)
			if out := Schedule(in); len(out.Claims) != 1 || out.Claims[0].Job.ID != c.want {
				t.Fatalf("claims %+v, want one of %s", out.Claims, c.want)
			}
		})
	}
}

// Jobs of a team without a guarantee, and jobs that can't meet their deadline, are placed
// after all others until they are starved. Starvation takes precedence over a guarantee,
// but not over priority.
func TestStarvedJobIsPlacedFirstWithinItsPriority(t *testing.T) {
	for _, c := range []struct {
		name    string
		starved bool
		want    string
	}{
		{"not starved, the other has a guarantee", false, "wk-1"},
		{"starved, the other has a guarantee", true, "wk-2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			guaranteed := newArray("wk-1", 1, nil)
			starving := newArray("wk-2", 1, func(spec *wire.JobSpec) { spec.Team = "y" })
			in := newInput("a", []*Machine{newMachine("m", "a", "z", Batch, 1)}, guaranteed, starving)
			in.Allowances["x"].Guarantee = quota.Amount{GPUs: 4}
			in.Allowances["y"] = &quota.Allowance{}
			in.Demands[1].Starved = c.starved
			if got := Schedule(in).Claims[0].Job.ID; got != c.want {
				t.Fatalf("%s is placed first, want %s", got, c.want)
			}
		})
	}
	t.Run("starved, the other has a higher priority", func(t *testing.T) {
		urgent := newJob("wk-1", wire.KindArray, wire.PriorityUrgent, 1, nil)
		in := newInput("a", []*Machine{newMachine("m", "a", "z", Batch, 1)}, urgent, newArray("wk-2", 1, nil))
		in.Demands[1].Starved = true
		if Schedule(in).Claims[0].Job.ID != "wk-1" {
			t.Fatal("a starved demand is placed before one of a higher priority")
		}
	})
}
