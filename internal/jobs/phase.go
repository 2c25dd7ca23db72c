package jobs

import "fmt"

// Phase is the stored state of a job.
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

// Events of a job.
const (
	JobCompleted JobEvent = "completed" // all tasks are stored done
	JobCancel    JobEvent = "cancel"    // its user asked, or a job that it depends on is cancelled
	JobReleased  JobEvent = "released"  // all jobs that it depends on are stored done
)

// Next is the one function that changes a job's phase.
func (p Phase) Next(e JobEvent) (Phase, error) {
	switch {
	case p == Open && e == JobCompleted:
		return Done, nil
	case (p == Open || p == Waiting) && e == JobCancel:
		return Cancelled, nil
	case p == Waiting && e == JobReleased:
		return Open, nil
	}
	return p, fmt.Errorf("job: no %s in phase %s", e, p)
}
