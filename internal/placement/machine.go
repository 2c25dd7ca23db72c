// This file holds a machine as the pass sees it, and what it would cost a task to start there.

package placement

import (
	"math"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Role of a machine.
type Role string

// Roles.
const (
	Batch   Role = "batch"
	Service Role = "service"
)

// ClaimedTask is a claimed task on a machine.
type ClaimedTask struct {
	ID           jobs.TaskID
	Job          *jobs.Job
	Stopping     bool
	RunningSince time.Time // since when it runs, as its machine's owner knows; zero: it does not, or nobody knows here

	preempted bool // Stopping was set by the pass
}

// Machine is a machine as the pass sees it.
type Machine struct {
	Name, Type, Zone, Owner string
	Spot                    bool
	Role                    Role
	Schedulable             bool // takes new tasks
	Incarnation             uint64
	Total                   jobs.Resources
	Free                    jobs.Resources // not claimed
	Freeing                 jobs.Resources // claimed by tasks that are being stopped
	Images                  []string       // held
	FetchGBPerS             float64        // 0: not known
	Tasks                   []ClaimedTask

	imagePulls  []imagePull // images that its tasks wait for
	placedTasks int         // tasks placed on it in this pass
	preempting  bool        // the pass stops some of its tasks
	changed     bool        // the pass has changed it
	snapshot    machineSnapshot
	pool        *pool
}

// machineSnapshot is what a machine was like before a pass began to place on it.
type machineSnapshot struct {
	free, freeing  jobs.Resources
	imagePulls     int
	lowestPriority int // the lowest rank, as a number, of the tasks that could be stopped; -1: none
}

// freeTaskSlots is how many more tasks the machine's reports can name.
func (m *Machine) freeTaskSlots() int { return tuning.TasksPerMachine - len(m.Tasks) - m.placedTasks }

// imagePull is an image that a machine is to fetch.
type imagePull struct {
	image  string
	sizeGB float64
}

// HasImage reports whether the machine holds an image.
func (m *Machine) HasImage(image string) bool {
	for _, im := range m.Images {
		if im == image {
			return true
		}
	}
	return false
}

// Snapshot takes the machine's room, tasks and images, as its fields hold them, for
// what the next passes begin with.
func (m *Machine) Snapshot() {
	m.imagePulls, m.placedTasks, m.preempting = m.imagePulls[:0], 0, false
	worst := -1
	for i := range m.Tasks {
		r := &m.Tasks[i]
		r.preempted = false
		m.addImagePull(r.Job.Record.Spec)
		if r.Job.Record.Spec != nil && !r.Stopping {
			worst = max(worst, r.Job.Priority)
		}
	}
	m.snapshot = machineSnapshot{m.Free, m.Freeing, len(m.imagePulls), worst}
	if m.pool != nil {
		m.pool.stale = true
	}
}

// SetSchedulable notes whether the machine takes new tasks.
func (m *Machine) SetSchedulable(open bool) {
	if m.Schedulable != open {
		m.Schedulable = open
		m.pool.stale = true
	}
}

// rollback undoes what a pass did to the machine.
func (m *Machine) rollback() {
	m.changed, m.pool.stale = false, true
	m.Free, m.Freeing = m.snapshot.free, m.snapshot.freeing
	m.imagePulls, m.placedTasks = m.imagePulls[:m.snapshot.imagePulls], 0
	if !m.preempting {
		return
	}
	m.preempting = false
	for i := range m.Tasks {
		if r := &m.Tasks[i]; r.preempted {
			r.Stopping, r.preempted = false, false
		}
	}
}

// addImagePull notes that a task with this image is on the machine or comes to it.
func (m *Machine) addImagePull(w *wire.JobSpec) {
	if w == nil || m.HasImage(w.Image) {
		return
	}
	for _, p := range m.imagePulls {
		if p.image == w.Image {
			return
		}
	}
	m.imagePulls = append(m.imagePulls, imagePull{w.Image, w.ImageGB})
}

// imageWaitBucketS is the difference in expected fetch time, in seconds, below
// which two machines count as equal and the least free room decides.
const imageWaitBucketS = 2.0

// imageWait is the expected time until the machine has the job's image, in buckets:
// nothing if it holds it, else the fetch together with those under way, which
// share the machine's rate.
func (m *Machine) imageWait(j *jobs.Job) float64 {
	w := j.Record.Spec
	if m.HasImage(w.Image) {
		return 0
	}
	rate := m.FetchGBPerS
	if rate <= 0 {
		rate = 1
	}
	gb := w.ImageGB
	for _, p := range m.imagePulls {
		if p.image == w.Image {
			gb -= w.ImageGB / 2 // joins a fetch that is under way
		} else {
			gb += p.sizeGB
		}
	}
	return math.Ceil(gb / rate / imageWaitBucketS)
}
