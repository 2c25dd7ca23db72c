// This file changes the chunk records of jobs.

package scheduler

import (
	"wheatspur/internal/jobs"
)

// Generous bounds of the JSON form of a chunk record, for the time before its
// claims are known and it can be counted.
const (
	chunkTaskBytes = 56  // of a claimed task
	chunkBytes     = 600 // of the rest
)

// chunkChange is a number of task events in one chunk of a job, to be stored in
// one write.
type chunkChange struct {
	job    *jobs.Job
	chunk  int
	events map[int]jobs.TaskEvent // by task number
	bytes  int                    // bounds the record's JSON with the claims added by addClaim; 0: not counted yet
}

// newChunkChange returns a change without any event.
func newChunkChange(job *jobs.Job, chunk int) *chunkChange {
	return &chunkChange{job: job, chunk: chunk, events: map[int]jobs.TaskEvent{}}
}

// chunkOf is the chunk that holds a task of the job.
func chunkOf(job *jobs.Job, task int) int { return task / job.Record.ChunkSize }

// addClaim adds the claim of a task; false if the record would be larger than limit.
func (c *chunkChange) addClaim(task int, claim jobs.TaskEvent, limit int) bool {
	if c.bytes == 0 {
		c.bytes = jobs.ChunkRecord{Tasks: c.job.ChunkCopy(c.chunk)}.Bytes()
	}
	more := jobs.ClaimBytes(claim)
	if c.bytes+more > limit {
		return false
	}
	c.bytes += more
	c.events[task] = claim
	return true
}

// apply returns the chunk's tasks after the events; false if one of them can't
// follow on the task's state.
func (c *chunkChange) apply() ([]jobs.Task, bool) {
	tasks := c.job.ChunkCopy(c.chunk)
	for task, event := range c.events {
		i := task - c.chunk*c.job.Record.ChunkSize
		next, err := tasks[i].Next(event)
		if err != nil {
			return nil, false
		}
		tasks[i] = next
	}
	return tasks, true
}

// maxChunkBytes bounds the JSON form of any chunk record of the job.
func (sc *Scheduler) maxChunkBytes(job *jobs.Job) int {
	return min(job.Record.ChunkSize, job.Record.Tasks)*chunkTaskBytes + chunkBytes
}

// putChunk stores a chunk's tasks after its change. The write that completes a
// job's last task also ends the job and drops the chunk; the one that releases a
// cancelled job's last claim in the chunk drops it. The caller holds the lock.
func (sc *Scheduler) putChunk(write *PendingWrite, change *chunkChange, key string, tasks []jobs.Task) {
	job := change.job
	newlyCompleted := countTasks(tasks, jobs.Completed) - countTasks(job.Chunks[change.chunk], jobs.Completed)
	if job.Phase == jobs.Open && job.Counts[jobs.Completed]+newlyCompleted == job.Record.Tasks {
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

// countTasks is how many tasks are in a state.
func countTasks(tasks []jobs.Task, state jobs.TaskState) int {
	count := 0
	for _, task := range tasks {
		if task.State == state {
			count++
		}
	}
	return count
}
