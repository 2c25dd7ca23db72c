package jobs

import (
	"time"

	"wheatspur/wire"
)

// Record is the stored form of a job. A final record omits what is no longer needed and is kept
// forever, so that a repeated submission is answered with the outcome of the first.
type Record struct {
	Phase                 Phase         `cbor:"p"`
	AcceptedAtMs          int64         `cbor:"at"` // time of acceptance, Unix milliseconds
	Tasks                 int           `cbor:"n"`
	TasksPerChunk         int           `cbor:"cs"`          // tasks per chunk, fixed at acceptance
	ClaimSerial           uint64        `cbor:"s,omitempty"` // incremented by every claim of a job with ZoneConstraintSpansChunks, so that concurrent claims conflict
	Spec                  *wire.JobSpec `cbor:"w,omitempty"`
	EndedAtMs             int64         `cbor:"e,omitempty"` // time at which the job ended, Unix milliseconds; of a final record only
	CancelledByDependency string        `cbor:"v,omitempty"` // the dependency whose cancellation cancelled the job
}

// Cancel returns the job's record after a cancellation by its user. It keeps only the part of the
// spec that the job's claims still need: an old spec as a whole may exceed the current value limit
// of the key-value store.
func (r Record) Cancel(now time.Time) (Record, error) {
	phase, err := r.Phase.Next(EventCancel)
	if err != nil {
		return r, err
	}
	r.Phase, r.EndedAtMs = phase, now.UnixMilli()
	if s := r.Spec; s != nil {
		r.Spec = &wire.JobSpec{ID: s.ID, Team: s.Team, Kind: s.Kind, Priority: s.Priority, Tasks: s.Tasks,
			CPUs: s.CPUs, GPUs: s.GPUs, RAMGB: s.RAMGB}
	}
	return r, nil
}

// IntakeRecord is the stored form of several jobs that were accepted in one write. It is never
// modified: the first change of a job writes a record of the job's own, which takes precedence.
type IntakeRecord struct {
	Jobs map[string]Record `cbor:"j"`
}

// ChunkRecord is the stored form of a chunk: TasksPerChunk tasks of a job with consecutive numbers.
// The tasks of a chunk without a record are pending and have never been claimed.
type ChunkRecord struct {
	Tasks []Task `cbor:"t"`
}
