package jobs

import (
	"strconv"
	"strings"
)

// Key prefixes in the key-value store.
const (
	// Root starts every key of wheatspur.
	Root = "w/"
	// JobPrefix starts the keys of job records.
	JobPrefix = Root + "job/"
	// ChunkPrefix starts the keys of chunk records.
	ChunkPrefix = Root + "task/"
	// TeamPrefix starts the keys of teams' quota shares.
	TeamPrefix = Root + "team/"
	// IntakePrefix starts the keys of records that hold several new jobs.
	IntakePrefix = Root + "intake/"
)

// JobKey is the key of a job's record.
func JobKey(jobID string) string { return JobPrefix + jobID }

// ChunkKey is the key of one chunk of a job's tasks.
func ChunkKey(jobID string, chunk int) string {
	return ChunkPrefix + jobID + "/" + strconv.Itoa(chunk)
}

// TeamKey is the key of a team's quota shares (package quota).
func TeamKey(team string) string { return TeamPrefix + team }

// ParseChunkKey splits a chunk key.
func ParseChunkKey(key string) (jobID string, chunk int, ok bool) {
	jobID, number, ok := strings.Cut(strings.TrimPrefix(key, ChunkPrefix), "/")
	if !ok {
		return "", 0, false
	}
	chunk, err := strconv.Atoi(number)
	return jobID, chunk, err == nil
}
