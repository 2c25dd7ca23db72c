// This file changes the chunk records of jobs.

package scheduler

import (
	"wheatspur/internal/jobs"
)

// chunkChange is what becomes of some tasks of one chunk.
type chunkChange struct {
	job    *jobs.Job
	chunk  int
	events map[int]jobs.TaskEvent // by task number
	bytes  int                    // bounds the record's JSON with claims that were added by claim
}

// claim adds the claim of a task; false if the record would be too large.
func (c *chunkChange) claim(task int, e jobs.TaskEvent, limit int) bool {
	if c.bytes == 0 {
		c.bytes = jobs.ChunkRecord{Tasks: c.job.ChunkCopy(c.chunk)}.Bytes()
	}
	more := jobs.ClaimBytes(e)
	if c.bytes+more > limit {
		return false
	}
	c.bytes += more
	c.events[task] = e
	return true
}

// apply returns the chunk's tasks after the events; false if one is not due.
func (c *chunkChange) apply() ([]jobs.Task, bool) {
	tasks := c.job.ChunkCopy(c.chunk)
	for i, e := range c.events {
		k := i - c.chunk*c.job.Record.ChunkSize
		t, err := tasks[k].Next(e)
		if err != nil {
			return nil, false
		}
		tasks[k] = t
	}
	return tasks, true
}

func (sc *Scheduler) maxChunkBytes(j *jobs.Job) int {
	return min(j.Record.ChunkSize, j.Record.Tasks)*56 + 600
}

// putChunk stores a chunk; the write that makes a job's last task done also
// ends the job and drops the chunk.
func (sc *Scheduler) putChunk(t *PendingWrite, c *chunkChange, key string, tasks []jobs.Task) {
	j := c.job
	done, live := 0, 0
	for _, task := range tasks {
		switch task.State {
		case jobs.Completed:
			done++
		case jobs.Claimed:
			live++
		}
	}
	before := 0
	for _, task := range j.Chunks[c.chunk] {
		if task.State == jobs.Completed {
			before++
		}
	}
	if j.Phase == jobs.Open && j.Counts[jobs.Completed]-before+done == j.Record.Tasks {
		t.put(jobs.JobKey(j.ID), completedRecord(j, sc.Now()))
		t.delete(key)
		return
	}
	if j.Phase == jobs.Cancelled && live == 0 {
		t.delete(key)
		return
	}
	t.put(key, jobs.ChunkRecord{Tasks: tasks})
}
