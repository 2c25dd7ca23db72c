package jobs

import (
	"time"

	"wheatspur/wire"
)

// Job is a job as the Table holds it: its record, its tasks, and the state that is derived from the
// jobs it depends on and the jobs that depend on it. Only the Table changes it.
type Job struct {
	ID            string
	Record        Record
	TaskResources Resources      // resources that one task takes
	Team          string         // team whose quota its claims count against
	Chunks        map[int][]Task // tasks by chunk number, of the chunks that have a record
	TaskCounts    [numStates]int // number of tasks per state
	Claims        map[int]Task   // claimed tasks by task number
	FirstSeen     time.Time      // when this controller first saw the job

	// Fields derived from the DAG of dependencies (dependencies.go). The Phase of a job that is stored
	// as Waiting becomes Open once all its dependencies are stored as Done, and Cancelled once any
	// of them is cancelled.
	Phase                 Phase
	CancelledByDependency string // the dependency whose cancellation cancelled the job
	ReadyAtMs             int64  // time from which its tasks may run: acceptance or last dependency's end, Unix milliseconds
	Priority              int    // highest of its own and those of its unfinished dependents, as PriorityRank
	DeadlineMs            int64  // earliest deadline that it or its unfinished dependents impose, Unix milliseconds; 0: none

	hasOwnRecord  bool   // whether the job has a record of its own
	intakeVersion uint64 // otherwise: version of the intake record that holds the job
}

// IsService reports whether the job is a service: its tasks run until it is cancelled.
func (j *Job) IsService() bool {
	return j.Record.Spec != nil && j.Record.Spec.Kind == wire.KindService
}

// IsGang reports whether the job needs gang scheduling: either all its tasks run at once or none
// does.
func (j *Job) IsGang() bool {
	return j.Record.Spec != nil && j.Record.Spec.Kind == wire.KindGang
}

// Task returns a task by its number in the job.
func (j *Job) Task(number int) Task {
	if tasks, ok := j.Chunks[number/j.Record.TasksPerChunk]; ok {
		return tasks[number%j.Record.TasksPerChunk]
	}
	return Task{}
}

// ChunkLen returns the number of tasks in a chunk; the last chunk may be shorter than the others.
func (j *Job) ChunkLen(chunk int) int {
	return min(j.Record.TasksPerChunk, j.Record.Tasks-chunk*j.Record.TasksPerChunk)
}

// ChunkCopy returns a copy of the tasks of a chunk, for a write that changes some of them.
func (j *Job) ChunkCopy(chunk int) []Task {
	tasks := make([]Task, j.ChunkLen(chunk))
	copy(tasks, j.Chunks[chunk])
	return tasks
}

// ZoneConstraintSpansChunks reports whether a constraint on the job's zones covers tasks of more
// than one chunk.
// In that case every claim also writes the job's record, so that a claim that compares the record's
// version takes all earlier claims into account.
func (j *Job) ZoneConstraintSpansChunks() bool {
	spec := j.Record.Spec
	return spec != nil && (spec.SameZone || spec.SpreadZones) && j.Record.Tasks > j.Record.TasksPerChunk
}

// AllTasksCompleted reports whether all tasks are stored as completed.
func (j *Job) AllTasksCompleted() bool { return j.TaskCounts[Completed] == j.Record.Tasks }

// Status returns the job's status as reported to its user.
func (j *Job) Status() wire.JobStatus {
	status := wire.JobStatus{ID: j.ID, Done: j.TaskCounts[Completed], Running: j.TaskCounts[Claimed]}
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

// PriorityRank returns the rank of a priority; 0 is the highest.
func PriorityRank(priority string) int {
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
