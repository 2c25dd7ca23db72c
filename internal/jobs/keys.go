package jobs

import (
	"strconv"
	"strings"
)

// Key prefixes in the key-value store.
const (
	// RootPrefix is the prefix of all keys of wheatspur.
	RootPrefix = "w/"
	// JobPrefix is the prefix of the keys of job records.
	JobPrefix = RootPrefix + "job/"
	// ChunkPrefix is the prefix of the keys of chunk records.
	ChunkPrefix = RootPrefix + "task/"
	// TeamPrefix is the prefix of the keys of teams' quota shares.
	TeamPrefix = RootPrefix + "team/"
	// IntakePrefix is the prefix of the keys of intake records, which hold several new jobs each.
	IntakePrefix = RootPrefix + "intake/"
)

// JobKey returns the key of a job's record.
func JobKey(jobID string) string { return JobPrefix + jobID }

// ChunkKey returns the key of one chunk of a job's tasks.
func ChunkKey(jobID string, chunk int) string {
	return ChunkPrefix + jobID + "/" + strconv.Itoa(chunk)
}

// TeamKey returns the key of a team's quota shares (package quota).
func TeamKey(team string) string { return TeamPrefix + team }

// ParseChunkKey splits a chunk key into the job id and the chunk number.
func ParseChunkKey(key string) (jobID string, chunk int, ok bool) {
	jobID, number, ok := strings.Cut(strings.TrimPrefix(key, ChunkPrefix), "/")
	if !ok {
		return "", 0, false
	}
	chunk, err := strconv.Atoi(number)
	return jobID, chunk, err == nil
}
