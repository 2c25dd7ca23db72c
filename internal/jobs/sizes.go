package jobs

import (
	"encoding/json"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// recordBytes bounds the JSON of a job's record, all but its description.
const recordBytes = 90

// IntakeBytes bounds the JSON of a job in an intake record.
func IntakeBytes(w *wire.JobSpec) int { return JSONSize(w) + recordBytes }

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
