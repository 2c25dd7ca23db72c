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

func TestPreemptionOfTasksOfAnotherTeam(t *testing.T) {
	for _, c := range []struct {
		name                 string
		priority             string
		mayReclaim, borrowed bool
		want                 int
	}{
		{"higher priority", wire.PriorityUrgent, false, false, 1},
		{"same priority within the other's guarantee", wire.PriorityNormal, true, false, 0},
		{"waiting too briefly to reclaim, the cloud may still add machines", wire.PriorityNormal, false, true, 0},
		{"borrowed work for a guarantee", wire.PriorityNormal, true, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			resident := newArray("wk-9", 1, func(spec *wire.JobSpec) { spec.Team = "y" })
			in := newInput("a", []*Machine{newFullMachine(resident)}, newJob("wk-1", wire.KindArray, c.priority, 1, nil))
			in.Demands[0].MayReclaim = c.mayReclaim
			in.Allowances["x"].Guarantee = quota.Amount{GPUs: 4}
			in.Allowances["y"] = &quota.Allowance{Used: quota.Amount{GPUs: 1}, Guarantee: quota.Amount{GPUs: 1}}
			if c.borrowed {
				in.Allowances["y"].Used.GPUs = 2
			}
			if got := len(Schedule(in).Preemptions); got != c.want {
				t.Errorf("%d preempted, want %d", got, c.want)
			}
		})
	}
}

func TestNoPreemptionWhileRoomIsBeingFreed(t *testing.T) {
	resident := newArray("wk-9", 1, func(spec *wire.JobSpec) { spec.Team = "y" })
	urgent := newJob("wk-1", wire.KindArray, wire.PriorityUrgent, 1, nil)
	t.Run("a task of the machine is being stopped", func(t *testing.T) {
		m := newFullMachine(resident)
		m.Freeing = jobs.Resources{CPUs: 1, GPUs: 1, RAM: 1}
		m.Tasks[0].Stopping = true
		if out := Schedule(newInput("a", []*Machine{m}, urgent)); len(out.Preemptions) != 0 {
			t.Error("a task was preempted although enough room is being freed")
		}
	})
	t.Run("tasks were preempted for the job lately", func(t *testing.T) {
		low := newJob("wk-9", wire.KindArray, wire.PriorityLow, 1, nil)
		in := newInput("a", []*Machine{newFullMachine(low)}, urgent)
		in.Demands[0].RecentlyPreemptedFor = true
		if out := Schedule(in); len(out.Preemptions) != 0 {
			t.Fatal("another task was preempted for a job before the room of the first one was free")
		}
	})
}

func TestNoPreemptionInAZoneThatTheJobMayNotUse(t *testing.T) {
	low := newJob("wk-9", wire.KindArray, wire.PriorityLow, 1, nil)
	spread := newJob("wk-1", wire.KindArray, wire.PriorityUrgent, 2, func(spec *wire.JobSpec) { spec.SpreadZones = true })
	if out := Schedule(newInput("a", []*Machine{newFullMachine(low)}, claimTasks(spread, "m"))); len(out.Preemptions) != 0 {
		t.Fatal("a task was preempted in the zone that the job's other task holds")
	}
}

func TestServiceIsNeverPreemptedForAGuarantee(t *testing.T) {
	resident := newJob("wk-9", wire.KindService, wire.PriorityCritical, 1, func(spec *wire.JobSpec) { spec.Team = "y" })
	m := newFullMachine(resident)
	m.Role = Service
	in := newInput("a", []*Machine{m}, newJob("wk-1", wire.KindService, wire.PriorityCritical, 1, nil))
	in.Demands[0].MayReclaim = true
	in.Allowances["x"].Guarantee = quota.Amount{GPUs: 4}
	in.Allowances["y"] = &quota.Allowance{Used: quota.Amount{GPUs: 2}, Guarantee: quota.Amount{GPUs: 1}}
	if out := Schedule(in); len(out.Preemptions) != 0 {
		t.Fatal("a running service was preempted for one of the same priority")
	}
}

func TestBorrowedWorkDoesNotTakeRoomFreedForAGuarantee(t *testing.T) {
	reclaiming := newArray("wk-1", 2, nil)
	borrowing := newArray("wk-2", 1, func(spec *wire.JobSpec) { spec.Team, spec.CPUs = "y", 0.5 })
	m := newMachine("m", "a", "z", Batch, 1)
	m.Free = jobs.Resources{CPUs: 0.5, GPUs: 1, RAM: 64} // CPUs too few for reclaiming, enough for borrowing
	in := newInput("a", []*Machine{m}, reclaiming, borrowing)
	in.Demands[0].MayReclaim = true
	in.Allowances["x"].Guarantee = quota.Amount{GPUs: 4}
	in.Allowances["y"] = &quota.Allowance{Used: quota.Amount{GPUs: 2}, Guarantee: quota.Amount{GPUs: 1}}
	if out := Schedule(in); len(out.Claims) != 0 {
		t.Fatal("borrowed work took the room that a guarantee waits for")
	}
}

// Of two jobs within their guarantees, the one for which tasks were preempted gets the
// room that they freed. Otherwise the other job takes it and more tasks are preempted.
func TestReclaimingWorkTakesTheRoomThatWasFreedForIt(t *testing.T) {
	first, reclaiming := newArray("wk-1", 1, nil), newArray("wk-2", 1, nil)
	in := newInput("a", []*Machine{newMachine("m", "a", "z", Batch, 1)}, first, reclaiming)
	in.Allowances["x"].Guarantee = quota.Amount{GPUs: 4}
	in.Demands[1].MayReclaim = true
	if out := Schedule(in); len(out.Claims) != 1 || out.Claims[0].Job != reclaiming {
		t.Fatalf("claims %+v, want one of the reclaiming job", out.Claims)
	}
}

// Borrowed tasks that were preempted for a guarantee are pending again, and their job is
// older than the job for which they were preempted. It must not take the room back, or
// the preemptions repeat forever and the team never gets its guarantee.
func TestPreemptedWorkDoesNotTakeTheRoomBack(t *testing.T) {
	borrowed, reclaiming := newArray("wk-1", 4, nil), newArray("wk-2", 4, nil)
	in := newInput("a", []*Machine{newMachine("m", "a", "z", Batch, 4)}, borrowed, reclaiming)
	borrowed.ReadyAtMs, reclaiming.ReadyAtMs = 1000, 2000
	reclaiming.Team, reclaiming.Record.Spec.Team = "y", "y"
	in.Allowances["y"] = &quota.Allowance{Guarantee: quota.Amount{GPUs: 4}}
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
		t.Fatalf("%d claims of the reclaiming job, want 4", len(out.Claims))
	}
}

// On its own machines a controller preempts the tasks that lose the least work first:
// those that have not started, those that write checkpoints, then those with the shortest
// run time. A lower priority still comes first, and no more tasks than needed are
// preempted. On machines of other controllers the age alone decides.
func TestVictimsThatLoseTheLeastWorkArePreemptedFirst(t *testing.T) {
	now := time.Unix(10_000, 0)
	for _, c := range []struct {
		name  string
		owner string
		want  []string
	}{
		{"own machine", "a", []string{"wk-12", "wk-11", "wk-10"}},
		{"machine of another owner, which preempts them itself", "b", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMachine("m", c.owner, "z", Batch, 4)
			m.Free = jobs.Resources{}
			for i, runTime := range []time.Duration{50 * time.Second, 300 * time.Second, 0, 400 * time.Second} {
				j := newArray(fmt.Sprintf("wk-%d", 10+i), 1, nil)
				j.ReadyAtMs = int64(1000 * (i + 1))
				if i == 1 {
					j.Record.Spec.CheckpointIntervalS, j.Record.Spec.CheckpointWriteS = 30, 4
				}
				task := ClaimedTask{ID: jobs.TaskID{Job: j.ID}, Job: j}
				if runTime > 0 {
					task.RunningSince = now.Add(-runTime)
				}
				m.Tasks = append(m.Tasks, task)
			}
			m.SaveState()
			in := newInput("a", []*Machine{m}, newJob("wk-1", wire.KindArray, wire.PriorityUrgent, 3, nil))
			in.Now, in.MinimizeLoss = now, true
			in.Allowances["x"] = &quota.Allowance{}
			var preempted []string
			for _, p := range Schedule(in).Preemptions {
				preempted = append(preempted, p.ID.Job)
			}
			if !slices.Equal(preempted, c.want) {
				t.Errorf("preempted %v, want %v", preempted, c.want)
			}
		})
	}
}
