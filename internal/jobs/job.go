package jobs

import (
	"time"

	"wheatspur/wire"
)

// Job is a job as the cache knows it.
type Job struct {
	ID        string
	Record    Record
	Need      Resources
	Team      string
	Chunks    map[int][]Task // chunks that were ever written
	Counts    [3]int         // tasks per state
	Claims    map[int]Task   // claimed tasks
	FirstSeen time.Time      // when this node first saw it

	// What follows from the records of the jobs that it depends on and of those
	// that depend on it (see pipeline.go). Phase is open, for a job that is stored
	// waiting, once all that it depends on is stored done, and cancelled with any of it.
	Phase         Phase
	CancelledWith string // the job with which it is cancelled
	ReadyAtMs     int64  // when it might start first, Unix milliseconds
	Priority      int    // the highest of its own and of those that depend on it; see PriorityOrder
	DeadlineMs    int64  // when it should be done, for itself and those that depend on it, Unix milliseconds; 0: no deadline

	ownRecord     bool   // its own record is stored
	intakeVersion uint64 // else the version of the intake record that holds it
}

// Service reports whether the job's tasks run until it is cancelled.
func (j *Job) Service() bool {
	return j.Record.Spec != nil && j.Record.Spec.Kind == wire.KindService
}

// Gang reports whether the job's tasks only run all at once.
func (j *Job) Gang() bool { return j.Record.Spec != nil && j.Record.Spec.Kind == wire.KindGang }

// Task returns a task's state.
func (j *Job) Task(i int) Task {
	if c, ok := j.Chunks[i/j.Record.ChunkSize]; ok {
		return c[i%j.Record.ChunkSize]
	}
	return Task{}
}

// ChunkLen is the number of tasks in a chunk.
func (j *Job) ChunkLen(chunk int) int {
	return min(j.Record.ChunkSize, j.Record.Tasks-chunk*j.Record.ChunkSize)
}

// ChunkCopy returns the tasks of a chunk for a change.
func (j *Job) ChunkCopy(chunk int) []Task {
	out := make([]Task, j.ChunkLen(chunk))
	copy(out, j.Chunks[chunk])
	return out
}

// SpansChunks reports whether a constraint on the job's zones covers tasks of
// more than one chunk: then every claim also writes the job's record, so that
// a claim guarded by it has seen all others.
func (j *Job) SpansChunks() bool {
	w := j.Record.Spec
	return w != nil && (w.SameZone || w.SpreadZones) && j.Record.Tasks > j.Record.ChunkSize
}

// AllDone reports whether every task is stored done.
func (j *Job) AllDone() bool { return j.Counts[Completed] == j.Record.Tasks }

// Status is what users are told.
func (j *Job) Status() wire.JobStatus {
	s := wire.JobStatus{ID: j.ID, Done: j.Counts[Completed], Running: j.Counts[Claimed]}
	switch {
	case j.Phase == Done:
		s.State, s.Done, s.Running = wire.StateDone, j.Record.Tasks, 0
	case j.Phase == Cancelled:
		s.State, s.Running = wire.StateCancelled, 0
	case s.Running > 0:
		s.State = wire.StateRunning
	default:
		s.State = wire.StateQueued
	}
	return s
}

// PriorityOrder orders priorities, most important first.
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
