package jobs

import (
	"fmt"
	"testing"
)

func TestTaskAndJobMachines(t *testing.T) {
	task := Task{}
	var err error
	for _, s := range []struct {
		e    TaskEvent
		want State
		try  uint64
	}{
		{TaskEvent{Kind: Claim, Machine: "h", Incarnation: 2}, Claimed, 1},
		{TaskEvent{Kind: Fail}, Pending, 1},
		{TaskEvent{Kind: Claim, Machine: "h", Incarnation: 2}, Claimed, 2},
		{TaskEvent{Kind: Release}, Pending, 2},
		{TaskEvent{Kind: Claim, Machine: "h", Incarnation: 2}, Claimed, 3},
		{TaskEvent{Kind: Complete}, Completed, 3},
	} {
		if task, err = task.Next(s.e); err != nil || task.State != s.want || task.Attempt != s.try {
			t.Fatalf("after %s: %+v %v", s.e.Kind, task, err)
		}
	}
	for _, k := range []TaskEventKind{Claim, Release, Fail, Complete} {
		if _, err := task.Next(TaskEvent{Kind: k}); err == nil {
			t.Errorf("%s of a completed task", k)
		}
	}
	if _, err := (Task{}).Next(TaskEvent{Kind: Complete}); err == nil {
		t.Error("a task that was never claimed completed")
	}
	for _, p := range []Phase{Done, Cancelled} {
		for _, e := range []JobEvent{JobCompleted, JobCancel} {
			if next, err := p.Next(e); err == nil || next != p {
				t.Errorf("%s: %s gave %s", p, e, next)
			}
		}
	}
}

func TestShardNames(t *testing.T) {
	for i := range 3 {
		jobID, n, ok := ParseTaskName(TaskName("wk-7", i))
		if jobID != "wk-7" || n != i || !ok {
			t.Fatal(jobID, n, ok)
		}
	}
	for _, s := range []string{"", "wk-7", "wk-7/", "wk-7/-1", "wk-7/x"} {
		if _, _, ok := ParseTaskName(s); ok {
			t.Errorf("%q was read", s)
		}
	}
	if jobID, c, ok := ParseChunkKey(ChunkKey("wk-7", 12)); jobID != "wk-7" || c != 12 || !ok {
		t.Fatal(fmt.Sprint(jobID, c, ok))
	}
}
