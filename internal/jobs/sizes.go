package jobs

import (
	"encoding/json"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// The key-value store limits the size of a value in its JSON form. What is stored
// under such a limit was measured by these functions, so their results never
// change for the same input.

// recordBytes bounds the JSON form of a job's record, all but its description.
const recordBytes = 90

// Bytes of the JSON form of a chunk record.
const (
	chunkBase        = 16 // all but its tasks
	taskBase         = 13 // of a task all but its numbers and its machine's name, with a space after each comma
	taskBytes        = 31 // a task on a machine with a name of the protocol's form
	compactTaskBytes = 28 // the same, without spaces
)

// JSONSize is the size of a submission as the key-value store counts it.
func JSONSize(spec *wire.JobSpec) int {
	b, err := json.Marshal(spec)
	if err != nil {
		return wire.MaxBody + 1 // what can't be encoded is too large for every limit
	}
	return len(b)
}

// IntakeBytes bounds the JSON form of a job in an intake record.
func IntakeBytes(spec *wire.JobSpec) int { return JSONSize(spec) + recordBytes }

// ChunkSize returns the number of tasks per chunk record: as many as fit the
// value limit when all are claimed, and few enough that several chunks fit one
// transaction. Claims that would make a chunk too large for other reasons, such
// as long names, are left out (Bytes).
func ChunkSize(valueKB float64) int {
	return min(max(1, int(valueKB*tuning.BytesPerKB-chunkBase)/taskBytes), tuning.ChunkMax)
}

// MinValueBytes is the value limit, in bytes, that full chunk records need which
// were written under a limit, with names of the protocol's form.
func MinValueBytes(valueKB float64) int { return ChunkSize(valueKB)*compactTaskBytes + chunkBase }

// Bytes bounds the JSON form of the record.
func (c ChunkRecord) Bytes() int {
	size := chunkBase
	for _, t := range c.Tasks {
		size += taskBase + len(t.Machine) + digits(t.Attempt) + digits(t.Incarnation) + digits(t.Failures)
	}
	return size
}

// ClaimBytes bounds what a claim adds to the JSON form of its chunk's record.
func ClaimBytes(claim TaskEvent) int { return len(claim.Machine) + digits(claim.Incarnation) + 1 }

// digits is the length of a number in decimal form.
func digits(v uint64) int {
	n := 1
	for ; v > 9; v /= 10 {
		n++
	}
	return n
}
