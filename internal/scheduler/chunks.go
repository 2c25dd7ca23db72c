// This file applies task events to the chunk records of jobs.

package scheduler

import (
	"wheatspur/internal/jobs"
)

// Upper bounds of the size of a chunk record as JSON. They reserve room in a write before the
// claims are known, from which the size can be computed.
const (
	chunkBytesPerTask = 56  // for each claimed task
	chunkBaseBytes    = 600 // for the rest of the record
)

// chunkChange is a set of task events in one chunk of a job, which are stored in one write.
type chunkChange struct {
	job       *jobs.Job
	chunk     int
	events    map[int]jobs.TaskEvent // by task number
	jsonBytes int                    // upper bound of the record's size as JSON, including the claims added by addClaim; 0: not computed yet
}

// newChunkChange returns a change without events.
func newChunkChange(job *jobs.Job, chunk int) *chunkChange {
	return &chunkChange{job: job, chunk: chunk, events: map[int]jobs.TaskEvent{}}
}

// chunkOf returns the index of the chunk that holds a task of the job.
func chunkOf(job *jobs.Job, task int) int { return task / job.Record.TasksPerChunk }

// addClaim adds the claim of a task. It returns false, and adds nothing, if the record would
// exceed limit bytes.
func (c *chunkChange) addClaim(task int, claim jobs.TaskEvent, limit int) bool {
	if c.jsonBytes == 0 {
		c.jsonBytes = jobs.ChunkRecord{Tasks: c.job.ChunkCopy(c.chunk)}.MaxJSONBytes()
	}
	claimBytes := jobs.MaxClaimBytes(claim)
	if c.jsonBytes+claimBytes > limit {
		return false
	}
	c.jsonBytes += claimBytes
	c.events[task] = claim
	return true
}

// apply returns the chunk's tasks after the events. It returns false if an event is not a valid
// transition from its task's state.
func (c *chunkChange) apply() ([]jobs.Task, bool) {
	tasks := c.job.ChunkCopy(c.chunk)
	for task, event := range c.events {
		i := task - c.chunk*c.job.Record.TasksPerChunk
		next, err := tasks[i].Next(event)
		if err != nil {
			return nil, false
		}
		tasks[i] = next
	}
	return tasks, true
}

// maxChunkBytes returns an upper bound of the size of any chunk record of the job as JSON.
func (sc *Scheduler) maxChunkBytes(job *jobs.Job) int {
	return min(job.Record.TasksPerChunk, job.Record.Tasks)*chunkBytesPerTask + chunkBaseBytes
}

// putChunk adds the operations that store a chunk's tasks after its change. The write that
// completes a job's last task also stores the job's final record and deletes the chunk. The write
// that releases a cancelled job's last claim in the chunk deletes the chunk. The caller holds the
// lock.
func (sc *Scheduler) putChunk(write *PendingWrite, change *chunkChange, key string, tasks []jobs.Task) {
	job := change.job
	newlyCompleted := countTasks(tasks, jobs.Completed) - countTasks(job.Chunks[change.chunk], jobs.Completed)
	if job.Phase == jobs.Open && job.TaskCounts[jobs.Completed]+newlyCompleted == job.Record.Tasks {
		write.put(jobs.JobKey(job.ID), completedRecord(job, sc.Now()))
		write.delete(key)
		return
	}
	if job.Phase == jobs.Cancelled && countTasks(tasks, jobs.Claimed) == 0 {
		write.delete(key)
		return
	}
	write.put(key, jobs.ChunkRecord{Tasks: tasks})
}

// countTasks returns how many tasks are in a state.
func countTasks(tasks []jobs.Task, state jobs.TaskState) int {
	count := 0
	for _, task := range tasks {
		if task.State == state {
			count++
		}
	}
	return count
}
