package placement

import (
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

func TestTeamLimitCountsClaimsOfThePassToo(t *testing.T) {
	in := input("a", []*Machine{machine("m", "a", "z", Batch, 8)},
		job("wk-1", wire.KindArray, wire.PriorityNormal, 3, nil), job("wk-2", wire.KindArray, wire.PriorityNormal, 3, nil))
	in.Teams["x"].Limit, in.Teams["x"].Used = quota.Amount{GPUs: 5}, quota.Amount{GPUs: 1}
	if n := len(Schedule(in).Claims); n != 4 {
		t.Fatalf("%d claims beside one of five", n)
	}
}

func TestGangsArePlacedWholeOrNotAtAll(t *testing.T) {
	ms := []*Machine{machine("m", "a", "z", Batch, 2)}
	if n := len(Schedule(input("L", ms, job("wk-1", wire.KindGang, wire.PriorityNormal, 3, nil))).Claims); n != 0 {
		t.Fatalf("%d of 3 tasks of a gang placed", n)
	}
	if n := len(Schedule(input("a", ms, job("wk-1", wire.KindGang, wire.PriorityNormal, 2, nil))).Claims); n != 2 {
		t.Fatalf("%d of 2 tasks of a gang placed", n)
	}
}

// A stream of small tasks takes room as it comes free; a task that needs a
// whole machine once waited for ever.
func TestAnAgedLargeTaskHasAMachineHeldForIt(t *testing.T) {
	large := job("wk-9", wire.KindArray, wire.PriorityNormal, 1, func(w *wire.JobSpec) { w.CPUs, w.GPUs, w.RAMGB = 8, 4, 64 })
	ms := func() []*Machine {
		a, b := machine("a", "a", "z", Batch, 4), machine("b", "a", "z", Batch, 4)
		a.Free, b.Free = jobs.Resources{CPUs: 6, GPUs: 2, RAM: 40}, jobs.Resources{CPUs: 1, GPUs: 1, RAM: 8}
		return []*Machine{a, b}
	}
	run := func(aged bool) map[string]int {
		small := job("wk-1", wire.KindArray, wire.PriorityNormal, 8, nil)
		in := input("L", ms(), small, large)
		in.Leader = "L"
		in.Demands[1].Starved = aged
		hosts := map[string]int{}
		for _, c := range Schedule(in).Claims {
			hosts[c.Machine]++
		}
		return hosts
	}
	if got := run(false); got["a"] != 2 || got["b"] != 1 {
		t.Fatalf("small tasks get %v", got)
	}
	if got := run(true); got["a"] != 0 || got["b"] != 1 {
		t.Fatalf("small tasks get %v beside an aged large one", got)
	}
}

func TestAPassPlacesABoundedNumberOfJobs(t *testing.T) {
	var list []*jobs.Job
	for i := range 9 {
		list = append(list, job("wk-"+string(rune('1'+i)), wire.KindArray, wire.PriorityNormal, 1, nil))
	}
	in := input("a", []*Machine{machine("m", "a", "z", Batch, 8)}, list...)
	in.MaxJobs = 3
	out := Schedule(in)
	if len(out.Claims) != 3 || len(out.Unplaced) != 6 || out.Reasons["wk-9"] != ReasonNoTurn {
		t.Fatalf("%d claims, waiting %v", len(out.Claims), out.Reasons)
	}
}

func TestTasksBeyondTheTeamsLimitWantNoMachine(t *testing.T) {
	in := input("a", []*Machine{machine("m", "a", "z", Batch, 8)}, job("wk-1", wire.KindArray, wire.PriorityNormal, 5, nil))
	in.Teams["x"].Limit = quota.Amount{GPUs: 3}
	if out := Schedule(in); len(out.Claims) != 3 || out.Reasons["wk-1"] != ReasonNoQuota {
		t.Fatalf("%d claims, waits because %s", len(out.Claims), out.Reasons["wk-1"])
	}
}
