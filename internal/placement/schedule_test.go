package placement

import (
	"fmt"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/wire"
)

func TestQuotaCountsClaimsOfTheSamePass(t *testing.T) {
	in := newInput("a", []*Machine{newMachine("m", "a", "z", Batch, 8)}, newArray("wk-1", 3, nil), newArray("wk-2", 3, nil))
	in.Allowances["x"].Limit, in.Allowances["x"].Used = quota.Amount{GPUs: 5}, quota.Amount{GPUs: 1}
	if n := len(Schedule(in).Claims); n != 4 {
		t.Fatalf("%d claims, want 4: one of the limit of five GPUs was in use", n)
	}
}

func TestTasksBeyondTheLimitWaitForQuota(t *testing.T) {
	in := newInput("a", []*Machine{newMachine("m", "a", "z", Batch, 8)}, newArray("wk-1", 5, nil))
	in.Allowances["x"].Limit = quota.Amount{GPUs: 3}
	if out := Schedule(in); len(out.Claims) != 3 || out.UnplacedReasons["wk-1"] != ReasonTeamLimit {
		t.Fatalf("%d claims, the others wait because %q; want 3 and %q", len(out.Claims), out.UnplacedReasons["wk-1"], ReasonTeamLimit)
	}
}

func TestGangSchedulingPlacesAllTasksOrNone(t *testing.T) {
	for _, c := range []struct {
		name        string
		self        string
		tasks, want int
	}{
		{"three tasks, room for two", "L", 3, 0},
		{"two tasks, room for two", "a", 2, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*Machine{newMachine("m", "a", "z", Batch, 2)}
			gang := newJob("wk-1", wire.KindGang, wire.PriorityNormal, c.tasks, nil)
			if n := len(Schedule(newInput(c.self, machines, gang)).Claims); n != c.want {
				t.Fatalf("%d of %d tasks of a gang placed, want %d", n, c.tasks, c.want)
			}
		})
	}
}

func TestPassPlacesABoundedNumberOfJobs(t *testing.T) {
	var openJobs []*jobs.Job
	for i := range 9 {
		openJobs = append(openJobs, newArray(fmt.Sprintf("wk-%d", i+1), 1, nil))
	}
	in := newInput("a", []*Machine{newMachine("m", "a", "z", Batch, 8)}, openJobs...)
	in.MaxJobs = 3
	out := Schedule(in)
	if len(out.Claims) != 3 || len(out.Unplaced) != 6 || out.UnplacedReasons["wk-9"] != ReasonJobLimit {
		t.Fatalf("%d claims, waiting jobs %v; want 3 claims and 6 waiting jobs", len(out.Claims), out.UnplacedReasons)
	}
}

func TestJobIsPlacedByTheFirstShardOwnerWithRoomElseByTheLeader(t *testing.T) {
	for _, c := range []struct {
		name  string
		self  string
		tasks int
		want  int
	}{
		{"fits the first shard, seen by its owner", "a", 2, 2},
		{"fits the first shard, seen by another owner", "b", 2, 0},
		{"fits the second shard only, seen by the first owner", "a", 4, 0},
		{"fits the second shard only, seen by its owner", "b", 4, 4},
		{"fits no shard, seen by the first owner", "a", 6, 0},
		{"fits no shard, seen by the second owner", "b", 6, 0},
		{"fits no shard, seen by the leader", "L", 6, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			machines := []*Machine{newMachine("m1", "a", "z", Batch, 2), newMachine("m2", "b", "z", Batch, 4)}
			if got := len(Schedule(newInput(c.self, machines, newArray("wk-1", c.tasks, nil))).Claims); got != c.want {
				t.Errorf("%s claims %d of %d tasks, want %d", c.self, got, c.tasks, c.want)
			}
		})
	}
}

func TestShardWithTheImageIsPreferred(t *testing.T) {
	m1, m2 := newMachine("m1", "a", "z", Batch, 2), newMachine("m2", "b", "z", Batch, 4)
	m2.Images = []string{"img"}
	if n := len(Schedule(newInput("b", []*Machine{m1, m2}, newArray("wk-1", 2, nil))).Claims); n != 2 {
		t.Fatalf("the owner of the machine with the image claims %d tasks, want 2", n)
	}
}
