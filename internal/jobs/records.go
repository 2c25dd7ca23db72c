// Package jobs holds what the state service stores about jobs, the state
// machines of jobs and tasks, and the intake checks.
package jobs

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

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
func JobKey(ref string) string { return JobPrefix + ref }

// ChunkKey is the key of one chunk of a job's tasks.
func ChunkKey(ref string, chunk int) string {
	return ChunkPrefix + ref + "/" + strconv.Itoa(chunk)
}

// TeamKey is the key that every claim of a team writes.
func TeamKey(team string) string { return TeamPrefix + team }

// ParseChunkKey splits a chunk key.
func ParseChunkKey(key string) (ref string, chunk int, ok bool) {
	ref, c, ok := strings.Cut(strings.TrimPrefix(key, ChunkPrefix), "/")
	if !ok {
		return "", 0, false
	}
	chunk, err := strconv.Atoi(c)
	return ref, chunk, err == nil
}

// Record is the stored form of a job. Final records drop what is no longer
// needed and are kept forever.
type Record struct {
	Phase  Phase      `cbor:"p"`
	At     int64      `cbor:"at"` // time of acceptance, Unix milliseconds
	Tasks  int        `cbor:"n"`
	Chunk  int        `cbor:"cs"`          // tasks per chunk
	Serial uint64     `cbor:"s,omitempty"` // raised by claims of jobs whose constraint spans chunks
	Work   *wire.Work `cbor:"w,omitempty"`
}

// IntakeRecord is the stored form of several jobs that were accepted in one
// change. It is written once. A job's own record, which the first change of the
// job writes, stands in its place.
type IntakeRecord struct {
	Jobs map[string]Record `cbor:"j"`
}

// recordBytes bounds the JSON of a job's record, all but its description.
const recordBytes = 160

// IntakeBytes bounds the JSON of a job in an intake record.
func IntakeBytes(w *wire.Work) int { return JSONSize(w) + recordBytes }

// Task is the stored form of one task.
type Task struct {
	_     struct{} `cbor:",toarray"`
	State State
	Try   uint64
	Host  string
	Stint uint64
	Errs  uint64
}

// ChunkRecord is the stored form of a run of tasks.
type ChunkRecord struct {
	Tasks []Task `cbor:"t"`
}

// TeamRecord shares a team's limit out to the members of one membership: what
// a node's machines may hold of the team's claims. The grants never sum to
// more than the limit, and a node's claims never to more than its grant.
type TeamRecord struct {
	Baton  uint64           `cbor:"b"`
	Frozen bool             `cbor:"f,omitempty"` // about to be shared out anew: nobody claims
	Grants map[string]Grant `cbor:"g,omitempty"` // by node
}

// Grant is a node's part of a team's limit.
type Grant struct {
	_    struct{} `cbor:",toarray"`
	CPUs float64
	GPUs float64
}

// Resources returns the grant as an amount.
func (g Grant) Resources() Resources { return Resources{CPUs: g.CPUs, GPUs: g.GPUs} }

// GrantOf turns an amount into a grant.
func GrantOf(r Resources) Grant { return Grant{CPUs: r.CPUs, GPUs: r.GPUs} }

// taskBytes bounds the JSON form of one stored task.
const taskBytes = 56

// ChunkSize returns the number of tasks per chunk record: as many as surely
// stay below the value limit, and few enough that several chunks fit one
// transaction.
func ChunkSize(valueKB float64) int {
	kb := min(valueKB, tuning.ChunkMaxKB)
	return max(1, int(kb*1024-128)/taskBytes)
}

// JSONSize is the size of a submission as the state service counts it.
func JSONSize(w *wire.Work) int {
	b, err := json.Marshal(w)
	if err != nil {
		return wire.MaxBody + 1
	}
	return len(b)
}

// Shard names a task the way workers do.
func Shard(ref string, task int) string { return ref + "/" + strconv.Itoa(task) }

// ParseShard splits a worker's task name.
func ParseShard(s string) (ref string, task int, ok bool) {
	ref, t, ok := strings.Cut(s, "/")
	if !ok {
		return "", 0, false
	}
	task, err := strconv.Atoi(t)
	return ref, task, err == nil && task >= 0
}

// ID names a task.
type ID struct {
	Ref  string
	Task int
}

func (id ID) String() string { return fmt.Sprintf("%s/%d", id.Ref, id.Task) }
