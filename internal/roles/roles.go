// Package roles decides for each machine type whether to move one on-demand machine between the
// batch and the service role. A Balancer compares the current split of the machines with the two
// splits that differ from it by one machine, and proposes a move; a proposal is carried out only
// while no gate blocks it. ServiceMachineToMove and BatchMachineToMove choose the machine.
//
// The package has no side effects: demand, machines and the current time are inputs, and a decision
// is the output. Package leader stores the machine's new role; the scheduler then moves service
// tasks off a machine that has left the service role. Spot machines are always batch machines.
package roles

// State is the state of a Balancer.
type State string

// States.
const (
	Steady     State = "steady"     // no move is proposed
	Confirming State = "confirming" // the same proposal must be repeated before the move
)

// Event is an event that changes the state of a Balancer.
type Event string

// Events.
const (
	Proposed Event = "proposed" // a move is eligible
	Cleared  Event = "cleared"  // no move is eligible
	Moved    Event = "moved"    // a move was decided
)

// Next returns the state after an event. All state changes of a Balancer go through it.
func (s State) Next(e Event) State {
	if e == Proposed {
		return Confirming
	}
	return Steady
}

// Direction is the direction of a move.
type Direction string

// Directions.
const (
	None      Direction = ""
	ToBatch   Direction = "service-to-batch"
	ToService Direction = "batch-to-service"
)

// Rule is the rule that makes a move eligible.
type Rule string

// Rules.
const (
	RuleConsolidate   Rule = "consolidation"  // the source role stays lightly loaded
	RuleMixedPressure Rule = "mixed-pressure" // the service role stays loaded, but batch work waits too long
	RuleFloor         Rule = "role-floor"     // the target role is below its floor
)

// Gate is a condition that blocks a move.
type Gate string

// Gates.
const (
	GateOpen       Gate = ""                     // nothing blocks the move
	GateNoGain     Gate = "margin"               // the worse load of the two roles would fall too little
	GateSourceBusy Gate = "source-load"          // the source role would be left with too much load
	GateAtFloor    Gate = "role-floor"           // the source role has no machine to spare
	GateConfirm    Gate = "confirmations"        // too few equal proposals in a row
	GateCooldown   Gate = "cooldown"             // the last move to the service role was too recent
	GateEvidence   Gate = "evidence-window"      // too few service arrivals were observed
	GateRising     Gate = "rising-demand"        // service demand is rising
	GateNoRoom     Gate = "residents-do-not-fit" // the machine's tasks have no room on other machines
	GateAdvisory   Gate = "advisory"             // advisory mode is on: decisions are recorded, but not carried out
)

// Proposal is a move of one machine that is eligible, and the split that it leads to.
type Proposal struct {
	Direction      Direction
	Rule           Rule
	DemandComplete bool // the demand of all controllers was known
	Batch          int  // batch machines after the move
	Service        int  // service machines after the move
}

// Decision is the result of one evaluation. The leader keeps the last one to show it to operators.
type Decision struct {
	MachineType         string
	Batch               int     // batch machines that are up
	Service             int     // service machines that are up
	BatchLoad           float64 // time to work off the queued batch work, over the start-time target
	ServiceLoad         float64 // service demand over usable service capacity
	ShortRate, LongRate float64 // service load that arrived per second over the short and the long window
	EvidenceOpen        bool    // the evidence window has not closed yet
	Proposal            Proposal
	Confirmations       int       // equal proposals in a row, including this one
	Gate                Gate      // what blocks the proposal, or why there is none
	Move                Direction // the move to carry out, or None
}
