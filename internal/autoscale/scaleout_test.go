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
			t.Fatalf("scale out %+v, want batch spot machines of type big", s)
		}
	}
	if n := totalCount(out.ScaleOut); n != 2 {
		t.Fatalf("added %d machines with room for 8 tasks each for 12 tasks, want 2", n)
	}
	markNoCapacity(in, true)
	if out = Plan(in); len(out.ScaleOut) != 0 {
		t.Fatalf("on-demand machines added without waiting for spot capacity: %+v", out.ScaleOut)
	}
	in.Demands[0].Waiting = tuning.BatchOnDemandAfter
	if out = Plan(in); len(out.ScaleOut) == 0 || out.ScaleOut[0].Kind.Spot {
		t.Fatalf("scale out %+v, want on-demand machines after BatchOnDemandAfter", out.ScaleOut)
	}
	in.Now = t0.Add(tuning.NoCapacityPause)
	if out = Plan(in); len(out.ScaleOut) == 0 || !out.ScaleOut[0].Kind.Spot {
		t.Fatalf("scale out %+v, want spot machines again after NoCapacityPause", out.ScaleOut)
	}
}

func TestServicesScaleOutOnDemandMachinesOfTheirRole(t *testing.T) {
	booting := newMachine("b", placement.Batch, false)
	booting.Schedulable, booting.Booting = false, true
	in := newInput(booting)
	in.Demands = []Demand{newDemand(wire.KindService, 3)}
	out := Plan(in)
	if len(out.ScaleOut) != 1 || out.ScaleOut[0].Kind.Spot || out.ScaleOut[0].Role != placement.Service {
		t.Fatalf("scale out %+v, want one on-demand service machine", out.ScaleOut)
	}
	booting.Role = placement.Service
	in.Machines = []Machine{booting}
	if out = Plan(in); len(out.ScaleOut) != 0 {
		t.Fatalf("scale out %+v although a booting machine has room", out.ScaleOut)
	}
}

// Tasks that no scheduling pass has tried to place use free machines first. Machines are added
// at once for those that do not fit, and for no others.
func TestUnscheduledDemandScalesOutOnlyBeyondFreeRoom(t *testing.T) {
	in := newInput(newMachine("a", placement.Batch, true), newMachine("b", placement.Batch, true))
	demand := newDemand(wire.KindArray, 20)
	demand.NotScheduledYet = true
	in.Demands = []Demand{demand}
	if n := totalCount(Plan(in).ScaleOut); n != 1 {
		t.Fatalf("added %d machines with room for 8 tasks each for 20 tasks, with room for 16 on free machines; want 1", n)
	}
}

// Guards against scaling out in an unreachable zone: most of its machines are late with their
// heartbeats, so it has the fewest schedulable ones and would be chosen to spread machines.
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
		t.Fatalf("added %v by zone, want 3 in z2 since z1 is unreachable", counts)
	}
	in.LastNoCapacity[MachineKind{"big", "z2", false}] = t0
	if counts := countByZone(); counts["z1"] != 3 {
		t.Fatalf("added %v by zone, want 3 in z1 since z2 has no capacity", counts)
	}
}

// Guards against tasks that wait for a machine that never boots until it is terminated, which
// takes 2.5 boot times.
func TestLateBootIsReplacedBeforeItIsTerminated(t *testing.T) {
	late := newMachine("late", placement.Service, false)
	late.Schedulable, late.Booting, late.Age = false, true, 59*time.Second
	in := newInput(late)
	in.Demands = []Demand{newDemand(wire.KindService, 3)}
	if out := Plan(in); len(out.ScaleOut) != 0 {
		t.Fatalf("machine replaced within the usual boot time: %+v", out.ScaleOut)
	}
	in.Machines[0].Age = 61 * time.Second
	if out := Plan(in); len(out.ScaleOut) != 1 || len(out.ScaleIn) != 0 {
		t.Fatalf("late boot: %+v, want one machine added and none terminated", out)
	}
}
