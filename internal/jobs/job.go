package jobs

import (
	"time"

	"wheatspur/wire"
)

// Job is a job as the Table holds it: its record, its tasks, and what follows from
// the jobs that it depends on and that depend on it. Only the Table changes it.
type Job struct {
	ID        string
	Record    Record
	Need      Resources      // what one task takes
	Team      string         // whose quota its claims count against
	Chunks    map[int][]Task // tasks of the chunks that were ever written, by chunk
	Counts    [numStates]int // tasks per state
	Claims    map[int]Task   // claimed tasks by number
	FirstSeen time.Time      // when this controller first saw it

	// What is derived from the DAG of dependencies (dependencies.go). Phase is Open,
	// for a job that is stored Waiting, once all that it depends on is stored Done,
	// and Cancelled with any of it.
	Phase         Phase
	CancelledWith string // the job with which it is cancelled
	ReadyAtMs     int64  // the earliest time at which it may have started, Unix milliseconds
	Priority      int    // the highest of its own and of those that depend on it; see PriorityOrder
	DeadlineMs    int64  // when it should be done, for itself and those that depend on it, Unix milliseconds; 0: no deadline

	ownRecord     bool   // its own record is stored
	intakeVersion uint64 // else the version of the intake record that holds it
}

// Service reports whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool {
	return j.Record.Spec != nil && j.Record.Spec.Kind == wire.KindService
}

// Gang reports whether the job needs gang scheduling: its tasks run all at once
// or not at all.
func (j *Job) Gang() bool {
	return j.Record.Spec != nil && j.Record.Spec.Kind == wire.KindGang
}

// Task returns a task by its number in the job.
func (j *Job) Task(number int) Task {
	if tasks, ok := j.Chunks[number/j.Record.ChunkSize]; ok {
		return tasks[number%j.Record.ChunkSize]
	}
	return Task{}
}

// ChunkLen is the number of tasks in a chunk; the last one may be shorter.
func (j *Job) ChunkLen(chunk int) int {
	return min(j.Record.ChunkSize, j.Record.Tasks-chunk*j.Record.ChunkSize)
}

// ChunkCopy returns a copy of the tasks of a chunk, for a write that changes some.
func (j *Job) ChunkCopy(chunk int) []Task {
	tasks := make([]Task, j.ChunkLen(chunk))
	copy(tasks, j.Chunks[chunk])
	return tasks
}

// SpansChunks reports whether a constraint on the job's zones covers tasks of
// more than one chunk: then every claim also writes the job's record, so that
// a claim which compares its version has seen all others.
func (j *Job) SpansChunks() bool {
	spec := j.Record.Spec
	return spec != nil && (spec.SameZone || spec.SpreadZones) && j.Record.Tasks > j.Record.ChunkSize
}

// AllDone reports whether every task is stored completed.
func (j *Job) AllDone() bool { return j.Counts[Completed] == j.Record.Tasks }

// Status is the job's status as its user sees it.
func (j *Job) Status() wire.JobStatus {
	status := wire.JobStatus{ID: j.ID, Done: j.Counts[Completed], Running: j.Counts[Claimed]}
	switch {
	case j.Phase == Done:
		status.State, status.Done, status.Running = wire.StateDone, j.Record.Tasks, 0
	case j.Phase == Cancelled:
		status.State, status.Running = wire.StateCancelled, 0
	case status.Running > 0:
		status.State = wire.StateRunning
	default:
		status.State = wire.StateQueued
	}
	return status
}

// PriorityOrder is the place of a priority in their order, the most important
// first: 0.
func PriorityOrder(priority string) int {
	switch priority {
	case wire.PriorityCritical:
		return 0
	case wire.PriorityUrgent:
		return 1
	case wire.PriorityNormal:
		return 2
	}
	return 3
}
