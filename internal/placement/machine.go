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
	RunningSince time.Time // since when it runs, as the shard owner knows; zero: it does not, or this controller doesn't know

	preemptedInPass bool // Stopping was set by the pass
}

// Machine is a machine as the pass sees it.
type Machine struct {
	Name, Type, Zone, Owner string // Owner is the label of the shard owner
	Spot                    bool
	Role                    Role
	Schedulable             bool   // takes new tasks
	Incarnation             uint64 // of its worker
	Total                   jobs.Resources
	Free                    jobs.Resources // not claimed
	Freeing                 jobs.Resources // claimed by tasks that are being stopped
	Images                  []string       // those that it holds
	FetchGBPerS             float64        // rate of image pulls; 0: not known
	Tasks                   []ClaimedTask

	imagePulls  []imagePull // images that its tasks wait for
	placedTasks int         // tasks placed on it in this pass
	preempting  bool        // the pass preempts some of its tasks
	changed     bool        // the pass has changed it
	snapshot    machineSnapshot
	pool        *pool
}

// noPreemptibleTask stands for the lowest priority of a machine, or of a pool,
// that has no task to preempt. It is smaller than the number of any priority.
const noPreemptibleTask = -1

// machineSnapshot is what a machine was like before a pass began to place on it.
type machineSnapshot struct {
	free, freeing  jobs.Resources
	imagePulls     int // how many
	lowestPriority int // of the tasks that could be preempted, as a number; or noPreemptibleTask
}

// freeTaskSlots is how many more tasks the machine's heartbeats can name.
func (m *Machine) freeTaskSlots() int { return tuning.TasksPerMachine - len(m.Tasks) - m.placedTasks }

// Snapshot takes the machine's room, tasks and images, as its fields hold them, for
// what the next passes begin with.
func (m *Machine) Snapshot() {
	m.imagePulls, m.placedTasks, m.preempting = m.imagePulls[:0], 0, false
	lowestPriority := noPreemptibleTask
	for i := range m.Tasks {
		task := &m.Tasks[i]
		task.preemptedInPass = false
		m.addImagePull(task.Job.Record.Spec)
		if task.Job.Record.Spec != nil && !task.Stopping {
			lowestPriority = max(lowestPriority, task.Job.Priority)
		}
	}
	m.snapshot = machineSnapshot{free: m.Free, freeing: m.Freeing, imagePulls: len(m.imagePulls), lowestPriority: lowestPriority}
	if m.pool != nil {
		m.pool.stale = true
	}
}

// SetSchedulable notes whether the machine takes new tasks.
func (m *Machine) SetSchedulable(schedulable bool) {
	if m.Schedulable != schedulable {
		m.Schedulable = schedulable
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
		if task := &m.Tasks[i]; task.preemptedInPass {
			task.Stopping, task.preemptedInPass = false, false
		}
	}
}
