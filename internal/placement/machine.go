// This file holds a machine as the pass sees it, and what it would cost a task to start there.

package placement

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
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
