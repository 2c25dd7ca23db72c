package inventory

import (
	"fmt"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
)

// Phase is the stored state of a machine.
type Phase string

// Phases of a machine.
const (
	Active     Phase = "in"       // takes tasks
	Draining   Phase = "draining" // takes no new tasks; goes back when empty
	Terminated Phase = "returned" // surely gone: proof for every claim on it
)

// Event changes a machine's phase.
type Event string

// Events of a machine.
const (
	EventDrain      Event = "drain"
	EventTerminated Event = "gone" // return answered, or listed as failed
)

// Next is the one function that changes a machine's phase.
func (p Phase) Next(e Event) (Phase, error) {
	switch {
	case p == Active && e == EventDrain:
		return Draining, nil
	case e == EventTerminated:
		return Terminated, nil
	}
	return p, fmt.Errorf("machine: no %s in phase %s", e, p)
}

// Record is the stored form of a machine.
type Record struct {
	MachineType string         `cbor:"r"`
	Zone        string         `cbor:"z"`
	Spot        bool           `cbor:"s,omitempty"`
	Role        placement.Role `cbor:"o"`
	Phase       Phase          `cbor:"p"`
	Reason      string         `cbor:"w,omitempty"` // of the last change, for operators
}

// bytes bounds the JSON form of the record in its group, whatever becomes of
// its role and phase; the reason is kept where there is room.
func (r Record) bytes(host string) int {
	return len(host) + len(r.MachineType) + len(r.Zone) + recordBytes
}

const (
	recordBytes    = 68 // all but the names and the reason
	reasonMax      = 60 // bytes of a reason that are kept
	reasonOverhead = 10 // around it
)

// Group is the stored form of several machines.
type Group struct {
	Machines map[string]Record `cbor:"m"`
}

// Key prefixes of machine records.
const (
	// GroupPrefix starts the keys of groups of machine records: a record for
	// each machine would take the whole budget of changes for a minute when a
	// fleet starts.
	GroupPrefix = jobs.Root + "fleet/"
	// SingleMachinePrefix starts the keys of an earlier layout, one record a machine.
	// Such a record is read, and moves into a group with its next change.
	SingleMachinePrefix = jobs.Root + "host/"
)

// GroupKey is the key of a group of machine records.
func GroupKey(n int) string { return fmt.Sprintf("%s%06d", GroupPrefix, n) }
