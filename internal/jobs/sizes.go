package jobs

import (
	"encoding/json"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// The key-value store limits the size of a value in its JSON form. Values that are already stored
// were sized with these functions, so their results must never change for the same input.

// recordOverheadBytes bounds the JSON form of a job's record without its spec.
const recordOverheadBytes = 90

// Sizes of parts of a chunk record in JSON form.
const (
	chunkOverheadBytes = 16 // the record without its tasks
	taskOverheadBytes  = 13 // a task without its numbers and its machine's name, with a space after each comma
	taskBytes          = 31 // a task on a machine whose name has the protocol's form
	compactTaskBytes   = 28 // the same, without spaces
)

// SpecJSONBytes returns the size of a submission as the key-value store counts it.
func SpecJSONBytes(spec *wire.JobSpec) int {
	b, err := json.Marshal(spec)
	if err != nil {
		return wire.MaxBody + 1 // a submission that can't be encoded exceeds every limit
	}
	return len(b)
}

// MaxIntakeBytes bounds the JSON form of a job in an intake record.
func MaxIntakeBytes(spec *wire.JobSpec) int { return SpecJSONBytes(spec) + recordOverheadBytes }

// MaxTasksPerChunk returns the number of tasks per chunk record: as many as fit the value limit when
// all of them are claimed, and few enough that several chunks fit in one transaction. Claims that
// would make a chunk too large for other reasons, such as long names, are left out (MaxJSONBytes).
func MaxTasksPerChunk(valueKB float64) int {
	return min(max(1, int(valueKB*tuning.BytesPerKB-chunkOverheadBytes)/taskBytes), tuning.ChunkMax)
}

// MinValueBytes returns the value limit, in bytes, that is needed to store full chunk records that
// were sized for a limit of valueKB, with machine names of the protocol's form.
func MinValueBytes(valueKB float64) int {
	return MaxTasksPerChunk(valueKB)*compactTaskBytes + chunkOverheadBytes
}

// MaxJSONBytes bounds the size of the record in JSON form.
func (c ChunkRecord) MaxJSONBytes() int {
	size := chunkOverheadBytes
	for _, t := range c.Tasks {
		size += taskOverheadBytes + len(t.Machine) + digits(t.Attempt) + digits(t.Incarnation) + digits(t.Failures)
	}
	return size
}

// MaxClaimBytes bounds the number of bytes that a claim adds to the JSON form of its chunk record.
func MaxClaimBytes(claim TaskEvent) int { return len(claim.Machine) + digits(claim.Incarnation) + 1 }

// digits returns the number of decimal digits of v.
func digits(v uint64) int {
	n := 1
	for ; v > 9; v /= 10 {
		n++
	}
	return n
}
