package inventory

import (
	"fmt"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
)

// Key prefixes of machine records.
const (
	// GroupPrefix starts the keys of groups of machine records: a record for
	// each machine would take the whole budget of writes for a minute when a
	// cluster starts.
	GroupPrefix = jobs.Root + "fleet/"
	// SingleMachinePrefix starts the keys of an earlier layout, one record a machine.
	// Such a record is read, and moves into a group with its next change.
	SingleMachinePrefix = jobs.Root + "host/"
)

// GroupKey is the key of a group of machine records.
func GroupKey(n int) string { return fmt.Sprintf("%s%06d", GroupPrefix, n) }

// Phase is the stored state of a machine.
type Phase string

// Phases of a machine.
const (
	Active     Phase = "in"       // takes tasks
	Draining   Phase = "draining" // takes no new tasks; terminated once it is empty
	Terminated Phase = "returned" // surely gone: every claim on it has ended
)

// PhaseEvent changes a machine's phase.
type PhaseEvent string

// Events of a machine.
const (
	EventDrain      PhaseEvent = "drain"
	EventTerminated PhaseEvent = "gone" // the cloud answered the termination, or lists the machine as failed
)

// Next is the one function that changes a machine's phase.
func (p Phase) Next(event PhaseEvent) (Phase, error) {
	switch {
	case p == Active && event == EventDrain:
		return Draining, nil
	case event == EventTerminated:
		return Terminated, nil
	}
	return p, fmt.Errorf("machine: no %s in phase %s", event, p)
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

// Bounds of the JSON form of a record in its group.
const (
	recordBytes    = 68 // all but the machine's name, type, zone and the reason
	reasonMaxBytes = 60 // of a reason, the part that is kept
	reasonOverhead = 10 // around a reason
)

// maxBytes bounds the JSON form of the record in its group, whatever its role
// and phase become. The reason is not counted: it is kept where there is room.
func (r Record) maxBytes(machine string) int {
	return len(machine) + len(r.MachineType) + len(r.Zone) + recordBytes
}

// Group is the stored form of several machines.
type Group struct {
	Machines map[string]Record `cbor:"m"` // by name
}
