package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskState is the stored state of a task. Its transitions, all made by Task.Next:
//
//	from     event     to         when
//	Pending  Claim     Claimed    a controller chose a machine; before any start command
//	Claimed  Complete  Completed  the attempt has ended with a result
//	Claimed  Release   Pending    the attempt has ended, or never ran, without fault of the task
//	Claimed  Fail      Pending    the attempt has ended with an error
//
// Every claim is a new attempt. A claim counts against the machine and the quota
// of the team until it is released, so all events but Claim need proof that the
// attempt has ended: else two attempts of a task could run at once. Completed
// is final.
type TaskState uint8

// States of a task. The values are stored.
const (
	Pending   TaskState = 0 // runs nowhere
	Claimed   TaskState = 1 // may run on its machine, and counts against every limit
	Completed TaskState = 2 // its result is kept

	numStates = 3
)

// String returns the state's name.
func (s TaskState) String() string {
	return [numStates]string{"pending", "claimed", "completed"}[s]
}

// TaskEvent changes a task's state.
type TaskEvent struct {
	Kind        TaskEventKind
	Machine     string // of a claim
	Incarnation uint64 // of the machine's worker, of a claim
}

// TaskEventKind names the events of a task.
type TaskEventKind string

// Events of a task; State says what they do.
const (
	Claim    TaskEventKind = "claim"
	Complete TaskEventKind = "complete"
	Release  TaskEventKind = "release"
	Fail     TaskEventKind = "fail"
)

// maxFailures keeps the stored count of failures short.
const maxFailures = 20

// Task is the stored form of one task. Machine and Incarnation are those of the
// last attempt, while it is claimed.
type Task struct {
	_           struct{} `cbor:",toarray"`
	State       TaskState
	Attempt     uint64
	Machine     string
	Incarnation uint64
	Failures    uint64
}

// Next returns the task after an event. It is the one function that changes a
// task's state.
func (t Task) Next(event TaskEvent) (Task, error) {
	switch {
	case t.State == Pending && event.Kind == Claim:
		return Task{State: Claimed, Attempt: t.Attempt + 1, Machine: event.Machine, Incarnation: event.Incarnation, Failures: t.Failures}, nil
	case t.State == Claimed && event.Kind == Complete:
		return Task{State: Completed, Attempt: t.Attempt}, nil
	case t.State == Claimed && event.Kind == Release:
		return Task{State: Pending, Attempt: t.Attempt, Failures: t.Failures}, nil
	case t.State == Claimed && event.Kind == Fail:
		return Task{State: Pending, Attempt: t.Attempt, Failures: min(t.Failures+1, maxFailures)}, nil
	}
	return t, fmt.Errorf("task: no %s in state %s", event.Kind, t.State)
}

// TaskName names a task the way workers do.
func TaskName(jobID string, task int) string { return jobID + "/" + strconv.Itoa(task) }

// ParseTaskName splits a worker's name of a task.
func ParseTaskName(name string) (jobID string, task int, ok bool) {
	jobID, number, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(number)
	return jobID, task, err == nil && task >= 0
}

// TaskID identifies a task by its job and its number in the job.
type TaskID struct {
	Job  string
	Task int
}

// Less orders tasks by job and number.
func (id TaskID) Less(other TaskID) bool {
	if id.Job != other.Job {
		return id.Job < other.Job
	}
	return id.Task < other.Task
}

// String returns the name that workers use.
func (id TaskID) String() string { return TaskName(id.Job, id.Task) }
