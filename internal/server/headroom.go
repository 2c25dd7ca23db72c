// This file holds the part of the capacity plan's input that headroom is kept for:
// what the roles hold, which of them are active and what is typical of batch work.

package server

import (
	"math"
	"time"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/internal/tuning"
)

// addHeld enters what the tasks on a machine hold, for the headroom.
func (b *planBuilder) addHeld(m *place.Machine) {
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
			held = &heldBatch{}
			b.batch[spec.Class] = held
		}
		held.add(r.Job, m.Total)
	}
}

// addHeadroom enters what each role holds, for its headroom.
func (b *planBuilder) addHeadroom() {
	l := b.leader
	l.averageBatch(l.typicalBatch(b.batch), b.now)
	l.batch.Tasks, l.batch.MinTasks = l.batchAvg, 0
	if b.now.Sub(l.batchSeen) < tuning.BatchHeadroomHold {
		l.batch.MinTasks = int(math.Ceil(l.batchSize * tuning.BatchHeadroomJobs))
	}
	b.input.Batch = l.batch
	b.input.OnDemand = b.node.plain(l, b.now)
}

// averageBatch moves the mean of the batch tasks held towards their present number.
func (l *leading) averageBatch(tasks float64, now time.Time) {
	if l.avgAt.IsZero() {
		l.batchAvg = tasks
	} else {
		alpha := min(1, now.Sub(l.avgAt).Seconds()/tuning.BatchWindow.Seconds())
		l.batchAvg += (tasks - l.batchAvg) * alpha
	}
	l.avgAt = now
}

// addActiveRoles enters which roles have had work lately.
func (b *planBuilder) addActiveRoles() {
	active := b.leader.active
	for _, j := range b.node.table.Open {
		if j.Service() {
			active[place.Service] = b.now
		} else {
			active[place.Batch] = b.now
		}
	}
	b.input.ActiveRoles = map[place.Role]bool{}
	for _, role := range []place.Role{place.Batch, place.Service} {
		if _, ok := active[role]; !ok {
			active[role] = b.now // a new leader does not know
		}
		b.input.ActiveRoles[role] = b.now.Sub(active[role]) < tuning.RoleLapse
	}
}

// plain is the batch work that may not use spot machines: room for one and a
// half of its arrays is kept on ordinary machines while any is open or waits for
// others, and for a minute after; mu is held.
func (n *Node) plain(l *leading, now time.Time) fleet.Load {
	var typical *jobs.Job
	arrays, tasks := 0, 0.0
	for _, list := range []map[string]*jobs.Job{n.table.Open, n.table.Waiting} {
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
		l.plain = fleet.Load{Need: typical.Need, Spec: typical.Record.Spec, MinTasks: int(math.Ceil(tasks / float64(arrays) * tuning.BatchHeadroomJobs))}
		l.plainSeen = now
	} else if now.Sub(l.plainSeen) > tuning.BatchHeadroomHold {
		l.plain = fleet.Load{}
	}
	return l.plain
}

// heldBatch is what the tasks of a class of batch work hold.
type heldBatch struct {
	share float64 // of machines
	tasks float64
	job   *jobs.Job // one of them
}

func (h *heldBatch) add(j *jobs.Job, machine jobs.Resources) {
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
func (l *leading) typicalBatch(held map[string]*heldBatch) float64 {
	var most *heldBatch
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
	l.batch.Need, l.batch.Spec = most.job.Need, most.job.Record.Spec
	return all * most.tasks / most.share
}
