package placement

import (
	"maps"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

func TestPlacementStaysWithinTheRole(t *testing.T) {
	ms := func() []*Machine {
		spot := machine("spot", "a", "z", Batch, 4)
		spot.Spot = true
		return []*Machine{machine("b", "a", "z", Batch, 4), machine("s", "a", "z", Service, 4), spot}
	}
	out := Schedule(input("a", ms(), job("wk-1", wire.KindService, wire.PriorityCritical, 6, nil)))
	if len(out.Claims) != 0 || out.Unplaced["wk-1"] != 2 {
		t.Fatalf("six replicas on four service cards, by the leader: claims %d unmet %d", len(out.Claims), out.Unplaced["wk-1"])
	}
	out = Schedule(input("L", ms(), job("wk-1", wire.KindService, wire.PriorityCritical, 6, nil)))
	if len(out.Claims) != 4 {
		t.Fatalf("the leader claims %d", len(out.Claims))
	}
	for _, c := range out.Claims {
		if c.Machine != "s" {
			t.Fatalf("a service was placed on %s", c.Machine)
		}
	}
	noSpot := job("wk-2", wire.KindArray, wire.PriorityNormal, 4, func(w *wire.JobSpec) { w.Spot = false })
	for _, c := range Schedule(input("a", ms(), noSpot)).Claims {
		if c.Machine != "b" {
			t.Fatalf("a job that may not use spot machines was placed on %s", c.Machine)
		}
	}
}

func TestAJobGoesToTheFirstNodeThatHoldsItAndElseToTheLeader(t *testing.T) {
	ms := func() []*Machine {
		return []*Machine{machine("m1", "a", "z", Batch, 2), machine("m2", "b", "z", Batch, 4)}
	}
	j := func(n int) *jobs.Job { return job("wk-1", wire.KindArray, wire.PriorityNormal, n, nil) }
	for _, c := range []struct {
		me    string
		tasks int
		want  int
	}{{"a", 2, 2}, {"b", 2, 0}, {"a", 4, 0}, {"b", 4, 4}, {"a", 6, 0}, {"b", 6, 0}, {"L", 6, 6}} {
		if got := len(Schedule(input(c.me, ms(), j(c.tasks))).Claims); got != c.want {
			t.Errorf("%s claims %d of %d tasks, want %d", c.me, got, c.tasks, c.want)
		}
	}
}

func TestANodeWhoseMachinesHoldTheImageGoesFirst(t *testing.T) {
	m1, m2 := machine("m1", "a", "z", Batch, 2), machine("m2", "b", "z", Batch, 4)
	m2.Images = []string{"img"}
	if n := len(Schedule(input("b", []*Machine{m1, m2}, job("wk-1", wire.KindArray, wire.PriorityNormal, 2, nil))).Claims); n != 2 {
		t.Fatalf("the node with the image claims %d of 2", n)
	}
}

func TestLeastFreeRoomAndHeldImages(t *testing.T) {
	big, small := machine("big", "a", "z", Batch, 8), machine("small", "a", "z", Batch, 8)
	small.Free = jobs.Resources{CPUs: 2, GPUs: 2, RAM: 8}
	out := Schedule(input("a", []*Machine{big, small}, job("wk-1", wire.KindArray, wire.PriorityNormal, 1, nil)))
	if out.Claims[0].Machine != "small" || out.Claims[0].Incarnation != 3 {
		t.Fatalf("placed as %+v", out.Claims[0])
	}
	small.Free = jobs.Resources{CPUs: 2, GPUs: 2, RAM: 8}
	big.Images = []string{"img"}
	out = Schedule(input("a", []*Machine{big, small}, job("wk-1", wire.KindArray, wire.PriorityNormal, 1, nil)))
	if out.Claims[0].Machine != "big" {
		t.Fatal("the machine that holds the image was passed over")
	}
}

func TestConstraintsCountAllLiveClaims(t *testing.T) {
	ms := func() []*Machine {
		return []*Machine{machine("m1", "L", "z1", Batch, 8), machine("m2", "L", "z2", Batch, 2)}
	}
	apart := job("wk-1", wire.KindArray, wire.PriorityNormal, 5, func(w *wire.JobSpec) { w.SpreadZones = true })
	apart.Chunks[0] = []jobs.Task{{State: jobs.Claimed, Machine: "m1", Incarnation: 3}, {}, {}, {}, {}}
	apart.Claims[0] = apart.Chunks[0][0]
	zones := map[string]int{}
	for _, c := range Schedule(input("L", ms(), apart)).Claims {
		zones[c.Machine]++
	}
	if zones["m1"] != 2 || zones["m2"] != 2 {
		t.Fatalf("apart: %v beside one live on m1, the cap is 3", zones)
	}
	together := job("wk-2", wire.KindArray, wire.PriorityNormal, 4, func(w *wire.JobSpec) { w.SameZone = true })
	together.Chunks[0] = []jobs.Task{{State: jobs.Claimed, Machine: "m2", Incarnation: 3}, {}, {}, {}}
	together.Claims[0] = together.Chunks[0][0]
	for _, c := range Schedule(input("L", ms(), together)).Claims {
		if c.Machine != "m2" {
			t.Fatalf("together with a task in z2 but placed on %s", c.Machine)
		}
	}
	// A live claim on a machine that is not known: its zone is not known either.
	together.Claims[0] = jobs.Task{State: jobs.Claimed, Machine: "gone"}
	if out := Schedule(input("L", ms(), together)); len(out.Claims) != 0 {
		t.Fatal("placed beside a task in an unknown zone")
	}
}

// A job for which no owner has room enough takes as few owners as it can.
func TestALargeJobIsSpreadOverFewOwners(t *testing.T) {
	ms := []*Machine{machine("m1", "a", "z", Batch, 1), machine("m2", "b", "z", Batch, 4), machine("m3", "L", "z", Batch, 3)}
	hosts := map[string]int{}
	for _, c := range Schedule(input("L", ms, job("wk-1", wire.KindArray, wire.PriorityNormal, 7, nil))).Claims {
		hosts[c.Machine]++
	}
	if hosts["m1"] != 0 || hosts["m2"] != 4 || hosts["m3"] != 3 {
		t.Fatalf("placed on %v", hosts)
	}
}

// A machine's reports name all its tasks in a message of bounded size.
func TestAMachineTakesNoMoreTasksThanItsReportsCanName(t *testing.T) {
	tiny := job("wk-1", wire.KindArray, wire.PriorityNormal, 2*tuning.TasksPerMachine, func(w *wire.JobSpec) { w.CPUs, w.GPUs, w.RAMGB = 0.001, 0, 0.001 })
	in := input("a", []*Machine{machine("m", "a", "z", Batch, 4)}, tiny)
	in.Leader = "a"
	if n := len(Schedule(in).Claims); n != tuning.TasksPerMachine {
		t.Fatalf("%d tiny tasks on one machine", n)
	}
}

// Jobs that are bound to one zone, by name or by their other tasks, lose
// machines: what is lost waits for room in that zone and for no other, and is
// placed as soon as there is some; once nothing of a job is left, any zone does.
func TestJobsBoundToAZoneThatLoseMachines(t *testing.T) {
	z1 := "z1"
	bound := func(edit func(*wire.JobSpec), live ...string) *jobs.Job {
		j := job("wk-1", wire.KindArray, wire.PriorityNormal, 4, edit)
		j.Chunks[0] = make([]jobs.Task, 4)
		for i, host := range live {
			j.Chunks[0][i] = jobs.Task{State: jobs.Claimed, Machine: host, Incarnation: 3}
			j.Claims[i] = j.Chunks[0][i]
		}
		return j
	}
	named := func(w *wire.JobSpec) { w.Zone = &z1 }
	together := func(w *wire.JobSpec) { w.SameZone = true }
	for _, c := range []struct {
		name string
		job  *jobs.Job
		z1   float64 // room there
		want map[string]int
	}{
		{"named, no room there", bound(named, "m0"), 0, map[string]int{}},
		{"named, room for two", bound(named, "m0"), 2, map[string]int{"m1": 2}},
		{"together with what is left, no room there", bound(together, "m0"), 0, map[string]int{}},
		{"together with what is left, room for two", bound(together, "m0", "m0"), 2, map[string]int{"m1": 2}},
		{"together, nothing is left", bound(together), 0, map[string]int{"m2": 4}},
		{"together, its machine is not proven gone", bound(together, "lost"), 8, map[string]int{}},
	} {
		m0, m1, m2 := machine("m0", "L", "z1", Batch, 0), machine("m1", "L", "z1", Batch, c.z1), machine("m2", "L", "z2", Batch, 8)
		got := map[string]int{}
		for _, cl := range Schedule(input("L", []*Machine{m0, m1, m2}, c.job)).Claims {
			got[cl.Machine]++
		}
		if !maps.Equal(got, c.want) {
			t.Errorf("%s: placed on %v, want %v", c.name, got, c.want)
		}
	}
}
