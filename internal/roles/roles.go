// Package roles is the role control of the design: for each machine type the
// leader moves single on-demand machines between the batch and the service role,
// toward an adjacent split, behind gates. It owns the decision whether to move one
// (Controller) and the choice of that machine (Victim, Emptiest).
//
// The package is pure: demand, machines and the time go in, a decision comes out.
// The leader, in package controller, carries a move out and drains the machine.
// Spot machines are batch only and never move.
package roles

// State of the role controller of a machine type.
type State string

// States.
const (
	Steady     State = "steady"     // no move is proposed
	Confirming State = "confirming" // a proposal waits for matching ones
)

// Event changes a role controller's state.
type Event string

// Events.
const (
	Proposed Event = "proposed" // a split is eligible
	Cleared  Event = "cleared"  // none is
	Moved    Event = "moved"    // a machine is moved
)

// Next is the one function that changes a role controller's state.
func (s State) Next(e Event) State {
	if e == Proposed {
		return Confirming
	}
	return Steady
}

// Direction of a move.
type Direction string

// Directions.
const (
	None      Direction = ""
	ToBatch   Direction = "service-to-batch"
	ToService Direction = "batch-to-service"
)

// Rule that makes a move eligible.
type Rule string

// Rules.
const (
	Consolidate Rule = "consolidation"  // the source stays lightly loaded
	Mixed       Rule = "mixed-pressure" // the source stays busy, and batch work waits too long
	Floor       Rule = "role-floor"     // a role has no machine
)

// Gate that blocks a proposal.
type Gate string

// Gates.
const (
	Open       Gate = ""                     // nothing blocks it
	NoGain     Gate = "margin"               // the worst load would fall too little
	SourceBusy Gate = "source-load"          // the source would be left too busy
	AtFloor    Gate = "role-floor"           // the source has no machine to spare
	Confirm    Gate = "confirmations"        // too few matching proposals in a row
	Cooldown   Gate = "cooldown"             // the last move to service was lately
	Evidence   Gate = "evidence-window"      // too little is known of service arrivals
	Rising     Gate = "rising-demand"        // service demand rises
	NoRoom     Gate = "residents-do-not-fit" // the machine's tasks have no room elsewhere
	Advisory   Gate = "advisory"             // operators let nothing move
)

// Proposal is one adjacent split that may be taken.
type Proposal struct {
	Direction Direction
	Rule      Rule
	Complete  bool // demand evidence is complete
	Batch     int  // machines per role of the split proposed
	Service   int
}

// Decision is the outcome of one evaluation, kept for operators.
type Decision struct {
	Type          string // of the machines
	Batch         int    // machines per role that are up
	Service       int
	BatchLoad     float64 // see Split
	ServiceLoad   float64
	Short, Long   float64 // arriving service load per second, over the short and the long window
	EvidenceOpen  bool    // the evidence window has not closed yet
	Proposal      Proposal
	Confirmations int  // matching proposals in a row, with this one
	Gate          Gate // what blocks the proposal, or why there is none
	Move          Direction
}
