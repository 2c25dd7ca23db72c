package jobs

import (
	"fmt"
	"testing"
)

func TestTaskStateTransitions(t *testing.T) {
	claimed := Task{State: Claimed, Attempt: 7, Machine: "h", Incarnation: 2, Failures: 3}
	pending := Task{State: Pending, Attempt: 7, Failures: 3}
	completed := Task{State: Completed, Attempt: 7}
	for _, from := range []struct {
		task    Task
		byEvent map[TaskEventKind]Task
	}{
		{Task{}, map[TaskEventKind]Task{
			EventTaskClaim: {State: Claimed, Attempt: 1, Machine: "m", Incarnation: 5},
		}},
		{pending, map[TaskEventKind]Task{
			EventTaskClaim: {State: Claimed, Attempt: 8, Machine: "m", Incarnation: 5, Failures: 3},
		}},
		{claimed, map[TaskEventKind]Task{
			EventTaskComplete: completed,
			EventTaskRelease:  pending,
			EventTaskFail:     {State: Pending, Attempt: 7, Failures: 4},
		}},
		{completed, nil},
	} {
		for _, kind := range []TaskEventKind{EventTaskClaim, EventTaskComplete, EventTaskRelease, EventTaskFail} {
			t.Run(fmt.Sprintf("%s, attempt %d, %s", from.task.State, from.task.Attempt, kind), func(t *testing.T) {
				want, allowed := from.byEvent[kind]
				if !allowed {
					want = from.task
				}
				got, err := from.task.Next(TaskEvent{Kind: kind, Machine: "m", Incarnation: 5})
				if got != want || (err == nil) != allowed {
					t.Errorf("got %+v, %v; want %+v", got, err, want)
				}
			})
		}
	}
}

func TestEveryClaimIsANewAttempt(t *testing.T) {
	var task Task
	for _, step := range []struct {
		event   TaskEvent
		state   TaskState
		attempt uint64
	}{
		{TaskEvent{Kind: EventTaskClaim, Machine: "h", Incarnation: 2}, Claimed, 1},
		{TaskEvent{Kind: EventTaskFail}, Pending, 1},
		{TaskEvent{Kind: EventTaskClaim, Machine: "h", Incarnation: 2}, Claimed, 2},
		{TaskEvent{Kind: EventTaskRelease}, Pending, 2},
		{TaskEvent{Kind: EventTaskClaim, Machine: "h", Incarnation: 2}, Claimed, 3},
		{TaskEvent{Kind: EventTaskComplete}, Completed, 3},
	} {
		var err error
		if task, err = task.Next(step.event); err != nil || task.State != step.state || task.Attempt != step.attempt {
			t.Fatalf("after %s: %+v %v", step.event.Kind, task, err)
		}
	}
}

func TestFailureCountIsCapped(t *testing.T) {
	task := Task{State: Claimed, Attempt: 1, Failures: maxFailures}
	if got, err := task.Next(TaskEvent{Kind: EventTaskFail}); err != nil || got.Failures != maxFailures {
		t.Errorf("%+v %v", got, err)
	}
}

func TestTaskNamesAreParsed(t *testing.T) {
	for number := range 3 {
		jobID, parsed, ok := ParseTaskName(TaskName("wk-7", number))
		if jobID != "wk-7" || parsed != number || !ok {
			t.Fatal(jobID, parsed, ok)
		}
	}
	if got, want := (TaskID{Job: "wk-7", Task: 12}).String(), TaskName("wk-7", 12); got != want {
		t.Errorf("TaskID.String is %q, TaskName %q", got, want)
	}
}

func TestMalformedTaskNamesAreRejected(t *testing.T) {
	for _, name := range []string{"", "wk-7", "wk-7/", "wk-7/-1", "wk-7/x"} {
		t.Run(name, func(t *testing.T) {
			if _, _, ok := ParseTaskName(name); ok {
				t.Errorf("%q was parsed", name)
			}
		})
	}
}
