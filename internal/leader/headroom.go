// This file holds the part of the capacity plan's input that headroom is kept for:
// what the roles hold, which of them are active and what is typical of batch work.

package leader

import (
	"math"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// addClaimed enters what the tasks on a machine hold, for the headroom.
func (b *planBuilder) addClaimed(m *placement.Machine) {
	for _, r := range m.Tasks {
		spec := r.Job.Record.Spec
		if spec == nil || r.Job.Phase != jobs.Open {
			continue
		}
		if r.Job.Service() {
			b.input.Service.Tasks++
			b.input.Service.Need, b.input.Service.Spec = r.Job.Need, spec
			continue
		}
		held := b.batch[spec.Class]
		if held == nil {
			held = &batchClassLoad{}
			b.batch[spec.Class] = held
		}
		held.add(r.Job, m.Total)
	}
}

// addHeadroom enters what each role holds, for its headroom.
func (b *planBuilder) addHeadroom() {
	l := b.leaderState
	l.averageBatch(l.typicalBatch(b.batch), b.now)
	l.batchLoad.Tasks, l.batchLoad.MinTasks = l.meanBatchTasks, 0
	if b.now.Sub(l.lastArrayAt) < tuning.BatchHeadroomHold {
		l.batchLoad.MinTasks = int(math.Ceil(l.meanArraySize * tuning.BatchHeadroomJobs))
	}
	b.input.Batch = l.batchLoad
	b.input.OnDemand = b.leader.onDemandLoad(l, b.now)
}

// averageBatch moves the mean of the batch tasks held towards their present number.
func (l *leaderState) averageBatch(tasks float64, now time.Time) {
	if l.meanUpdatedAt.IsZero() {
		l.meanBatchTasks = tasks
	} else {
		alpha := min(1, now.Sub(l.meanUpdatedAt).Seconds()/tuning.BatchWindow.Seconds())
		l.meanBatchTasks += (tasks - l.meanBatchTasks) * alpha
	}
	l.meanUpdatedAt = now
}

// addActiveRoles enters which roles have had work lately.
func (b *planBuilder) addActiveRoles() {
	active := b.leaderState.roleActiveAt
	for _, j := range b.leader.Table.Open {
		if j.Service() {
			active[placement.Service] = b.now
		} else {
			active[placement.Batch] = b.now
		}
	}
	b.input.ActiveRoles = map[placement.Role]bool{}
	for _, role := range []placement.Role{placement.Batch, placement.Service} {
		if _, ok := active[role]; !ok {
			active[role] = b.now // a new leader does not know
		}
		b.input.ActiveRoles[role] = b.now.Sub(active[role]) < tuning.RoleLapse
	}
}

// onDemandLoad is the batch work that may not use spot machines: room for one and a
// half of its arrays is kept on ordinary machines while any is open or waits for
// others, and for a minute after; the lock is held.
func (ld *Loop) onDemandLoad(l *leaderState, now time.Time) autoscale.Load {
	var typical *jobs.Job
	arrays, tasks := 0, 0.0
	for _, list := range []map[string]*jobs.Job{ld.Table.Open, ld.Table.Waiting} {
		for _, j := range list {
			if j.Service() || j.Record.Spec.Spot {
				continue
			}
			arrays++
			tasks += min(float64(j.Record.Tasks), tuning.TasksPerJob)
			if typical == nil || j.Need.CPUs > typical.Need.CPUs || j.Need.CPUs == typical.Need.CPUs && j.ID < typical.ID {
				typical = j
			}
		}
	}
	if typical != nil {
		l.onDemandLoad = autoscale.Load{Need: typical.Need, Spec: typical.Record.Spec, MinTasks: int(math.Ceil(tasks / float64(arrays) * tuning.BatchHeadroomJobs))}
		l.onDemandSeenAt = now
	} else if now.Sub(l.onDemandSeenAt) > tuning.BatchHeadroomHold {
		l.onDemandLoad = autoscale.Load{}
	}
	return l.onDemandLoad
}

// batchClassLoad is what the tasks of a class of batch work hold.
type batchClassLoad struct {
	share float64 // of machines
	tasks float64
	job   *jobs.Job // one of them
}

func (h *batchClassLoad) add(j *jobs.Job, machine jobs.Resources) {
	h.share += j.Need.Share(machine)
	h.tasks++
	if h.job == nil || j.ID < h.job.ID {
		h.job = j
	}
}

// typicalBatch takes the class that holds the most for typical, and returns
// what all hold in tasks of its kind. Guards against headroom for hundreds of
// tasks of a class that happens to be looked at last: small tasks that may not
// use spot machines had a hundred ordinary machines rented ahead for them.
func (l *leaderState) typicalBatch(held map[string]*batchClassLoad) float64 {
	var most *batchClassLoad
	all, class := 0.0, ""
	for name, h := range held {
		all += h.share
		if most == nil || h.share > most.share || h.share == most.share && name < class {
			most, class = h, name
		}
	}
	if most == nil || most.share == 0 {
		return 0
	}
	l.batchLoad.Need, l.batchLoad.Spec = most.job.Need, most.job.Record.Spec
	return all * most.tasks / most.share
}
