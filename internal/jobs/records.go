// Package jobs holds what the state service stores about jobs, the state
// machines of jobs and tasks, and the intake checks.
package jobs

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Key prefixes of the state service.
const (
	Root        = "w/"
	JobPrefix   = Root + "job/"
	ChunkPrefix = Root + "task/"
	TeamPrefix  = Root + "team/"
	// IntakePrefix starts the keys of records that hold several new jobs.
	IntakePrefix = Root + "intake/"
)

// JobKey is the key of a job's record.
func JobKey(jobID string) string { return JobPrefix + jobID }

// ChunkKey is the key of one chunk of a job's tasks.
func ChunkKey(jobID string, chunk int) string {
	return ChunkPrefix + jobID + "/" + strconv.Itoa(chunk)
}

// TeamKey is the key of a team's shares (package quota).
func TeamKey(team string) string { return TeamPrefix + team }

// ParseChunkKey splits a chunk key.
func ParseChunkKey(key string) (jobID string, chunk int, ok bool) {
	jobID, c, ok := strings.Cut(strings.TrimPrefix(key, ChunkPrefix), "/")
	if !ok {
		return "", 0, false
	}
	chunk, err := strconv.Atoi(c)
	return jobID, chunk, err == nil
}

// Record is the stored form of a job. Final records drop what is no longer
// needed and are kept forever.
type Record struct {
	Phase         Phase         `cbor:"p"`
	AcceptedAtMs  int64         `cbor:"at"` // time of acceptance, Unix milliseconds
	Tasks         int           `cbor:"n"`
	ChunkSize     int           `cbor:"cs"`          // tasks per chunk
	ClaimSerial   uint64        `cbor:"s,omitempty"` // raised by claims of jobs whose constraint spans chunks
	Spec          *wire.JobSpec `cbor:"w,omitempty"`
	EndedAtMs     int64         `cbor:"e,omitempty"` // of a final record: time of the end, Unix milliseconds
	CancelledWith string        `cbor:"v,omitempty"` // the job with which it was cancelled
}

// Cancel returns the record of the job after its user has cancelled it. Of
// the description only what its claims still need stays: the whole of an old
// one may be larger than the state service takes now.
func (r Record) Cancel(now time.Time) (Record, error) {
	phase, err := r.Phase.Next(JobCancel)
	if err != nil {
		return r, err
	}
	r.Phase, r.EndedAtMs = phase, now.UnixMilli()
	if w := r.Spec; w != nil {
		r.Spec = &wire.JobSpec{ID: w.ID, Team: w.Team, Kind: w.Kind, Priority: w.Priority, Tasks: w.Tasks,
			CPUs: w.CPUs, GPUs: w.GPUs, RAMGB: w.RAMGB}
	}
	return r, nil
}

// IntakeRecord is the stored form of several jobs that were accepted in one
// change. It is written once. A job's own record, which the first change of the
// job writes, stands in its place.
type IntakeRecord struct {
	Jobs map[string]Record `cbor:"j"`
}

// recordBytes bounds the JSON of a job's record, all but its description.
const recordBytes = 90

// IntakeBytes bounds the JSON of a job in an intake record.
func IntakeBytes(w *wire.JobSpec) int { return JSONSize(w) + recordBytes }

// Task is the stored form of one task.
type Task struct {
	_           struct{} `cbor:",toarray"`
	State       State
	Attempt     uint64
	Machine     string
	Incarnation uint64
	Failures    uint64
}

// ChunkRecord is the stored form of a run of tasks.
type ChunkRecord struct {
	Tasks []Task `cbor:"t"`
}

// Bytes of the JSON form of a chunk record: of a task all but its numbers and
// its machine's name, with a space after each comma; of the rest; and of a
// task on a machine with a name of the protocol's form.
const (
	taskBase  = 13
	chunkBase = 16
	taskBytes = 31
)

// ChunkSize returns the number of tasks per chunk record: as many as fit the
// value limit when all are claimed, and few enough that several chunks fit one
// transaction. Claims that would make a chunk too large for other reasons, such
// as long names, are left out (Bytes).
func ChunkSize(valueKB float64) int {
	return min(max(1, int(valueKB*1024-chunkBase)/taskBytes), tuning.ChunkMax)
}

// MinValueBytes is the value limit, in bytes, that full chunk records need which
// were written under a limit, with names of the protocol's form.
func MinValueBytes(valueKB float64) int { return ChunkSize(valueKB)*compactTaskBytes + chunkBase }

// compactTaskBytes bounds the JSON form of a task on a machine with a name of the
// protocol's form, without spaces.
const compactTaskBytes = 28

// Bytes bounds the JSON form of the record.
func (c ChunkRecord) Bytes() int {
	n := chunkBase
	for _, t := range c.Tasks {
		n += taskBase + len(t.Machine) + digits(t.Attempt) + digits(t.Incarnation) + digits(t.Failures)
	}
	return n
}

// ClaimBytes bounds what a claim adds to the JSON form of its chunk's record.
func ClaimBytes(e TaskEvent) int { return len(e.Machine) + digits(e.Incarnation) + 1 }

func digits(v uint64) int {
	n := 1
	for ; v > 9; v /= 10 {
		n++
	}
	return n
}

// JSONSize is the size of a submission as the state service counts it.
func JSONSize(w *wire.JobSpec) int {
	b, err := json.Marshal(w)
	if err != nil {
		return wire.MaxBody + 1
	}
	return len(b)
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
