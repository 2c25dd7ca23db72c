package jobs

import (
	"time"

	"wheatspur/wire"
)

// Record is the stored form of a job. Final records drop what is no longer
// needed and are kept forever, so that a repeated submission is answered with
// the outcome of the first.
type Record struct {
	Phase         Phase         `cbor:"p"`
	AcceptedAtMs  int64         `cbor:"at"` // time of acceptance, Unix milliseconds
	Tasks         int           `cbor:"n"`
	ChunkSize     int           `cbor:"cs"`          // tasks per chunk, fixed at acceptance
	ClaimSerial   uint64        `cbor:"s,omitempty"` // raised by every claim of a job that SpansChunks, so that concurrent claims conflict
	Spec          *wire.JobSpec `cbor:"w,omitempty"`
	EndedAtMs     int64         `cbor:"e,omitempty"` // of a final record: time of the end, Unix milliseconds
	CancelledWith string        `cbor:"v,omitempty"` // the job with which it was cancelled
}

// Cancel returns the record of the job after its user has cancelled it. Of
// the description only what its claims still need stays: the whole of an old
// one may be larger than the value limit of the key-value store is now.
func (r Record) Cancel(now time.Time) (Record, error) {
	phase, err := r.Phase.Next(JobCancel)
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

// IntakeRecord is the stored form of several jobs that were accepted in one
// write. It is never changed: the first change of a job writes a record of its
// own, which takes precedence.
type IntakeRecord struct {
	Jobs map[string]Record `cbor:"j"`
}

// ChunkRecord is the stored form of a chunk: ChunkSize tasks of a job with
// consecutive numbers. A chunk without a record holds new tasks.
type ChunkRecord struct {
	Tasks []Task `cbor:"t"`
}
