package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

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
