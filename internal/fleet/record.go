package fleet

import (
	"fmt"

	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/wire"
)

// HostPrefix starts the keys of machine records.
const HostPrefix = jobs.Root + "host/"

// HostKey is the key of a machine's record.
func HostKey(host string) string { return HostPrefix + host }

// Phase is the stored state of a machine.
type Phase string

// Phases of a machine.
const (
	In       Phase = "in"       // takes tasks
	Draining Phase = "draining" // takes no new tasks; goes back when empty
	Returned Phase = "returned" // surely gone: proof for every claim on it
)

// HostEvent changes a machine's phase.
type HostEvent string

// Events of a machine.
const (
	Drain HostEvent = "drain"
	Gone  HostEvent = "gone" // return answered, or listed as failed
)

// Next is the one function that changes a machine's phase.
func (p Phase) Next(e HostEvent) (Phase, error) {
	switch {
	case p == In && e == Drain:
		return Draining, nil
	case e == Gone:
		return Returned, nil
	}
	return p, fmt.Errorf("machine: no %s in phase %s", e, p)
}

// Record is the stored form of a machine.
type Record struct {
	Rig   string     `cbor:"r"`
	Plot  string     `cbor:"z"`
	Spot  bool       `cbor:"s,omitempty"`
	Role  place.Role `cbor:"o"`
	Phase Phase      `cbor:"p"`
	Why   string     `cbor:"w,omitempty"` // of the last change, for operators
}

// DecodeRecord reads a machine record.
func DecodeRecord(raw wire.Raw) (Record, error) {
	var r Record
	err := wire.Unmarshal(raw, &r)
	return r, err
}
