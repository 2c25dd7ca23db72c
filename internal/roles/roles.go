// Package roles is the role control of the design: for each machine type the
// leader moves single ordinary machines between the batch and the service
// role, toward an adjacent split, behind gates. It is pure.
package roles

// State of a type's controller.
type State string

// States.
const (
	Steady     State = "steady"     // no move is proposed
	Confirming State = "confirming" // a proposal waits for matching ones
)

// Event changes a controller's state.
type Event string

// Events.
const (
	Proposed Event = "proposed"
	Cleared  Event = "cleared"
	Moved    Event = "moved"
)

// Next is the one function that changes a controller's state.
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
	Consolidate Rule = "consolidation"
	Mixed       Rule = "mixed-pressure"
	Floor       Rule = "role-floor"
)

// Gate that blocks a proposal.
type Gate string

// Gates.
const (
	Open       Gate = ""
	NoGain     Gate = "margin"
	SourceBusy Gate = "source-load"
	AtFloor    Gate = "role-floor"
	Confirm    Gate = "confirmations"
	Cooldown   Gate = "cooldown"
	Evidence   Gate = "evidence-window"
	Rising     Gate = "rising-demand"
	NoRoom     Gate = "residents-do-not-fit"
	Advisory   Gate = "advisory"
)

// Proposal is one adjacent split that may be taken.
type Proposal struct {
	Direction Direction
	Rule      Rule
	Complete  bool
	Batch     int // split proposed
	Service   int
}

// Decision is the outcome of one evaluation, kept for operators.
type Decision struct {
	Type          string
	Batch         int
	Service       int
	BatchLoad     float64
	ServiceLoad   float64
	Short, Long   float64
	EvidenceOpen  bool
	Proposal      Proposal
	Confirmations int
	Gate          Gate
	Move          Direction
}
