package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

func job(jobID, kind, priority string, tasks int, edit func(*wire.JobSpec)) *jobs.Job {
	w := &wire.JobSpec{ID: jobID, Team: "x", Kind: kind, Priority: priority, Tasks: tasks, CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 5, Spot: true}
	if edit != nil {
		edit(w)
	}
	j := &jobs.Job{ID: jobID, Record: jobs.Record{Phase: jobs.Open, Tasks: tasks, ChunkSize: 64, Spec: w}, Phase: jobs.Open,
		Priority: jobs.PriorityOrder(priority), Need: jobs.ResourcesPerTask(w), Team: w.Team, Chunks: map[int][]jobs.Task{}, Claims: map[int]jobs.Task{}}
	if w.DeadlineS != nil {
		j.DeadlineMs = int64(*w.DeadlineS * 1000)
	}
	return j
}

func machine(name, owner, zone string, role Role, gpus float64) *Machine {
	tot := jobs.Resources{CPUs: 8, GPUs: gpus, RAM: 64}
	return &Machine{Name: name, Owner: owner, Zone: zone, Type: "g", Role: role, Schedulable: true, Incarnation: 3, Total: tot, Free: tot}
}

func demand(j *jobs.Job) *Demand {
	d := &Demand{Job: j, Avoid: map[string]bool{}}
	for i := range j.Record.Tasks {
		if j.Task(i).State == jobs.Pending {
			d.Tasks = append(d.Tasks, i)
		}
	}
	return d
}

func input(me string, machines []*Machine, js ...*jobs.Job) Input {
	in := Input{Self: me, Leader: "L", RankNodes: func(string) []string { return []string{"a", "b", "L"} }, Fleet: NewFleet(machines),
		Teams: map[string]*quota.Allowance{"x": {}}, MaxJobs: 100}
	in.Fleet.Refresh()
	for _, j := range js {
		in.Demands = append(in.Demands, demand(j))
	}
	return in
}

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

func TestPreemptionFollowsTheProtocol(t *testing.T) {
	low := job("wk-9", wire.KindArray, wire.PriorityNormal, 1, func(w *wire.JobSpec) { w.Team = "y" })
	full := func() *Machine {
		m := machine("m", "a", "z", Batch, 1)
		m.Free = jobs.Resources{}
		m.Tasks = []ClaimedTask{{ID: jobs.TaskID{Job: "wk-9"}, Job: low}}
		return m
	}
	run := func(priority string, pressed, borrowed bool) int {
		in := input("a", []*Machine{full()}, job("wk-1", wire.KindArray, priority, 1, nil))
		in.Demands[0].MayReclaim = pressed
		in.Teams["x"].Guarantee = quota.Amount{GPUs: 4}
		in.Teams["y"] = &quota.Allowance{Used: quota.Amount{GPUs: 1}, Guarantee: quota.Amount{GPUs: 1}}
		if borrowed {
			in.Teams["y"].Used.GPUs = 2
		}
		return len(Schedule(in).Preemptions)
	}
	for _, c := range []struct {
		rank              string
		pressed, borrowed bool
		want              int
	}{
		{wire.PriorityUrgent, false, false, 1}, // higher priority
		{wire.PriorityNormal, true, false, 0},  // same priority within the other's guarantee
		{wire.PriorityNormal, false, true, 0},  // the cloud may still bring room
		{wire.PriorityNormal, true, true, 1},   // borrowed work for a guarantee
	} {
		if got := run(c.rank, c.pressed, c.borrowed); got != c.want {
			t.Errorf("%+v: %d stopped", c, got)
		}
	}
	m := full()
	m.Freeing = jobs.Resources{CPUs: 1, GPUs: 1, RAM: 1}
	m.Tasks[0].Stopping = true
	if out := Schedule(input("a", []*Machine{m}, job("wk-1", wire.KindArray, wire.PriorityUrgent, 1, nil))); len(out.Preemptions) != 0 {
		t.Error("a task was stopped for room that is being freed")
	}
}

func TestNothingIsStoppedForRoomInAForbiddenZone(t *testing.T) {
	low := job("wk-9", wire.KindArray, wire.PriorityLow, 1, nil)
	m := machine("m", "a", "z1", Batch, 1)
	m.Free = jobs.Resources{}
	m.Tasks = []ClaimedTask{{ID: jobs.TaskID{Job: "wk-9"}, Job: low}}
	j := job("wk-1", wire.KindArray, wire.PriorityUrgent, 2, func(w *wire.JobSpec) { w.SpreadZones = true })
	j.Chunks[0] = []jobs.Task{{State: jobs.Claimed, Machine: "m", Incarnation: 3}, {}}
	j.Claims[0] = j.Chunks[0][0]
	if out := Schedule(input("a", []*Machine{m}, j)); len(out.Preemptions) != 0 {
		t.Fatal("a task was stopped in the zone that the job's other task holds")
	}
}

func TestAServiceIsNeverStoppedForAGuarantee(t *testing.T) {
	svc := job("wk-9", wire.KindService, wire.PriorityCritical, 1, func(w *wire.JobSpec) { w.Team = "y" })
	m := machine("m", "a", "z", Service, 1)
	m.Free = jobs.Resources{}
	m.Tasks = []ClaimedTask{{ID: jobs.TaskID{Job: "wk-9"}, Job: svc}}
	in := input("a", []*Machine{m}, job("wk-1", wire.KindService, wire.PriorityCritical, 1, nil))
	in.Demands[0].MayReclaim = true
	in.Teams["x"].Guarantee = quota.Amount{GPUs: 4}
	in.Teams["y"] = &quota.Allowance{Used: quota.Amount{GPUs: 2}, Guarantee: quota.Amount{GPUs: 1}}
	if out := Schedule(in); len(out.Preemptions) != 0 {
		t.Fatal("a running service was stopped for one of the same rank")
	}
}

func TestRoomFreedForAGuaranteeIsNotTakenBack(t *testing.T) {
	mine := job("wk-1", wire.KindArray, wire.PriorityNormal, 2, nil)
	theirs := job("wk-2", wire.KindArray, wire.PriorityNormal, 1, func(w *wire.JobSpec) { w.Team, w.CPUs = "y", 0.5 })
	m := machine("m", "a", "z", Batch, 1)
	m.Free = jobs.Resources{CPUs: 0.5, GPUs: 1, RAM: 64} // too small for mine, freed for it
	in := input("a", []*Machine{m}, mine, theirs)
	in.Demands[0].MayReclaim = true
	in.Teams["x"].Guarantee = quota.Amount{GPUs: 4}
	in.Teams["y"] = &quota.Allowance{Used: quota.Amount{GPUs: 2}, Guarantee: quota.Amount{GPUs: 1}}
	if out := Schedule(in); len(out.Claims) != 0 {
		t.Fatal("borrowed work took the room that a guarantee waits for")
	}
}

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

// Of two jobs within their guarantees the one that others were stopped for
// takes the room; the other once did, and more were stopped.
func TestPressedWorkTakesTheRoomThatWasFreedForIt(t *testing.T) {
	a, b := job("wk-1", wire.KindArray, wire.PriorityNormal, 1, nil), job("wk-2", wire.KindArray, wire.PriorityNormal, 1, nil)
	in := input("a", []*Machine{machine("m", "a", "z", Batch, 1)}, a, b)
	in.Teams["x"].Guarantee = quota.Amount{GPUs: 4}
	in.Demands[1].MayReclaim = true
	if out := Schedule(in); len(out.Claims) != 1 || out.Claims[0].Job != b {
		t.Fatalf("%+v", out.Claims)
	}
	low := job("wk-9", wire.KindArray, wire.PriorityLow, 1, nil)
	m := machine("m", "a", "z", Batch, 1)
	m.Free, m.Tasks = jobs.Resources{}, []ClaimedTask{{ID: jobs.TaskID{Job: "wk-9"}, Job: low}}
	in = input("a", []*Machine{m}, job("wk-1", wire.KindArray, wire.PriorityUrgent, 1, nil))
	in.Demands[0].PreemptedFor = true
	if out := Schedule(in); len(out.Preemptions) != 0 {
		t.Fatal("more was stopped for a job before the first stop could help it")
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

// Borrowed tasks that were stopped for a guarantee wait again, and their job is
// older than what they were stopped for: it does not take the room back. Guards
// against a livelock in which a team never got its guarantee.
func TestWhatIsStoppedForAGuaranteeDoesNotTakeTheRoomBack(t *testing.T) {
	borrowed := job("wk-1", wire.KindArray, wire.PriorityNormal, 4, nil)
	waiting := job("wk-2", wire.KindArray, wire.PriorityNormal, 4, nil)
	in := input("a", []*Machine{machine("m", "a", "z", Batch, 4)}, borrowed, waiting)
	borrowed.ReadyAtMs, waiting.ReadyAtMs = 1000, 2000
	waiting.Team, waiting.Record.Spec.Team = "y", "y"
	in.Teams["y"] = &quota.Allowance{Guarantee: quota.Amount{GPUs: 4}}
	for _, d := range in.Demands {
		d.Starved, d.MayReclaim = true, true
	}
	out := Schedule(in)
	for _, c := range out.Claims {
		if c.Job.ID != "wk-2" {
			t.Fatalf("%s takes the room that was freed for a guarantee", c.Job.ID)
		}
	}
	if len(out.Claims) != 4 {
		t.Fatalf("%d claims", len(out.Claims))
	}
}

// On its own machines a node stops what loses the least: what has not begun, what
// can save, then what has run the shortest; never a lower rank after a higher, and
// no more tasks than are needed. Other nodes' machines go by age alone.
func TestWhatLosesTheLeastIsStoppedFirst(t *testing.T) {
	now := time.Unix(10_000, 0)
	for _, owner := range []string{"a", "b"} {
		m := machine("m", owner, "z", Batch, 4)
		m.Free = jobs.Resources{}
		began := []time.Duration{50 * time.Second, 300 * time.Second, 0, 400 * time.Second}
		for i, ran := range began {
			j := job(fmt.Sprintf("wk-%d", 10+i), wire.KindArray, wire.PriorityNormal, 1, nil)
			j.ReadyAtMs = int64(1000 * (i + 1))
			if i == 1 {
				j.Record.Spec.CheckpointIntervalS, j.Record.Spec.CheckpointWriteS = 30, 4
			}
			r := ClaimedTask{ID: jobs.TaskID{Job: j.ID}, Job: j}
			if ran > 0 {
				r.RunningSince = now.Add(-ran)
			}
			m.Tasks = append(m.Tasks, r)
		}
		m.Snapshot()
		waiting := job("wk-1", wire.KindArray, wire.PriorityUrgent, 3, nil)
		in := input("a", []*Machine{m}, waiting)
		in.Now, in.MinimizeLoss = now, true
		in.Teams["x"] = &quota.Allowance{}
		var stopped []string
		for _, e := range Schedule(in).Preemptions {
			stopped = append(stopped, e.ID.Job)
		}
		want := []string{"wk-12", "wk-11", "wk-10"}
		if owner == "b" {
			want = nil // its owner stops them
		}
		if !slices.Equal(stopped, want) {
			t.Errorf("on a machine of %s: %v are stopped, want %v", owner, stopped, want)
		}
	}
}
