package autoscale

import (
	"testing"
	"time"

	"wheatspur/internal/placement"
	"wheatspur/wire"
)

func TestScaleInTerminatesUnusableMachinesAndKeepsFloors(t *testing.T) {
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
		t.Fatalf("scale in %v, want the four unusable machines and not the last machine of each role", reasons)
	}
}

func TestScaleInKeepsHeadroom(t *testing.T) {
	in := newInput(newMachine("s1", placement.Service, false), newMachine("s2", placement.Service, false))
	in.Service = newLoad(wire.KindService, 4)
	wantScaleIn(t, in, ReasonIdle, "idle machine above the floor")
	in.Operator.ServiceHeadroom = 3 // room for 12 tasks, which takes both machines
	wantScaleIn(t, in, "", "headroom needs both machines")
}

// Guards against service machines that stay half-empty for the rest of the day because only idle
// machines are scaled in.
func TestBusyMachineIsDrainedOnlyOnceSurplusForLongAndOneAtATime(t *testing.T) {
	in := newInput()
	for _, name := range []string{"a", "b", "c"} {
		m := newMachine(name, placement.Service, false)
		m.Claims, m.Movable, m.Free.GPUs = 2, true, 6
		in.Machines = append(in.Machines, m)
	}
	in.Service = newLoad(wire.KindService, 6)
	wantScaleIn(t, in, "", "first plan")
	in.Now = in.Now.Add(in.Operator.OnDemandIdleTimeout)
	wantScaleIn(t, in, ReasonSurplus, "surplus for the idle limit")
	in.Draining = 1
	wantScaleIn(t, in, "", "another machine is draining")
}
