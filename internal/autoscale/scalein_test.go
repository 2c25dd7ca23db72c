package autoscale

import (
	"testing"
	"time"

	"wheatspur/internal/placement"
	"wheatspur/wire"
)

func TestScaleInTakesUselessMachinesAndKeepsFloors(t *testing.T) {
	slow := newMachine("slow", placement.Batch, true)
	slow.Schedulable, slow.Booting, slow.Age = false, true, 101*time.Second
	missing := newMachine("missing", placement.Batch, true)
	missing.Missing = true
	silent := newMachine("silent", placement.Batch, true)
	silent.Silent = true
	quarantined := newMachine("quarantined", placement.Batch, true)
	quarantined.Quarantined = true
	in := newInput(slow, missing, silent, quarantined, newMachine("s1", placement.Service, false), newMachine("b1", placement.Batch, false))
	reasons := map[string]string{}
	for _, s := range Plan(in).ScaleIn {
		reasons[s.Machine] = s.Reason
	}
	if len(reasons) != 4 || reasons["slow"] != ReasonSlowBoot || reasons["missing"] != ReasonNotListed || reasons["silent"] != ReasonSilent || reasons["quarantined"] != ReasonQuarantined {
		t.Fatalf("scale in %v; the last machine of each role must stay", reasons)
	}
}

func TestScaleInKeepsHeadroom(t *testing.T) {
	in := newInput(newMachine("s1", placement.Service, false), newMachine("s2", placement.Service, false))
	in.Service = newLoad(wire.KindService, 4)
	wantScaleIn(t, in, ReasonIdle, "an idle machine beside the floor")
	in.Operator.ServiceHeadroom = 3 // twelve tasks: both machines
	wantScaleIn(t, in, "", "headroom that takes both machines")
}

// Half-empty machines stayed to the end of the day.
func TestBusyMachineIsDrainedOnlyOnceSurplusForLongAndOneAtATime(t *testing.T) {
	in := newInput()
	for _, name := range []string{"a", "b", "c"} {
		m := newMachine(name, placement.Service, false)
		m.Claims, m.Movable, m.Free.GPUs = 2, true, 6
		in.Machines = append(in.Machines, m)
	}
	in.Service = newLoad(wire.KindService, 6)
	wantScaleIn(t, in, "", "at once")
	in.Now = in.Now.Add(in.Operator.IdleOnDemand)
	wantScaleIn(t, in, ReasonSurplus, "after a while")
	in.Draining = 1
	wantScaleIn(t, in, "", "beside another that is being drained")
}
