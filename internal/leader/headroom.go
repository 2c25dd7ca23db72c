// This file enters what headroom is kept for in the input of the capacity plan: what
// the roles hold, which of them are active, and what is typical of batch work.

package leader

import (
	"math"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// addTaskLoads enters what the tasks on a machine hold, for the headroom.
func (b *planBuilder) addTaskLoads(machine *placement.Machine) {
	for _, task := range machine.Tasks {
		spec := task.Job.Record.Spec
		if spec == nil || task.Job.Phase != jobs.Open {
			continue
		}
		if task.Job.Service() {
			b.input.Service.Tasks++
			b.input.Service.Need, b.input.Service.Spec = task.Job.Need, spec
			continue
		}
		load := b.batchClasses[spec.Class]
		if load == nil {
			load = &batchClassLoad{}
			b.batchClasses[spec.Class] = load
		}
		load.add(task.Job, machine.Total)
	}
}

// addBatchLoads enters what batch work holds, for its headroom.
func (b *planBuilder) addBatchLoads() {
	state := b.state
	state.updateMeanBatchTasks(state.chooseTypicalBatch(b.batchClasses), b.now)
	state.batchLoad.Tasks, state.batchLoad.MinTasks = state.meanBatchTasks, 0
	if b.now.Sub(state.lastArrayAt) < tuning.BatchHeadroomHold {
		state.batchLoad.MinTasks = minHeadroomTasks(state.meanArraySize)
	}
	b.input.Batch = state.batchLoad
	b.input.OnDemand = b.loop.updateOnDemandLoad(state, b.now)
}

// minHeadroomTasks is the least headroom of batch work, given the mean size of arrays.
func minHeadroomTasks(meanArraySize float64) int {
	return int(math.Ceil(meanArraySize * tuning.BatchHeadroomJobs))
}

// updateMeanBatchTasks moves the mean of the batch tasks held towards their present number.
func (ls *State) updateMeanBatchTasks(tasks float64, now time.Time) {
	if ls.meanBatchUpdatedAt.IsZero() {
		ls.meanBatchTasks = tasks
	} else {
		alpha := min(1, now.Sub(ls.meanBatchUpdatedAt).Seconds()/tuning.BatchWindow.Seconds())
		ls.meanBatchTasks += (tasks - ls.meanBatchTasks) * alpha
	}
	ls.meanBatchUpdatedAt = now
}

// addActiveRoles enters which roles have had work lately.
func (b *planBuilder) addActiveRoles() {
	activeAt := b.state.roleActiveAt
	for _, job := range b.loop.Table.Open {
		if job.Service() {
			activeAt[placement.Service] = b.now
		} else {
			activeAt[placement.Batch] = b.now
		}
	}
	b.input.ActiveRoles = map[placement.Role]bool{}
	for _, role := range []placement.Role{placement.Batch, placement.Service} {
		if _, ok := activeAt[role]; !ok {
			activeAt[role] = b.now // a new leader does not know
		}
		b.input.ActiveRoles[role] = b.now.Sub(activeAt[role]) < tuning.RoleLapse
	}
}

// updateOnDemandLoad notes the batch work that may not use spot machines. Room for
// one and a half of its arrays is kept on on-demand machines while any of it is open
// or waits for other jobs, and for a minute after. The caller holds the lock.
func (ld *Loop) updateOnDemandLoad(state *State, now time.Time) autoscale.Load {
	var typical *jobs.Job // the one that needs the most processors
	arrays, tasks := 0, 0.0
	for _, table := range []map[string]*jobs.Job{ld.Table.Open, ld.Table.Waiting} {
		for _, job := range table {
			if job.Service() || job.Record.Spec.Spot {
				continue
			}
			arrays++
			tasks += min(float64(job.Record.Tasks), tuning.TasksPerJob)
			if typical == nil || job.Need.CPUs > typical.Need.CPUs || job.Need.CPUs == typical.Need.CPUs && job.ID < typical.ID {
				typical = job
			}
		}
	}
	if typical != nil {
		state.onDemandLoad = autoscale.Load{Need: typical.Need, Spec: typical.Record.Spec, MinTasks: minHeadroomTasks(tasks / float64(arrays))}
		state.onDemandSeenAt = now
	} else if now.Sub(state.onDemandSeenAt) > tuning.BatchHeadroomHold {
		state.onDemandLoad = autoscale.Load{}
	}
	return state.onDemandLoad
}

// batchClassLoad is what the tasks of a class of batch work hold.
type batchClassLoad struct {
	share   float64 // of machines: the sum of the shares that the tasks take of theirs
	tasks   float64
	typical *jobs.Job // the first of their jobs by id
}

// add enters a task on a machine with so much room in all.
func (load *batchClassLoad) add(job *jobs.Job, total jobs.Resources) {
	load.share += job.Need.Share(total)
	load.tasks++
	if load.typical == nil || job.ID < load.typical.ID {
		load.typical = job
	}
}

// chooseTypicalBatch takes the class that holds the most for typical, and returns
// what all classes hold in tasks of its kind. Guards against headroom for hundreds
// of tasks of a class that happens to be looked at last: small tasks that may not use
// spot machines had a hundred on-demand machines scaled out ahead for them.
func (ls *State) chooseTypicalBatch(loads map[string]*batchClassLoad) float64 {
	var largest *batchClassLoad
	total, class := 0.0, ""
	for name, load := range loads {
		total += load.share
		if largest == nil || load.share > largest.share || load.share == largest.share && name < class {
			largest, class = load, name
		}
	}
	if largest == nil || largest.share == 0 {
		return 0
	}
	ls.batchLoad.Need, ls.batchLoad.Spec = largest.typical.Need, largest.typical.Record.Spec
	return total * largest.tasks / largest.share
}
