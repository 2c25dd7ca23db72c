// This file holds the leader's moves of machines between the roles.

package leader

import (
	"time"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
	"wheatspur/internal/roles"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// RecordArrivals feeds the role controllers with service jobs that are new, and the
// headroom with batch jobs; the lock is held.
func (ld *Loop) RecordArrivals(l *leaderState, now time.Time) {
	for _, t := range ld.MachineTypeList {
		if l.roleControllers[t.Label] == nil {
			l.roleControllers[t.Label] = roles.New(ld.Settings.Operator, now)
		}
	}
	for jobID, j := range ld.Table.Open {
		if l.seenJobs[jobID] {
			continue
		}
		l.seenJobs[jobID] = true
		if !j.Service() {
			l.recordBatchArrival(j, now)
		} else if now.Sub(j.FirstSeen) <= tuning.RoleStep {
			ld.recordServiceArrival(l, j, now)
		}
	}
	for jobID := range l.seenJobs {
		if ld.Table.Open[jobID] == nil {
			delete(l.seenJobs, jobID)
		}
	}
}

// recordBatchArrival enters a new array in the mean size of those of the typical class.
func (l *leaderState) recordBatchArrival(j *jobs.Job, now time.Time) {
	if l.batchLoad.Spec == nil || l.batchLoad.Spec.Class == j.Record.Spec.Class {
		size := min(float64(j.Record.Tasks), tuning.TasksPerJob)
		if l.meanArraySize == 0 {
			l.meanArraySize = size
		}
		l.meanArraySize += (size - l.meanArraySize) * tuning.BatchSizeAlpha
	}
	l.lastArrayAt = now
}

// recordServiceArrival tells the role controller of every type that a new service
// job may use; the lock is held.
func (ld *Loop) recordServiceArrival(l *leaderState, j *jobs.Job, now time.Time) {
	for _, t := range ld.MachineTypeList {
		if !jobs.AllowsMachineType(j.Record.Spec, t.Label) {
			continue
		}
		total := jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}
		l.roleControllers[t.Label].Arrive(now, j.Need.Share(total)*float64(j.Record.Tasks))
	}
}

// moveRoles evaluates every type's split and returns the moves; the lock is held.
func (ld *Loop) moveRoles(l *leaderState, machines *placement.Fleet, now time.Time) []inventory.RecordChange {
	var out []inventory.RecordChange
	for _, t := range ld.MachineTypeList {
		c := l.roleControllers[t.Label]
		if c == nil {
			continue
		}
		var service, batch []*placement.Machine
		for _, m := range machines.Machines {
			if m.Type == t.Label && !m.Spot && ld.Inventory.Machines[m.Name].Phase == inventory.Active && (m.Schedulable || len(m.Tasks) > 0) {
				if m.Role == placement.Service {
					service = append(service, m)
				} else {
					batch = append(batch, m)
				}
			}
		}
		victim := roles.Victim(service)
		d := c.Evaluate(now, ld.describeSplit(t, machines), func() bool { return victim != nil && tasksFitElsewhere(machines, victim, false) })
		l.RoleDecisions[t.Label] = d
		var m *placement.Machine
		role := placement.Batch
		switch d.Move {
		case roles.ToBatch:
			m = victim
		case roles.ToService:
			m, role = roles.Emptiest(batch), placement.Service
		}
		ld.Log.Debug(logging.EventRoleSplitEvaluated, logging.KeyMachineType, t.Label, logging.KeyBatchMachines, d.Batch, logging.KeyServiceMachines, d.Service, logging.KeyBatchLoad, d.BatchLoad,
			logging.KeyServiceLoad, d.ServiceLoad, logging.KeyProposal, string(d.Proposal.Direction), logging.KeyRule, string(d.Proposal.Rule),
			logging.KeyConfirmations, d.Confirmations, logging.KeyGate, string(d.Gate), logging.KeyEvidenceOpen, d.EvidenceOpen)
		if m == nil {
			continue
		}
		rec := ld.Inventory.Machines[m.Name]
		moved := rec
		moved.Role, moved.Reason = role, string(d.Proposal.Rule)
		out = append(out, inventory.RecordChange{Machine: m.Name, Before: &rec, After: &moved})
		ld.Log.Info(logging.EventMachineRoleChanged, logging.KeyMachine, m.Name, logging.KeyMachineType, t.Label, logging.KeyTarget, string(role), logging.KeyRule, string(d.Proposal.Rule),
			logging.KeyBatchLoad, d.BatchLoad, logging.KeyServiceLoad, d.ServiceLoad)
	}
	return out
}

// tasksFitElsewhere reports whether all service tasks of a machine have room on the
// others at once; held: on machines that hold their images.
func tasksFitElsewhere(f *placement.Fleet, victim *placement.Machine, held bool) bool {
	type booked struct {
		m    *placement.Machine
		need jobs.Resources
	}
	var taken []booked
	defer func() {
		for _, b := range taken {
			b.m.Free = b.m.Free.Add(b.need)
		}
	}()
	for _, r := range victim.Tasks {
		if !r.Job.Service() || r.Job.Phase != jobs.Open {
			continue
		}
		to := placement.FitElsewhere(f, r.Job, r.ID.Task, victim.Name)
		if to == nil || held && !to.HasImage(r.Job.Record.Spec.Image) {
			return false
		}
		to.Free = to.Free.Sub(r.Job.Need)
		taken = append(taken, booked{to, r.Job.Need})
	}
	return true
}

// initialRole is the role of a machine that is new to the store: what it was
// rented for; else the role floors, then what waits, then services.
func (ld *Loop) initialRole(l *leaderState, h wire.Machine, joining []inventory.RecordChange) placement.Role {
	if h.Spot {
		return placement.Batch
	}
	if r, ok := l.ScalingOut[h.Name]; ok {
		return r.Role
	}
	count := map[placement.Role]int{}
	add := func(r inventory.Record) {
		if r.MachineType == h.MachineType && !r.Spot && r.Phase == inventory.Active {
			count[r.Role]++
		}
	}
	for _, r := range ld.Inventory.Machines {
		add(r)
	}
	for _, c := range joining {
		add(*c.After)
	}
	services, arrays := false, false
	for jobID := range ld.scheduler.Unplaced {
		if j := ld.Table.Open[jobID]; j != nil && j.Service() {
			services = true
		} else if j != nil {
			arrays = true
		}
	}
	switch {
	case count[placement.Service] < tuning.RoleFloor:
		return placement.Service
	case count[placement.Batch] < tuning.RoleFloor, arrays && !services && count[placement.Batch] < count[placement.Service]:
		return placement.Batch
	}
	// Services have ordinary machines only, and people wait for them; most
	// batch work may use spot machines, which are rented when it comes.
	return placement.Service
}
