package fleet

import (
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

var types = []wire.MachineType{
	{Label: "big", CPUs: 16, GPUs: 8, RAMGB: 128, Price: 8, SpotPrice: 2, StartupS: 40, Zones: []string{"z1", "z2"}},
	{Label: "dear", CPUs: 16, GPUs: 8, RAMGB: 128, Price: 16, SpotPrice: 6, StartupS: 40, Zones: []string{"z1"}},
}

func want(shape string, n int) Want {
	w := &wire.JobSpec{ID: "wk-1", Team: "x", Kind: shape, Priority: wire.PriorityNormal, Tasks: n, CPUs: 1, GPUs: 1, RAMGB: 1, Spot: shape == wire.KindArray}
	return Want{Job: &jobs.Job{ID: w.ID, Record: jobs.Record{Phase: jobs.Open, Tasks: n, Spec: w}, Need: jobs.Need(w)}, Count: n}
}

func input() PlanInput {
	op := config.DefaultOperator()
	op.ServiceHeadroom, op.BatchHeadroom = 0, 0
	return PlanInput{Now: t0, Op: op, Types: types, Refused: map[Kind]time.Time{}, SurplusSince: map[string]time.Time{},
		Active: map[place.Role]bool{place.Batch: true, place.Service: true}}
}

func unit(name string, role place.Role, spot bool) Unit {
	return Unit{Name: name, Kind: Kind{"big", "z1", spot}, Role: role, Open: true, Free: total(types[0]), Idle: time.Hour}
}

func TestHiresTheCheapestAndFallsBackWhenRefused(t *testing.T) {
	in := input()
	in.Wants = []Want{want(wire.KindArray, 12)}
	out := Plan(in)
	n := 0
	for _, h := range out.Rentals {
		n += h.Count
		if !h.Kind.Spot || h.Kind.MachineType != "big" || h.Role != place.Batch {
			t.Fatalf("rented %+v", h)
		}
	}
	if n != 2 {
		t.Fatalf("%d machines of 8 for 12 tasks", n)
	}
	for _, z := range []string{"z1", "z2"} {
		in.Refused[Kind{"big", z, true}] = t0
	}
	in.Refused[Kind{"dear", "z1", true}] = t0
	if out = Plan(in); len(out.Rentals) != 0 {
		t.Fatalf("ordinary machines at once for work that may wait for spot ones: %+v", out.Rentals)
	}
	in.Wants[0].Waiting = tuning.OrdinaryBatchAfter
	if out = Plan(in); len(out.Rentals) == 0 || out.Rentals[0].Kind.Spot {
		t.Fatalf("no fallback: %+v", out.Rentals)
	}
	in.Now = t0.Add(tuning.RefusedPause)
	if out = Plan(in); len(out.Rentals) == 0 || !out.Rentals[0].Kind.Spot {
		t.Fatalf("spot machines are not tried again: %+v", out.Rentals)
	}
}

func TestServicesGetOrdinaryMachinesOfTheirRole(t *testing.T) {
	in := input()
	in.Wants = []Want{want(wire.KindService, 3)}
	boot := unit("b", place.Batch, false)
	boot.Open, boot.Booting = false, true
	in.Units = []Unit{boot}
	out := Plan(in)
	if len(out.Rentals) != 1 || out.Rentals[0].Kind.Spot || out.Rentals[0].Role != place.Service {
		t.Fatalf("%+v", out.Rentals)
	}
	boot.Role = place.Service
	in.Units = []Unit{boot}
	if out = Plan(in); len(out.Rentals) != 0 {
		t.Fatalf("rented beside a machine that boots for it: %+v", out.Rentals)
	}
}

// Tasks waited two and a half boots for a machine that never came up.
func TestALateBootIsReplacedBeforeItIsGivenUp(t *testing.T) {
	in := input()
	in.Wants = []Want{want(wire.KindService, 3)}
	late := unit("late", place.Service, false)
	late.Open, late.Booting, late.Age = false, true, 59*time.Second
	in.Units = []Unit{late}
	if out := Plan(in); len(out.Rentals) != 0 {
		t.Fatalf("replaced within the usual time: %+v", out.Rentals)
	}
	in.Units[0].Age = 61 * time.Second
	if out := Plan(in); len(out.Rentals) != 1 || len(out.Drains) != 0 {
		t.Fatalf("a late boot: %+v", out)
	}
}

func TestReturnsWhatIsOfNoUseAndKeepsFloorsAndHeadroom(t *testing.T) {
	in := input()
	slow := Unit{Name: "slow", Kind: Kind{"big", "z1", true}, Role: place.Batch, Booting: true, Age: 101 * time.Second}
	missing, silent, suspect := unit("missing", place.Batch, true), unit("silent", place.Batch, true), unit("suspect", place.Batch, true)
	missing.Missing, silent.Silent, suspect.Suspect = true, true, true
	in.Units = []Unit{slow, missing, silent, suspect, unit("s1", place.Service, false), unit("b1", place.Batch, false)}
	got := map[string]string{}
	for _, d := range Plan(in).Drains {
		got[d.Name] = d.Why
	}
	if len(got) != 4 || got["slow"] != WhySlowBoot || got["missing"] != WhyGone || got["silent"] != WhySilent || got["suspect"] == "" {
		t.Fatalf("drains %v; the last machine of each role must stay", got)
	}

	in = input()
	in.Units = []Unit{unit("s1", place.Service, false), unit("s2", place.Service, false)}
	w := want(wire.KindService, 1)
	in.Service = Load{Tasks: 4, Need: w.Job.Need, Spec: w.Job.Record.Spec}
	if d := Plan(in).Drains; len(d) != 1 || d[0].Why != WhyIdle {
		t.Fatalf("an idle machine beside the floor: %v", d)
	}
	in.Op.ServiceHeadroom = 3 // twelve tasks: both machines
	if d := Plan(in).Drains; len(d) != 0 {
		t.Fatalf("the headroom was given back: %v", d)
	}
}

// Half-empty machines stayed to the end of the day.
func TestABusyMachineIsSparedOnlyAfterAWhileAndOneAtATime(t *testing.T) {
	in := input()
	a, b, c := unit("a", place.Service, false), unit("b", place.Service, false), unit("c", place.Service, false)
	for _, u := range []*Unit{&a, &b, &c} {
		u.Claims, u.Movable, u.Free.GPUs = 2, true, 6
	}
	in.Units = []Unit{a, b, c}
	w := want(wire.KindService, 1)
	in.Service = Load{Tasks: 6, Need: w.Job.Need, Spec: w.Job.Record.Spec}
	if d := Plan(in).Drains; len(d) != 0 {
		t.Fatalf("drained at once: %v", d)
	}
	in.Now = in.Now.Add(in.Op.IdleOrdinary)
	if d := Plan(in).Drains; len(d) != 1 || d[0].Why != WhySpare {
		t.Fatalf("after a while: %v", d)
	}
	in.Moving = 1
	if d := Plan(in).Drains; len(d) != 0 {
		t.Fatalf("beside another that is being drained: %v", d)
	}
}

// With nothing to do for long the floors kept two machines rented for ever.
func TestRolesWithoutWorkKeepNothing(t *testing.T) {
	in := input()
	in.Op.BatchHeadroom = 0.25
	in.Units = []Unit{unit("s1", place.Service, false), unit("b1", place.Batch, false)}
	w := want(wire.KindArray, 1)
	in.Batch = Load{Tasks: 0.01, Need: w.Job.Need, Spec: w.Job.Record.Spec}
	if d := Plan(in).Drains; len(d) != 0 {
		t.Fatalf("the floors were given back: %v", d)
	}
	in.Active = nil
	if out := Plan(in); len(out.Drains) != 2 || len(out.Rentals) != 0 {
		t.Fatalf("without work: %+v", out)
	}
}

// A few machines in ten boot late. One spare machine a few is much for a small
// order and little for a large one.
func TestTheHedgeForLateBootsGrowsSlowerThanTheOrder(t *testing.T) {
	w := want(wire.KindService, 8)
	p := &planner{in: input()}
	few, many := p.hedge(w.Job, 8), p.hedge(w.Job, 800)
	if few < 2 || few > 8 || many < 80 || many > 200 {
		t.Fatalf("%d tasks beside 8, %d beside 800", few, many)
	}
}

// Work that had no turn in the pass takes the free machines first; nothing is
// rented for what they hold, and the rest is not left for later.
func TestWorkWithoutATurnIsRentedForBeyondTheFreeRoom(t *testing.T) {
	in := input()
	in.Units = []Unit{unit("a", place.Batch, true), unit("b", place.Batch, true)}
	w := want(wire.KindArray, 20)
	w.Untried = true
	in.Wants = []Want{w}
	n := 0
	for _, h := range Plan(in).Rentals {
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
	in.Op.BatchHeadroom = 0.5
	in.Units = []Unit{unit("a", place.Batch, false), unit("b", place.Batch, false)}
	in.Batch = Load{Tasks: 100, Need: want(wire.KindArray, 1).Job.Need, Spec: want(wire.KindArray, 1).Job.Record.Spec}
	for _, z := range []string{"z1", "z2"} {
		in.Refused[Kind{"big", z, true}] = t0
	}
	in.Refused[Kind{"dear", "z1", true}] = t0
	if out := Plan(in); len(out.Drains) != 1 {
		t.Fatalf("%+v: one of two idle machines goes back, one keeps the role's floor", out.Drains)
	}
	in.Batch.Spec.Spot = false
	in.Refused[Kind{"big", "z1", false}], in.Refused[Kind{"big", "z2", false}], in.Refused[Kind{"dear", "z1", false}] = t0, t0, t0
	if out := Plan(in); len(out.Drains) != 0 {
		t.Fatalf("%+v: the headroom of work that needs ordinary machines", out.Drains)
	}
}

// Most machines of a zone are quiet: it seems to have the fewest that serve.
func TestNothingIsRentedBehindACutWhileThereIsRoomElsewhere(t *testing.T) {
	in := input()
	in.Wants = []Want{want(wire.KindService, 24)}
	for i := range 4 {
		u := unit(string(rune('a'+i)), place.Service, false)
		u.Open, u.Quiet = i > 2, i <= 2
		u.Free = jobs.Resources{}
		in.Units = append(in.Units, u)
	}
	zones := func() map[string]int {
		out := map[string]int{}
		for _, h := range Plan(in).Rentals {
			out[h.Kind.Zone] += h.Count
		}
		return out
	}
	if z := zones(); z["z1"] != 0 || z["z2"] != 3 {
		t.Fatalf("rented %v, z1 is dark", z)
	}
	in.Refused[Kind{"big", "z2", false}] = t0
	if z := zones(); z["z1"] != 3 {
		t.Fatalf("rented %v: nothing is left but z1", z)
	}
}

// Spot machines hold the batch role's floor, so each short array that may not
// use them waited for an ordinary machine to boot.
func TestRoomIsKeptForBatchWorkThatMayNotUseSpotMachines(t *testing.T) {
	small := &wire.JobSpec{ID: "wk-7", Team: "x", Kind: wire.KindArray, Tasks: 3, CPUs: 2, RAMGB: 4}
	spot, ordinary := unit("s", place.Batch, true), unit("o", place.Batch, false)
	run := func(plain bool, units ...Unit) PlanOutput {
		in := input()
		in.Units = units
		w := want(wire.KindArray, 1).Job
		in.Batch = Load{Need: w.Need, Spec: w.Record.Spec}
		if plain {
			in.Plain = Load{Least: 5, Need: jobs.Need(small), Spec: small}
			in.Op.BatchHeadroom = 0.25
		}
		return Plan(in)
	}
	if out := run(true, spot); len(out.Rentals) != 1 || out.Rentals[0].Kind.Spot || out.Rentals[0].Count != 1 {
		t.Fatalf("rented ahead: %+v", out.Rentals)
	}
	if out := run(true, ordinary, spot, spot); len(out.Rentals) != 0 || len(out.Drains) != 0 && out.Drains[0].Name == "o" {
		t.Fatalf("with room: rented %+v, given back %+v", out.Rentals, out.Drains)
	}
	if out := run(false, ordinary, unit("s2", place.Batch, true), spot); len(out.Rentals) != 0 || len(out.Drains) == 0 || out.Drains[0].Name != "o" {
		t.Fatalf("without such work: rented %+v, given back %+v", out.Rentals, out.Drains)
	}
}
