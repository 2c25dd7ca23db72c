package placement

import (
	"maps"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

func TestPlacementRespectsMachineRoles(t *testing.T) {
	machines := func() []*Machine {
		spot := newMachine("spot", "a", "z", Batch, 4)
		spot.Spot = true
		return []*Machine{newMachine("b", "a", "z", Batch, 4), newMachine("s", "a", "z", Service, 4), spot}
	}
	service := func() *jobs.Job { return newJob("wk-1", wire.KindService, wire.PriorityCritical, 6, nil) }
	t.Run("service too large for a shard, seen by its owner", func(t *testing.T) {
		out := Schedule(newInput("a", machines(), service()))
		if len(out.Claims) != 0 || out.Unplaced["wk-1"] != 2 {
			t.Fatalf("six replicas on four service GPUs, to be placed by the leader: %d claims, %d unplaced; want 0 and 2", len(out.Claims), out.Unplaced["wk-1"])
		}
	})
	t.Run("service too large for a shard, seen by the leader", func(t *testing.T) {
		out := Schedule(newInput("L", machines(), service()))
		if len(out.Claims) != 4 {
			t.Fatalf("the leader claims %d tasks, want 4", len(out.Claims))
		}
		for _, c := range out.Claims {
			if c.Machine != "s" {
				t.Fatalf("a service was placed on %s", c.Machine)
			}
		}
	})
	t.Run("job that may not use spot machines", func(t *testing.T) {
		onDemandOnly := newArray("wk-2", 4, func(spec *wire.JobSpec) { spec.Spot = false })
		for _, c := range Schedule(newInput("a", machines(), onDemandOnly)).Claims {
			if c.Machine != "b" {
				t.Fatalf("a job that may not use spot machines was placed on %s", c.Machine)
			}
		}
	})
}

func TestBinPackingPrefersPresentImagesThenLeastFreeRoom(t *testing.T) {
	for _, c := range []struct {
		name        string
		imageOnBig  bool
		wantMachine string
	}{
		{"least free room", false, "small"},
		{"the image is on the machine with more room", true, "big"},
	} {
		t.Run(c.name, func(t *testing.T) {
			big, small := newMachine("big", "a", "z", Batch, 8), newMachine("small", "a", "z", Batch, 8)
			small.Free = jobs.Resources{CPUs: 2, GPUs: 2, RAM: 8}
			if c.imageOnBig {
				big.Images = []string{"img"}
			}
			out := Schedule(newInput("a", []*Machine{big, small}, newArray("wk-1", 1, nil)))
			if out.Claims[0].Machine != c.wantMachine || out.Claims[0].Incarnation != 3 {
				t.Fatalf("placed as %+v, want on %s", out.Claims[0], c.wantMachine)
			}
		})
	}
}

func TestZoneConstraintsCountExistingClaims(t *testing.T) {
	machines := func() []*Machine {
		return []*Machine{newMachine("m1", "L", "z1", Batch, 8), newMachine("m2", "L", "z2", Batch, 2)}
	}
	sameZone := func(spec *wire.JobSpec) { spec.SameZone = true }
	t.Run("spread over zones", func(t *testing.T) {
		spread := claimTasks(newArray("wk-1", 5, func(spec *wire.JobSpec) { spec.SpreadZones = true }), "m1")
		if got := claimsByMachine(Schedule(newInput("L", machines(), spread))); got["m1"] != 2 || got["m2"] != 2 {
			t.Fatalf("new claims %v beside an existing one on m1; want 2 on each machine, for at most 3 per zone", got)
		}
	})
	t.Run("same zone", func(t *testing.T) {
		for _, c := range Schedule(newInput("L", machines(), claimTasks(newArray("wk-2", 4, sameZone), "m2"))).Claims {
			if c.Machine != "m2" {
				t.Fatalf("a task is in z2 but another was placed on %s", c.Machine)
			}
		}
	})
	t.Run("same zone as a task on a machine that is not known", func(t *testing.T) {
		if out := Schedule(newInput("L", machines(), claimTasks(newArray("wk-2", 4, sameZone), "gone"))); len(out.Claims) != 0 {
			t.Fatal("placed beside a task in an unknown zone")
		}
	})
}

// A job that is too large for every shard is placed on the machines of as few shard
// owners as possible.
func TestLargeJobIsSpreadOverFewShardOwners(t *testing.T) {
	machines := []*Machine{newMachine("m1", "a", "z", Batch, 1), newMachine("m2", "b", "z", Batch, 4), newMachine("m3", "L", "z", Batch, 3)}
	got := claimsByMachine(Schedule(newInput("L", machines, newArray("wk-1", 7, nil))))
	if got["m1"] != 0 || got["m2"] != 4 || got["m3"] != 3 {
		t.Fatalf("placed on %v, want 4 tasks on m2 and 3 on m3", got)
	}
}

// A machine's heartbeats list all its tasks in a message of bounded size.
func TestTasksOfAMachineAreLimitedByItsHeartbeatSize(t *testing.T) {
	tiny := newArray("wk-1", 2*tuning.TasksPerMachine, func(spec *wire.JobSpec) { spec.CPUs, spec.GPUs, spec.RAMGB = 0.001, 0, 0.001 })
	in := newInput("a", []*Machine{newMachine("m", "a", "z", Batch, 4)}, tiny)
	in.Leader = "a"
	if n := len(Schedule(in).Claims); n != tuning.TasksPerMachine {
		t.Fatalf("%d tiny tasks on one machine, want %d", n, tuning.TasksPerMachine)
	}
}

// A job that is bound to one zone, by name or by its other tasks, loses machines. The
// lost tasks wait for room in that zone, even if other zones have room, and are placed
// as soon as it has some. A same-zone job without any task left may use any zone.
func TestLostTasksOfAZoneBoundJobAreReplacedInThatZoneOnly(t *testing.T) {
	z1 := "z1"
	namedZone := func(spec *wire.JobSpec) { spec.Zone = &z1 }
	sameZone := func(spec *wire.JobSpec) { spec.SameZone = true }
	for _, c := range []struct {
		name   string
		edit   func(*wire.JobSpec)
		live   []string // machines of its remaining tasks
		z1GPUs float64  // free GPUs in zone z1
		want   map[string]int
	}{
		{"named zone without room", namedZone, []string{"m0"}, 0, map[string]int{}},
		{"named zone with room for two", namedZone, []string{"m0"}, 2, map[string]int{"m1": 2}},
		{"zone of the remaining tasks without room", sameZone, []string{"m0"}, 0, map[string]int{}},
		{"zone of the remaining tasks with room for two", sameZone, []string{"m0", "m0"}, 2, map[string]int{"m1": 2}},
		{"same zone, no task is left", sameZone, nil, 0, map[string]int{"m2": 4}},
		{"same zone, the machine of a task is not proven gone", sameZone, []string{"lost"}, 8, map[string]int{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m0, m1, m2 := newMachine("m0", "L", "z1", Batch, 0), newMachine("m1", "L", "z1", Batch, c.z1GPUs), newMachine("m2", "L", "z2", Batch, 8)
			bound := claimTasks(newArray("wk-1", 4, c.edit), c.live...)
			got := claimsByMachine(Schedule(newInput("L", []*Machine{m0, m1, m2}, bound)))
			if !maps.Equal(got, c.want) {
				t.Errorf("placed on %v, want %v", got, c.want)
			}
		})
	}
}
