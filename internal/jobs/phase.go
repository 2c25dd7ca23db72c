package jobs

import "fmt"

// Phase is the stored state of a job. Its transitions, all made by Phase.Next:
//
//	from     event          to         when
//	Waiting  EventRelease   Open       all its dependencies are stored as done
//	Waiting  EventCancel    Cancelled  its user cancelled it, or a dependency is cancelled
//	Open     EventCancel    Cancelled  its user cancelled it
//	Open     EventComplete  Done       all its tasks are stored as completed
//
// A job starts as Waiting if it depends on other jobs, otherwise as Open. Done and Cancelled are
// final. The result of EventRelease is never stored: see Waiting.
type Phase string

// Phases of a job.
const (
	Open Phase = "open"
	// Waiting is the phase of a job that depends on others. It stays stored until the job ends: whether
	// the job may start, or is cancelled along with a dependency, is derived from the records of its
	// dependencies (Table). Versions that don't know this phase report such a job as "queued" and
	// never place it.
	Waiting   Phase = "waiting"
	Done      Phase = "done"
	Cancelled Phase = "cancelled"
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p == Done || p == Cancelled }

// JobEvent changes a job's phase.
type JobEvent string

// Events of a job. Phase lists the transitions that they make.
const (
	EventComplete JobEvent = "completed"
	EventCancel   JobEvent = "cancel"
	EventRelease  JobEvent = "released"
)

// Next returns the phase after an event. All changes of a job's phase go through it.
func (p Phase) Next(event JobEvent) (Phase, error) {
	switch {
	case p == Open && event == EventComplete:
		return Done, nil
	case (p == Open || p == Waiting) && event == EventCancel:
		return Cancelled, nil
	case p == Waiting && event == EventRelease:
		return Open, nil
	}
	return p, fmt.Errorf("job: event %s is not allowed in phase %s", event, p)
}
