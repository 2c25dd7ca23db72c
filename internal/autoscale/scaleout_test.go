package autoscale

import (
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

var t0 = time.Unix(1000, 0)

var types = []wire.MachineType{
	{Label: "big", CPUs: 16, GPUs: 8, RAMGB: 128, Price: 8, SpotPrice: 2, StartupS: 40, Zones: []string{"z1", "z2"}},
	{Label: "dear", CPUs: 16, GPUs: 8, RAMGB: 128, Price: 16, SpotPrice: 6, StartupS: 40, Zones: []string{"z1"}},
}

func want(shape string, n int) Demand {
	w := &wire.JobSpec{ID: "wk-1", Team: "x", Kind: shape, Priority: wire.PriorityNormal, Tasks: n, CPUs: 1, GPUs: 1, RAMGB: 1, Spot: shape == wire.KindArray}
	return Demand{Job: &jobs.Job{ID: w.ID, Record: jobs.Record{Phase: jobs.Open, Tasks: n, Spec: w}, Need: jobs.ResourcesPerTask(w)}, Count: n}
}

func input() Input {
	op := config.DefaultOperator()
	op.ServiceHeadroom, op.BatchHeadroom = 0, 0
	return Input{Now: t0, Operator: op, Types: types, NoCapacitySince: map[MachineKind]time.Time{}, SurplusSince: map[string]time.Time{},
		ActiveRoles: map[placement.Role]bool{placement.Batch: true, placement.Service: true}}
}

func unit(name string, role placement.Role, spot bool) Machine {
	return Machine{Name: name, Kind: MachineKind{"big", "z1", spot}, Role: role, Schedulable: true, Free: capacity(types[0]), Idle: time.Hour}
}

func TestHiresTheCheapestAndFallsBackWhenRefused(t *testing.T) {
	in := input()
	in.Demands = []Demand{want(wire.KindArray, 12)}
	out := Plan(in)
	n := 0
	for _, h := range out.ScaleOut {
		n += h.Count
		if !h.Kind.Spot || h.Kind.MachineType != "big" || h.Role != placement.Batch {
			t.Fatalf("rented %+v", h)
		}
	}
	if n != 2 {
		t.Fatalf("%d machines of 8 for 12 tasks", n)
	}
	for _, z := range []string{"z1", "z2"} {
		in.NoCapacitySince[MachineKind{"big", z, true}] = t0
	}
	in.NoCapacitySince[MachineKind{"dear", "z1", true}] = t0
	if out = Plan(in); len(out.ScaleOut) != 0 {
		t.Fatalf("ordinary machines at once for work that may wait for spot ones: %+v", out.ScaleOut)
	}
	in.Demands[0].Waiting = tuning.OnDemandBatchAfter
	if out = Plan(in); len(out.ScaleOut) == 0 || out.ScaleOut[0].Kind.Spot {
		t.Fatalf("no fallback: %+v", out.ScaleOut)
	}
	in.Now = t0.Add(tuning.NoCapacityPause)
	if out = Plan(in); len(out.ScaleOut) == 0 || !out.ScaleOut[0].Kind.Spot {
		t.Fatalf("spot machines are not tried again: %+v", out.ScaleOut)
	}
}

func TestServicesGetOrdinaryMachinesOfTheirRole(t *testing.T) {
	in := input()
	in.Demands = []Demand{want(wire.KindService, 3)}
	boot := unit("b", placement.Batch, false)
	boot.Schedulable, boot.Booting = false, true
	in.Machines = []Machine{boot}
	out := Plan(in)
	if len(out.ScaleOut) != 1 || out.ScaleOut[0].Kind.Spot || out.ScaleOut[0].Role != placement.Service {
		t.Fatalf("%+v", out.ScaleOut)
	}
	boot.Role = placement.Service
	in.Machines = []Machine{boot}
	if out = Plan(in); len(out.ScaleOut) != 0 {
		t.Fatalf("rented beside a machine that boots for it: %+v", out.ScaleOut)
	}
}

// Tasks waited two and a half boots for a machine that never came up.
func TestALateBootIsReplacedBeforeItIsGivenUp(t *testing.T) {
	in := input()
	in.Demands = []Demand{want(wire.KindService, 3)}
	late := unit("late", placement.Service, false)
	late.Schedulable, late.Booting, late.Age = false, true, 59*time.Second
	in.Machines = []Machine{late}
	if out := Plan(in); len(out.ScaleOut) != 0 {
		t.Fatalf("replaced within the usual time: %+v", out.ScaleOut)
	}
	in.Machines[0].Age = 61 * time.Second
	if out := Plan(in); len(out.ScaleOut) != 1 || len(out.ScaleIn) != 0 {
		t.Fatalf("a late boot: %+v", out)
	}
}

func TestReturnsWhatIsOfNoUseAndKeepsFloorsAndHeadroom(t *testing.T) {
	in := input()
	slow := Machine{Name: "slow", Kind: MachineKind{"big", "z1", true}, Role: placement.Batch, Booting: true, Age: 101 * time.Second}
	missing, silent, suspect := unit("missing", placement.Batch, true), unit("silent", placement.Batch, true), unit("suspect", placement.Batch, true)
	missing.Missing, silent.Silent, suspect.Quarantined = true, true, true
	in.Machines = []Machine{slow, missing, silent, suspect, unit("s1", placement.Service, false), unit("b1", placement.Batch, false)}
	got := map[string]string{}
	for _, d := range Plan(in).ScaleIn {
		got[d.Machine] = d.Reason
	}
	if len(got) != 4 || got["slow"] != ReasonSlowBoot || got["missing"] != ReasonNotListed || got["silent"] != ReasonSilent || got["suspect"] == "" {
		t.Fatalf("drains %v; the last machine of each role must stay", got)
	}

	in = input()
	in.Machines = []Machine{unit("s1", placement.Service, false), unit("s2", placement.Service, false)}
	w := want(wire.KindService, 1)
	in.Service = Load{Tasks: 4, Need: w.Job.Need, Spec: w.Job.Record.Spec}
	if d := Plan(in).ScaleIn; len(d) != 1 || d[0].Reason != ReasonIdle {
		t.Fatalf("an idle machine beside the floor: %v", d)
	}
	in.Operator.ServiceHeadroom = 3 // twelve tasks: both machines
	if d := Plan(in).ScaleIn; len(d) != 0 {
		t.Fatalf("the headroom was given back: %v", d)
	}
}

// Half-empty machines stayed to the end of the day.
func TestABusyMachineIsSparedOnlyAfterAWhileAndOneAtATime(t *testing.T) {
	in := input()
	a, b, c := unit("a", placement.Service, false), unit("b", placement.Service, false), unit("c", placement.Service, false)
	for _, u := range []*Machine{&a, &b, &c} {
		u.Claims, u.Movable, u.Free.GPUs = 2, true, 6
	}
	in.Machines = []Machine{a, b, c}
	w := want(wire.KindService, 1)
	in.Service = Load{Tasks: 6, Need: w.Job.Need, Spec: w.Job.Record.Spec}
	if d := Plan(in).ScaleIn; len(d) != 0 {
		t.Fatalf("drained at once: %v", d)
	}
	in.Now = in.Now.Add(in.Operator.IdleOrdinary)
	if d := Plan(in).ScaleIn; len(d) != 1 || d[0].Reason != ReasonSurplus {
		t.Fatalf("after a while: %v", d)
	}
	in.Draining = 1
	if d := Plan(in).ScaleIn; len(d) != 0 {
		t.Fatalf("beside another that is being drained: %v", d)
	}
}

// With nothing to do for long the floors kept two machines rented for ever.
func TestRolesWithoutWorkKeepNothing(t *testing.T) {
	in := input()
	in.Operator.BatchHeadroom = 0.25
	in.Machines = []Machine{unit("s1", placement.Service, false), unit("b1", placement.Batch, false)}
	w := want(wire.KindArray, 1)
	in.Batch = Load{Tasks: 0.01, Need: w.Job.Need, Spec: w.Job.Record.Spec}
	if d := Plan(in).ScaleIn; len(d) != 0 {
		t.Fatalf("the floors were given back: %v", d)
	}
	in.ActiveRoles = nil
	if out := Plan(in); len(out.ScaleIn) != 2 || len(out.ScaleOut) != 0 {
		t.Fatalf("without work: %+v", out)
	}
}

// A few machines in ten boot late. One spare machine a few is much for a small
// order and little for a large one.
func TestTheHedgeForLateBootsGrowsSlowerThanTheOrder(t *testing.T) {
	w := want(wire.KindService, 8)
	p := &planner{input: input()}
	few, many := p.lateBootHedge(w.Job, 8), p.lateBootHedge(w.Job, 800)
	if few < 2 || few > 8 || many < 80 || many > 200 {
		t.Fatalf("%d tasks beside 8, %d beside 800", few, many)
	}
}

// Work that had no turn in the pass takes the free machines first; nothing is
// rented for what they hold, and the rest is not left for later.
func TestWorkWithoutATurnIsRentedForBeyondTheFreeRoom(t *testing.T) {
	in := input()
	in.Machines = []Machine{unit("a", placement.Batch, true), unit("b", placement.Batch, true)}
	w := want(wire.KindArray, 20)
	w.NotScheduledYet = true
	in.Demands = []Demand{w}
	n := 0
	for _, h := range Plan(in).ScaleOut {
		n += h.Count
	}
	if n != 1 {
		t.Fatalf("%d machines of 8 rented for 20 tasks beside 16 free places", n)
	}
}

// With all spot machines rented, idle ordinary ones stood in for the headroom
// of batch work: dozens at several times the price.
func TestOrdinaryMachinesAreNotKeptForTheHeadroomOfWorkThatMayUseSpot(t *testing.T) {
	in := input()
	in.Operator.BatchHeadroom = 0.5
	in.Machines = []Machine{unit("a", placement.Batch, false), unit("b", placement.Batch, false)}
	in.Batch = Load{Tasks: 100, Need: want(wire.KindArray, 1).Job.Need, Spec: want(wire.KindArray, 1).Job.Record.Spec}
	for _, z := range []string{"z1", "z2"} {
		in.NoCapacitySince[MachineKind{"big", z, true}] = t0
	}
	in.NoCapacitySince[MachineKind{"dear", "z1", true}] = t0
	if out := Plan(in); len(out.ScaleIn) != 1 {
		t.Fatalf("%+v: one of two idle machines goes back, one keeps the role's floor", out.ScaleIn)
	}
	in.Batch.Spec.Spot = false
	in.NoCapacitySince[MachineKind{"big", "z1", false}], in.NoCapacitySince[MachineKind{"big", "z2", false}], in.NoCapacitySince[MachineKind{"dear", "z1", false}] = t0, t0, t0
	if out := Plan(in); len(out.ScaleIn) != 0 {
		t.Fatalf("%+v: the headroom of work that needs ordinary machines", out.ScaleIn)
	}
}

// Most machines of a zone are quiet: it seems to have the fewest that serve.
func TestNothingIsRentedBehindACutWhileThereIsRoomElsewhere(t *testing.T) {
	in := input()
	in.Demands = []Demand{want(wire.KindService, 24)}
	for i := range 4 {
		u := unit(string(rune('a'+i)), placement.Service, false)
		u.Schedulable, u.HeartbeatOverdue = i > 2, i <= 2
		u.Free = jobs.Resources{}
		in.Machines = append(in.Machines, u)
	}
	zones := func() map[string]int {
		out := map[string]int{}
		for _, h := range Plan(in).ScaleOut {
			out[h.Kind.Zone] += h.Count
		}
		return out
	}
	if z := zones(); z["z1"] != 0 || z["z2"] != 3 {
		t.Fatalf("rented %v, z1 is dark", z)
	}
	in.NoCapacitySince[MachineKind{"big", "z2", false}] = t0
	if z := zones(); z["z1"] != 3 {
		t.Fatalf("rented %v: nothing is left but z1", z)
	}
}

// Spot machines hold the batch role's floor, so each short array that may not
// use them waited for an ordinary machine to boot.
func TestRoomIsKeptForBatchWorkThatMayNotUseSpotMachines(t *testing.T) {
	small := &wire.JobSpec{ID: "wk-7", Team: "x", Kind: wire.KindArray, Tasks: 3, CPUs: 2, RAMGB: 4}
	spot, ordinary := unit("s", placement.Batch, true), unit("o", placement.Batch, false)
	run := func(plain bool, units ...Machine) Output {
		in := input()
		in.Machines = units
		w := want(wire.KindArray, 1).Job
		in.Batch = Load{Need: w.Need, Spec: w.Record.Spec}
		if plain {
			in.OnDemand = Load{MinTasks: 5, Need: jobs.ResourcesPerTask(small), Spec: small}
			in.Operator.BatchHeadroom = 0.25
		}
		return Plan(in)
	}
	if out := run(true, spot); len(out.ScaleOut) != 1 || out.ScaleOut[0].Kind.Spot || out.ScaleOut[0].Count != 1 {
		t.Fatalf("rented ahead: %+v", out.ScaleOut)
	}
	if out := run(true, ordinary, spot, spot); len(out.ScaleOut) != 0 || len(out.ScaleIn) != 0 && out.ScaleIn[0].Machine == "o" {
		t.Fatalf("with room: rented %+v, given back %+v", out.ScaleOut, out.ScaleIn)
	}
	if out := run(false, ordinary, unit("s2", placement.Batch, true), spot); len(out.ScaleOut) != 0 || len(out.ScaleIn) == 0 || out.ScaleIn[0].Machine != "o" {
		t.Fatalf("without such work: rented %+v, given back %+v", out.ScaleOut, out.ScaleIn)
	}
}
