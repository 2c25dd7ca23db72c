package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// State is the stored state of a task.
type State uint8

// States of a task.
const (
	Pending   State = 0 // runs nowhere
	Claimed   State = 1 // may be on its host, counts against every limit
	Completed State = 2 // its result is kept
)

func (s State) String() string {
	return [...]string{"pending", "claimed", "completed"}[s]
}

// TaskEvent changes a task's state.
type TaskEvent struct {
	Kind        TaskEventKind
	Machine     string // of a claim
	Incarnation uint64 // of a claim
}

// TaskEventKind names the events of a task.
type TaskEventKind string

// Events of a task. All but Claim rest on proof that the attempt has ended.
const (
	Claim    TaskEventKind = "claim"
	Complete TaskEventKind = "complete"
	Release  TaskEventKind = "release" // ended without fault of the task
	Fail     TaskEventKind = "fail"    // ended with an error
)

// failuresCap keeps the stored count of failures short.
const failuresCap = 20

// Next is the one function that changes a task's state.
func (t Task) Next(e TaskEvent) (Task, error) {
	switch {
	case t.State == Pending && e.Kind == Claim:
		return Task{State: Claimed, Attempt: t.Attempt + 1, Machine: e.Machine, Incarnation: e.Incarnation, Failures: t.Failures}, nil
	case t.State == Claimed && e.Kind == Complete:
		return Task{State: Completed, Attempt: t.Attempt}, nil
	case t.State == Claimed && e.Kind == Release:
		return Task{State: Pending, Attempt: t.Attempt, Failures: t.Failures}, nil
	case t.State == Claimed && e.Kind == Fail:
		return Task{State: Pending, Attempt: t.Attempt, Failures: min(t.Failures+1, failuresCap)}, nil
	}
	return t, fmt.Errorf("task: no %s in state %s", e.Kind, t.State)
}

// Task is the stored form of one task.
type Task struct {
	_           struct{} `cbor:",toarray"`
	State       State
	Attempt     uint64
	Machine     string
	Incarnation uint64
	Failures    uint64
}

// TaskName names a task the way workers do.
func TaskName(jobID string, task int) string { return jobID + "/" + strconv.Itoa(task) }

// ParseTaskName splits a worker's task name.
func ParseTaskName(s string) (jobID string, task int, ok bool) {
	jobID, t, ok := strings.Cut(s, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(t)
	return jobID, task, err == nil && task >= 0
}

// TaskID names a task.
type TaskID struct {
	Job  string
	Task int
}

// Less orders tasks by job and number.
func (id TaskID) Less(o TaskID) bool {
	if id.Job != o.Job {
		return id.Job < o.Job
	}
	return id.Task < o.Task
}

func (id TaskID) String() string { return fmt.Sprintf("%s/%d", id.Job, id.Task) }
