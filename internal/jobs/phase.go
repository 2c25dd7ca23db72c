package jobs

import "fmt"

// Phase is the stored state of a job. Its transitions, all made by Phase.Next:
//
//	from     event         to         when
//	Waiting  JobReleased   Open       all jobs that it depends on are stored done
//	Waiting  JobCancel     Cancelled  its user asked, or a dependency is cancelled
//	Open     JobCancel     Cancelled  its user asked
//	Open     JobCompleted  Done       all of its tasks are stored completed
//
// A job starts Waiting if it depends on others, else Open. Done and Cancelled
// are final. JobReleased is never stored: see Waiting.
type Phase string

// Phases of a job.
const (
	Open Phase = "open"
	// Waiting is the phase of a job that depends on others. It stays stored until
	// the job ends: whether the job may start, or is cancelled with one that it
	// depends on, follows from the records of those (Table). Versions that do not
	// know the phase answer "queued" and never place such a job.
	Waiting   Phase = "waiting"
	Done      Phase = "done"
	Cancelled Phase = "cancelled"
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p == Done || p == Cancelled }

// JobEvent changes a job's phase.
type JobEvent string

// Events of a job; Phase says what they do.
const (
	JobCompleted JobEvent = "completed"
	JobCancel    JobEvent = "cancel"
	JobReleased  JobEvent = "released"
)

// Next returns the phase after an event. It is the one function that changes a
// job's phase.
func (p Phase) Next(event JobEvent) (Phase, error) {
	switch {
	case p == Open && event == JobCompleted:
		return Done, nil
	case (p == Open || p == Waiting) && event == JobCancel:
		return Cancelled, nil
	case p == Waiting && event == JobReleased:
		return Open, nil
	}
	return p, fmt.Errorf("job: no %s in phase %s", event, p)
}
