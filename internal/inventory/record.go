package inventory

import (
	"fmt"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
)

// Key prefixes of machine records.
const (
	// GroupPrefix is the prefix of the keys of groups of machine records. With one record per
	// machine, the start of a cluster would use the whole write budget for a minute.
	GroupPrefix = jobs.RootPrefix + "fleet/"
	// SingleMachinePrefix is the prefix of the keys of an earlier layout with one record per
	// machine. Such a record is read, and moves into a group with its next change.
	SingleMachinePrefix = jobs.RootPrefix + "host/"
)

// GroupKey returns the key of a group of machine records.
func GroupKey(n int) string { return fmt.Sprintf("%s%06d", GroupPrefix, n) }

// Phase is the stored state of a machine.
type Phase string

// Phases of a machine.
const (
	Active     Phase = "in"       // takes tasks
	Draining   Phase = "draining" // takes no new tasks; terminated once it is empty
	Terminated Phase = "returned" // confirmed gone: every claim on it has ended
)

// PhaseEvent changes a machine's phase.
type PhaseEvent string

// Events of a machine.
const (
	EventDrain      PhaseEvent = "drain"
	EventTerminated PhaseEvent = "gone" // the cloud answered the termination, or lists the machine as failed
)

// Next returns the phase after an event. All changes of a machine's phase go through it.
func (p Phase) Next(event PhaseEvent) (Phase, error) {
	switch {
	case p == Active && event == EventDrain:
		return Draining, nil
	case event == EventTerminated:
		return Terminated, nil
	}
	return p, fmt.Errorf("machine: event %s is not allowed in phase %s", event, p)
}

// Record is the stored form of a machine.
type Record struct {
	MachineType string         `cbor:"r"`
	Zone        string         `cbor:"z"`
	Spot        bool           `cbor:"s,omitempty"`
	Role        placement.Role `cbor:"o"`
	Phase       Phase          `cbor:"p"`
	Reason      string         `cbor:"w,omitempty"` // reason for the last change, for operators
}

// Bounds on the sizes, in JSON form, of parts of a group.
const (
	recordOverheadBytes = 68 // a record without the machine's name, type and zone and the reason
	maxReasonBytes      = 60 // the part of a reason that is kept
	reasonOverheadBytes = 10 // what is added around a reason
)

// maxBytes bounds the size of the record in its group in JSON form, whatever its role and phase
// become. The reason is not counted: it is kept only where there is room.
func (r Record) maxBytes(machine string) int {
	return len(machine) + len(r.MachineType) + len(r.Zone) + recordOverheadBytes
}

// Group is the stored form of several machines.
type Group struct {
	Machines map[string]Record `cbor:"m"` // by name
}
