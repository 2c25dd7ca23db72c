// This file adds the loads that determine the headroom to the input of the capacity plan: the tasks
// that each role holds, which roles are active, and the typical batch task.

package leader

import (
	"math"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// addTaskLoads adds the tasks on a machine to the loads from which the headroom is computed.
func (b *planBuilder) addTaskLoads(machine *placement.Machine) {
	for _, task := range machine.Tasks {
		spec := task.Job.Record.Spec
		if spec == nil || task.Job.Phase != jobs.Open {
			continue
		}
		if task.Job.IsService() {
			b.input.Service.Tasks++
			b.input.Service.TaskResources, b.input.Service.Spec = task.Job.TaskResources, spec
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

// addBatchLoads adds the loads from which the headroom of batch work is computed.
func (b *planBuilder) addBatchLoads() {
	state := b.state
	state.updateMeanBatchTasks(state.chooseTypicalBatch(b.batchClasses), b.now)
	state.batchLoad.Tasks, state.batchLoad.MinTasks = state.meanBatchTasks, 0
	if b.now.Sub(state.lastArrayAt) < tuning.BatchHeadroomHold {
		state.batchLoad.MinTasks = minHeadroomTasks(state.meanArraySize)
	}
	b.input.Batch = state.batchLoad
	b.input.OnDemandBatch = b.loop.updateOnDemandLoad(state, b.now)
}

// minHeadroomTasks returns the minimum headroom for batch work in tasks, given the mean size of job
// arrays.
func minHeadroomTasks(meanArraySize float64) int {
	return int(math.Ceil(meanArraySize * tuning.BatchHeadroomJobs))
}

// updateMeanBatchTasks updates the moving average of the number of batch tasks on machines.
func (ls *TermState) updateMeanBatchTasks(tasks float64, now time.Time) {
	if ls.meanBatchUpdatedAt.IsZero() {
		ls.meanBatchTasks = tasks
	} else {
		alpha := min(1, now.Sub(ls.meanBatchUpdatedAt).Seconds()/tuning.BatchWindow.Seconds())
		ls.meanBatchTasks += (tasks - ls.meanBatchTasks) * alpha
	}
	ls.meanBatchUpdatedAt = now
}

// addActiveRoles adds which roles have had an open job within tuning.RoleInactiveAfter.
func (b *planBuilder) addActiveRoles() {
	activeAt := b.state.roleActiveAt
	for _, job := range b.loop.Table.Open {
		if job.IsService() {
			activeAt[placement.Service] = b.now
		} else {
			activeAt[placement.Batch] = b.now
		}
	}
	b.input.ActiveRoles = map[placement.Role]bool{}
	for _, role := range []placement.Role{placement.Batch, placement.Service} {
		if _, ok := activeAt[role]; !ok {
			activeAt[role] = b.now // unknown to a new leader; assume that the role was active
		}
		b.input.ActiveRoles[role] = b.now.Sub(activeAt[role]) < tuning.RoleInactiveAfter
	}
}

// updateOnDemandLoad updates and returns the load of batch jobs that may not use spot machines.
// While any such job is open or waits for other jobs, and for tuning.BatchHeadroomHold afterwards,
// headroom for tuning.BatchHeadroomJobs arrays of their mean size is kept on on-demand machines.
// The caller holds the lock.
func (ld *Loop) updateOnDemandLoad(state *TermState, now time.Time) autoscale.Load {
	var typical *jobs.Job // the job whose tasks need the most CPUs
	arrays, tasks := 0, 0.0
	for _, table := range []map[string]*jobs.Job{ld.Table.Open, ld.Table.Waiting} {
		for _, job := range table {
			if job.IsService() || job.Record.Spec.Spot {
				continue
			}
			arrays++
			tasks += min(float64(job.Record.Tasks), tuning.TasksPerJob)
			if typical == nil || job.TaskResources.CPUs > typical.TaskResources.CPUs || job.TaskResources.CPUs == typical.TaskResources.CPUs && job.ID < typical.ID {
				typical = job
			}
		}
	}
	if typical != nil {
		state.onDemandLoad = autoscale.Load{TaskResources: typical.TaskResources, Spec: typical.Record.Spec, MinTasks: minHeadroomTasks(tasks / float64(arrays))}
		state.onDemandSeenAt = now
	} else if now.Sub(state.onDemandSeenAt) > tuning.BatchHeadroomHold {
		state.onDemandLoad = autoscale.Load{}
	}
	return state.onDemandLoad
}

// batchClassLoad is the load of the batch tasks of one class.
type batchClassLoad struct {
	share   float64 // sum over the tasks of the share that each takes of its machine
	tasks   float64
	typical *jobs.Job // the job with the lowest ID
}

// add adds a task on a machine whose total resources are total.
func (load *batchClassLoad) add(job *jobs.Job, total jobs.Resources) {
	load.share += job.TaskResources.Share(total)
	load.tasks++
	if load.typical == nil || job.ID < load.typical.ID {
		load.typical = job
	}
}

// chooseTypicalBatch makes the class with the largest share of machines the typical one, and
// returns the load of all classes, expressed in tasks of that class. When the class that was
// visited last was the typical one, a class of small tasks that may not use spot machines caused
// headroom for hundreds of tasks, that is, a hundred on-demand machines.
func (ls *TermState) chooseTypicalBatch(loads map[string]*batchClassLoad) float64 {
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
	ls.batchLoad.TaskResources, ls.batchLoad.Spec = largest.typical.TaskResources, largest.typical.Record.Spec
	return total * largest.tasks / largest.share
}
