package placement

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
)

// Role is the kind of work that a machine runs.
type Role string

// The roles of machines.
const (
	Batch   Role = "batch"
	Service Role = "service"
)

// ClaimedTask is a claimed task on a machine.
type ClaimedTask struct {
	ID           jobs.TaskID
	Job          *jobs.Job
	Stopping     bool
	RunningSince time.Time // start time, known to the shard owner only; zero: not running, or not known to this controller

	preemptedInPass bool // Stopping was set by the pass
}

// Machine is the state of a machine during a scheduling pass.
type Machine struct {
	Name, Type, Zone, Owner string // Owner is the label of the shard owner
	Spot                    bool
	Role                    Role
	Schedulable             bool   // accepts new tasks
	Incarnation             uint64 // of its worker
	Total                   jobs.Resources
	Free                    jobs.Resources // not claimed
	Freeing                 jobs.Resources // claimed by tasks that are being stopped
	Images                  []string       // images present on it
	ImagePullGBPerS         float64        // rate of image pulls; 0: not known
	Tasks                   []ClaimedTask

	imagePulls  []imagePull // images that its tasks wait for
	placedTasks int         // number of tasks placed on it in this pass
	preempting  bool        // the pass preempts some of its tasks
	changed     bool        // the pass has changed it
	snapshot    machineSnapshot
	pool        *pool
}

// noPreemptibleTask is the lowestPriority of a machine or pool without a task that
// could be preempted. It is smaller than the number of any priority.
const noPreemptibleTask = -1

// machineSnapshot is the state of a machine before a pass places tasks on it.
type machineSnapshot struct {
	free, freeing  jobs.Resources
	imagePulls     int // number of them
	lowestPriority int // number of the lowest priority among the tasks that could be preempted, or noPreemptibleTask
}

// freeTaskSlots is the number of tasks that the machine can still take: its heartbeats
// can list tuning.TasksPerMachine at most.
func (m *Machine) freeTaskSlots() int { return tuning.TasksPerMachine - len(m.Tasks) - m.placedTasks }

// SaveState saves the machine's free room, tasks and images, as currently set in its
// fields, as the state in which the next passes start.
func (m *Machine) SaveState() {
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

// SetSchedulable sets whether the machine accepts new tasks.
func (m *Machine) SetSchedulable(schedulable bool) {
	if m.Schedulable != schedulable {
		m.Schedulable = schedulable
		m.pool.stale = true
	}
}

// rollback undoes a pass's changes to the machine.
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
