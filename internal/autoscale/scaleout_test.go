package autoscale

import (
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

func TestScaleOutTakesCheapestAndFallsBackWithoutCapacity(t *testing.T) {
	in := newInput()
	in.Demands = []Demand{newDemand(wire.KindArray, 12)}
	out := Plan(in)
	for _, s := range out.ScaleOut {
		if !s.Kind.Spot || s.Kind.MachineType != "big" || s.Role != placement.Batch {
			t.Fatalf("added %+v", s)
		}
	}
	if n := totalCount(out.ScaleOut); n != 2 {
		t.Fatalf("%d machines of 8 for 12 tasks", n)
	}
	refuse(in, true)
	if out = Plan(in); len(out.ScaleOut) != 0 {
		t.Fatalf("on-demand machines at once for work that may wait for spot ones: %+v", out.ScaleOut)
	}
	in.Demands[0].Waiting = tuning.BatchOnDemandAfter
	if out = Plan(in); len(out.ScaleOut) == 0 || out.ScaleOut[0].Kind.Spot {
		t.Fatalf("no fallback: %+v", out.ScaleOut)
	}
	in.Now = t0.Add(tuning.NoCapacityPause)
	if out = Plan(in); len(out.ScaleOut) == 0 || !out.ScaleOut[0].Kind.Spot {
		t.Fatalf("spot machines are not tried again: %+v", out.ScaleOut)
	}
}

func TestServicesScaleOutOnDemandMachinesOfTheirRole(t *testing.T) {
	booting := newMachine("b", placement.Batch, false)
	booting.Schedulable, booting.Booting = false, true
	in := newInput(booting)
	in.Demands = []Demand{newDemand(wire.KindService, 3)}
	out := Plan(in)
	if len(out.ScaleOut) != 1 || out.ScaleOut[0].Kind.Spot || out.ScaleOut[0].Role != placement.Service {
		t.Fatalf("%+v", out.ScaleOut)
	}
	booting.Role = placement.Service
	in.Machines = []Machine{booting}
	if out = Plan(in); len(out.ScaleOut) != 0 {
		t.Fatalf("added beside a machine that boots for it: %+v", out.ScaleOut)
	}
}

// Work that no pass has tried to place takes the free machines first; nothing is
// added for what they hold, and the rest is not left for later.
func TestUnscheduledDemandScalesOutOnlyBeyondFreeRoom(t *testing.T) {
	in := newInput(newMachine("a", placement.Batch, true), newMachine("b", placement.Batch, true))
	demand := newDemand(wire.KindArray, 20)
	demand.NotScheduledYet = true
	in.Demands = []Demand{demand}
	if n := totalCount(Plan(in).ScaleOut); n != 1 {
		t.Fatalf("%d machines of 8 added for 20 tasks beside 16 free places", n)
	}
}

// Most machines of a zone are late with their heartbeats: it seems to have the
// fewest that are schedulable.
func TestNothingScalesOutInUnreachableZoneWhileOthersHaveCapacity(t *testing.T) {
	in := newInput()
	in.Demands = []Demand{newDemand(wire.KindService, 24)}
	for i := range 4 {
		m := newMachine(string(rune('a'+i)), placement.Service, false)
		m.Schedulable, m.HeartbeatOverdue = i > 2, i <= 2
		m.Free = jobs.Resources{}
		in.Machines = append(in.Machines, m)
	}
	countByZone := func() map[string]int {
		counts := map[string]int{}
		for _, s := range Plan(in).ScaleOut {
			counts[s.Kind.Zone] += s.Count
		}
		return counts
	}
	if counts := countByZone(); counts["z1"] != 0 || counts["z2"] != 3 {
		t.Fatalf("added %v, z1 is unreachable", counts)
	}
	in.LastNoCapacity[MachineKind{"big", "z2", false}] = t0
	if counts := countByZone(); counts["z1"] != 3 {
		t.Fatalf("added %v: nothing is left but z1", counts)
	}
}

// Tasks waited two and a half boots for a machine that never came up.
func TestLateBootIsReplacedBeforeItIsTerminated(t *testing.T) {
	late := newMachine("late", placement.Service, false)
	late.Schedulable, late.Booting, late.Age = false, true, 59*time.Second
	in := newInput(late)
	in.Demands = []Demand{newDemand(wire.KindService, 3)}
	if out := Plan(in); len(out.ScaleOut) != 0 {
		t.Fatalf("replaced within the usual time: %+v", out.ScaleOut)
	}
	in.Machines[0].Age = 61 * time.Second
	if out := Plan(in); len(out.ScaleOut) != 1 || len(out.ScaleIn) != 0 {
		t.Fatalf("a late boot: %+v", out)
	}
}
