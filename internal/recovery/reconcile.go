// Package recovery reconciles what the state service has stored with what the
// workers report, above all when every controller starts anew: it says what
// becomes of each task, in which order and how fast orders go out, and when a
// node knows its machines again.
//
// The table of docs/design/recovery.md is Reconcile; ordinary operation uses the
// same. The package is pure.
package recovery

// Claim is the stored state of a task on a machine.
type Claim struct {
	Stored    bool // the task is claimed for this machine
	Open      bool // and its job is neither done nor cancelled
	Cancelled bool // its job is cancelled
	Attempt   uint64
	Session   uint64 // of the machine's worker that the claim is for
}

// TaskState is the state of a task in a worker's report.
type TaskState int

// States of a task in a report.
const (
	NotListed TaskState = iota
	Alive               // it waits for its image, runs or saves
	Saving              // it was told to stop and saves
	Exited
)

// ExitCause is why a task is over, as far as it matters.
type ExitCause int

// Causes of an exit.
const (
	ExitOther ExitCause = iota // stopped, or refused: it may start again
	ExitDone
	ExitFailed
)

// Listed is a task in a worker's newest report.
type Listed struct {
	State   TaskState
	Attempt uint64
	Cause   ExitCause // of Exited
}

// SessionState is what the owner of a machine knows of its worker's session.
type SessionState int

// States of a session.
const (
	Unproven SessionState = iota // commands of former owners may be under way
	Proven                       // the worker has shown our token
	Ended                        // its lease has ended for certain
)

// Session is the worker's session, and what may be under way to it.
type Session struct {
	Number    uint64
	State     SessionState
	MayStart  bool // this node may send starts: it reads the state service
	StartHeld bool // a direct start of the listed attempt may yet arrive
	NeverRan  bool // the claimed attempt has not begun, and can't without a new start
	Stopping  bool // the task is wanted off the machine
}

// Stop is the order that ends something on a machine.
type Stop int

// Orders that end something.
const (
	NoStop     Stop = iota
	Kill            // the task ends at once
	KillSaving      // the task may save before it ends
	Reap            // an exited task leaves the reports
)

// Record is the change of the stored state that the report proves.
type Record int

// Changes of the stored state.
const (
	NoRecord     Record = iota
	RecordDone          // the task is done
	RecordFailed        // it failed and starts again later
	RecordFree          // the claim ends; the task starts again
)

// Reason says why a claim ends.
type Reason string

// Reasons for the end of a claim.
const (
	ReasonNone         Reason = ""
	ReasonLeaseEnded   Reason = "lease ended"
	ReasonNewSession   Reason = "new session"
	ReasonExited       Reason = "exited"
	ReasonNeverStarted Reason = "never started"
)

// Decision is what becomes of one task on one machine. Without any part of it,
// the task is kept as it is, or waited for.
type Decision struct {
	Stop   Stop
	Start  bool
	Record Record
	Reason Reason // of Record
}

// Adopted reports whether a task that is alive is left running.
func (d Decision) Adopted(l Listed) bool {
	return (l.State == Alive || l.State == Saving) && d.Stop == NoStop && d.Record == NoRecord
}

// Reconcile decides what becomes of a task on a machine.
func Reconcile(c Claim, l Listed, s Session) Decision {
	d := Orders(c, l, s)
	d.Record, d.Reason = Proof(c, l, s)
	return d
}

// Orders decides what the worker is told.
func Orders(c Claim, l Listed, s Session) Decision {
	if s.State == Ended {
		return Decision{} // nothing that is sent would be carried out
	}
	wanted := c.Stored && c.Open && c.Session == s.Number
	same := c.Stored && l.Attempt == c.Attempt
	reap := s.State == Proven && !s.StartHeld
	switch {
	case wanted && (l.State == NotListed || l.Attempt < c.Attempt):
		d := Decision{Start: s.MayStart}
		if l.State == Exited && reap {
			d.Stop = Reap
		} else if l.State == Alive || l.State == Saving {
			d.Stop = Kill
		}
		return d
	case l.State == NotListed:
		return Decision{}
	case l.State == Exited:
		// Only once its end is stored: then no claim names the attempt. Guards
		// against a late start that runs a forgotten attempt again.
		if !same && reap {
			return Decision{Stop: Reap}
		}
		return Decision{}
	case wanted && same:
		if s.Stopping && l.State != Saving {
			return Decision{Stop: KillSaving}
		}
		return Decision{}
	}
	// No stored claim covers it, or its job is over.
	return Decision{Stop: Kill}
}

// Proof decides what is stored: only what the report, or the end of the session,
// proves.
func Proof(c Claim, l Listed, s Session) (Record, Reason) {
	switch {
	case !c.Stored:
		return NoRecord, ReasonNone
	case s.State == Ended && c.Session <= s.Number:
		return RecordFree, ReasonLeaseEnded
	case s.State != Proven:
		return NoRecord, ReasonNone // a former owner's commands may still be under way
	case c.Session < s.Number:
		return RecordFree, ReasonNewSession
	case l.State == Exited && l.Attempt == c.Attempt:
		return recordOf(l.Cause), ReasonExited
	case c.Cancelled && (l.State == NotListed || l.Attempt < c.Attempt) && s.NeverRan:
		// Nobody starts a cancelled job's task any more. Guards against a claim
		// that counted against its team, and filled its machine, for as long as
		// the machine's session lasted.
		return RecordFree, ReasonNeverStarted
	}
	return NoRecord, ReasonNone
}

// recordOf is the change that an exit leads to.
func recordOf(cause ExitCause) Record {
	switch cause {
	case ExitDone:
		return RecordDone
	case ExitFailed:
		return RecordFailed
	}
	return RecordFree
}
