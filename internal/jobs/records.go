package jobs

import (
	"time"

	"wheatspur/wire"
)

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

// ChunkRecord is the stored form of a run of tasks.
type ChunkRecord struct {
	Tasks []Task `cbor:"t"`
}
