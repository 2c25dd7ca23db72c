package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskState is the stored state of a task. Its transitions, all made by Task.Next:
//
//	from     event              to         when
//	Pending  EventTaskClaim     Claimed    a controller has chosen a machine; stored before any start command
//	Claimed  EventTaskComplete  Completed  the attempt ended with a result
//	Claimed  EventTaskRelease   Pending    the attempt ended or never ran, and the task is not at fault
//	Claimed  EventTaskFail      Pending    the attempt ended with an error
//
// Every claim is a new attempt. A claim counts against the machine's resources and the team's quota
// until it is released. All events but EventTaskClaim therefore need proof that the attempt has
// ended: otherwise two attempts of a task could run at once. Completed is final.
type TaskState uint8

// States of a task. The values are stored.
const (
	Pending   TaskState = 0 // not assigned to a machine
	Claimed   TaskState = 1 // may be running on its machine; counts against all limits
	Completed TaskState = 2 // ended with a result

	numStates = 3
)

// String returns the state's name.
func (s TaskState) String() string {
	return [numStates]string{"pending", "claimed", "completed"}[s]
}

// TaskEvent changes a task's state.
type TaskEvent struct {
	Kind        TaskEventKind
	Machine     string // the claimed machine; of EventTaskClaim only
	Incarnation uint64 // incarnation of that machine's worker; of EventTaskClaim only
}

// TaskEventKind is the kind of an event of a task.
type TaskEventKind string

// Events of a task. TaskState lists the transitions that they make.
const (
	EventTaskClaim    TaskEventKind = "claim"
	EventTaskComplete TaskEventKind = "complete"
	EventTaskRelease  TaskEventKind = "release"
	EventTaskFail     TaskEventKind = "fail"
)

// maxFailures caps the stored number of failures, which bounds its length in the chunk record.
const maxFailures = 20

// Task is the stored form of a task. Machine and Incarnation belong to the current attempt and are
// set only while the task is claimed.
type Task struct {
	_           struct{} `cbor:",toarray"`
	State       TaskState
	Attempt     uint64
	Machine     string
	Incarnation uint64
	Failures    uint64
}

// Next returns the task after an event. All changes of a task's state go through it.
func (t Task) Next(event TaskEvent) (Task, error) {
	switch {
	case t.State == Pending && event.Kind == EventTaskClaim:
		return Task{State: Claimed, Attempt: t.Attempt + 1, Machine: event.Machine, Incarnation: event.Incarnation, Failures: t.Failures}, nil
	case t.State == Claimed && event.Kind == EventTaskComplete:
		return Task{State: Completed, Attempt: t.Attempt}, nil
	case t.State == Claimed && event.Kind == EventTaskRelease:
		return Task{State: Pending, Attempt: t.Attempt, Failures: t.Failures}, nil
	case t.State == Claimed && event.Kind == EventTaskFail:
		return Task{State: Pending, Attempt: t.Attempt, Failures: min(t.Failures+1, maxFailures)}, nil
	}
	return t, fmt.Errorf("task: event %s is not allowed in state %s", event.Kind, t.State)
}

// TaskName returns the name of a task in the worker protocol.
func TaskName(jobID string, task int) string { return jobID + "/" + strconv.Itoa(task) }

// ParseTaskName splits a task name of the worker protocol into the job id and the task number.
func ParseTaskName(name string) (jobID string, task int, ok bool) {
	jobID, number, ok := strings.Cut(name, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(number)
	return jobID, task, err == nil && task >= 0
}

// TaskID identifies a task by its job and its number within the job.
type TaskID struct {
	Job  string
	Task int
}

// Less orders tasks by job, then by number.
func (id TaskID) Less(other TaskID) bool {
	if id.Job != other.Job {
		return id.Job < other.Job
	}
	return id.Task < other.Task
}

// String returns the name of the task in the worker protocol.
func (id TaskID) String() string { return TaskName(id.Job, id.Task) }
