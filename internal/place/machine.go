// This file holds a machine as the pass sees it, and what it would cost a task to start there.

package place

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

// Resident is a claimed task on a machine.
type Resident struct {
	ID       jobs.TaskID
	Job      *jobs.Job
	Stopping bool
	Began    time.Time // since when it runs, as its machine's owner knows; zero: it does not, or nobody knows here

	evicted bool // Stopping was set by the pass
}

// Machine is a machine as the pass sees it.
type Machine struct {
	Name, Type, Zone, Owner string
	Spot                    bool
	Role                    Role
	Open                    bool // takes new tasks
	Session                 uint64
	Total                   jobs.Resources
	Free                    jobs.Resources // not claimed
	Freeing                 jobs.Resources // claimed by tasks that are being stopped
	Images                  []string       // held
	FetchGBPerS             float64        // 0: not known
	Tasks                   []Resident

	pulls   []pull // images that its tasks wait for
	placed  int    // tasks placed on it in this pass
	evicts  bool   // the pass stops some of its tasks
	changed bool   // the pass has changed it
	entered entered
	pool    *pool
}

// entered is what a machine was like before a pass began to place on it.
type entered struct {
	free, freeing jobs.Resources
	pulls         int
	worst         int // the lowest rank, as a number, of the tasks that could be stopped; -1: none
}

// slots is how many more tasks the machine's reports can name.
func (m *Machine) slots() int { return tuning.TasksPerMachine - len(m.Tasks) - m.placed }

// pull is an image that a machine is to fetch.
type pull struct {
	image string
	gb    float64
}

// Holds reports whether the machine holds an image.
func (m *Machine) Holds(image string) bool {
	for _, im := range m.Images {
		if im == image {
			return true
		}
	}
	return false
}

// Enter takes the machine's room, tasks and images, as its fields hold them, for
// what the next passes begin with.
func (m *Machine) Enter() {
	m.pulls, m.placed, m.evicts = m.pulls[:0], 0, false
	worst := -1
	for i := range m.Tasks {
		r := &m.Tasks[i]
		r.evicted = false
		m.pulling(r.Job.Record.Spec)
		if r.Job.Record.Spec != nil && !r.Stopping {
			worst = max(worst, r.Job.Priority)
		}
	}
	m.entered = entered{m.Free, m.Freeing, len(m.pulls), worst}
	if m.pool != nil {
		m.pool.stale = true
	}
}

// SetOpen notes whether the machine takes new tasks.
func (m *Machine) SetOpen(open bool) {
	if m.Open != open {
		m.Open = open
		m.pool.stale = true
	}
}

// rewind undoes what a pass did to the machine.
func (m *Machine) rewind() {
	m.changed, m.pool.stale = false, true
	m.Free, m.Freeing = m.entered.free, m.entered.freeing
	m.pulls, m.placed = m.pulls[:m.entered.pulls], 0
	if !m.evicts {
		return
	}
	m.evicts = false
	for i := range m.Tasks {
		if r := &m.Tasks[i]; r.evicted {
			r.Stopping, r.evicted = false, false
		}
	}
}

// pulling notes that a task with this image is on the machine or comes to it.
func (m *Machine) pulling(w *wire.JobSpec) {
	if w == nil || m.Holds(w.Image) {
		return
	}
	for _, p := range m.pulls {
		if p.image == w.Image {
			return
		}
	}
	m.pulls = append(m.pulls, pull{w.Image, w.ImageGB})
}

// fetchBucket is the difference in expected fetch time, in seconds, below
// which two machines count as equal and the least free room decides.
const fetchBucket = 2.0

// wait is the expected time until the machine has the job's image, in buckets:
// nothing if it holds it, else the fetch together with those under way, which
// share the machine's rate.
func (m *Machine) wait(j *jobs.Job) float64 {
	w := j.Record.Spec
	if m.Holds(w.Image) {
		return 0
	}
	rate := m.FetchGBPerS
	if rate <= 0 {
		rate = 1
	}
	gb := w.ImageGB
	for _, p := range m.pulls {
		if p.image == w.Image {
			gb -= w.ImageGB / 2 // joins a fetch that is under way
		} else {
			gb += p.gb
		}
	}
	return math.Ceil(gb / rate / fetchBucket)
}
