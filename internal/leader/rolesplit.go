// This file describes the split of a machine type between the roles.

package leader

import (
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/placement"
	"wheatspur/internal/roles"
	"wheatspur/wire"
)

// describeSplit describes one type's ordinary machines and demand; the lock is held.
func (ld *Loop) describeSplit(t wire.MachineType, machines *placement.Fleet) roles.Split {
	s := roles.Split{Type: t.Label, Complete: true}
	for _, sib := range ld.Peers.Siblings {
		if ld.Membership.Contains(membership.Node{Label: sib.Settings.Label, Incarnation: sib.Status.Incarnation}) && !ld.Peers.IsFresh(sib) {
			s.Complete = false
		}
	}
	count := map[string]int{}    // machines that take tasks, by type
	coming := []jobs.Resources{} // room on batch machines of the type that still boot
	for _, m := range machines.Machines {
		if ld.Inventory.Machines[m.Name].Phase != inventory.Active {
			continue
		}
		if !m.Schedulable && len(m.Tasks) == 0 {
			// Only machines that are up count, and only they move. Counting
			// those that boot made queued work that waits for them look like a
			// lack of batch machines.
			if m.Type == t.Label && m.Role == placement.Batch {
				coming = append(coming, m.Free)
			}
			if m.Type == t.Label && !m.Spot {
				if m.Role == placement.Batch {
					s.BatchComing++
				} else {
					s.ServiceComing++
				}
			}
			continue
		}
		count[m.Type]++
		if m.Type != t.Label {
			continue
		}
		switch {
		case m.Spot:
			s.Spot++
		case m.Role == placement.Service:
			s.Service++
		default:
			s.Batch++
		}
		for _, r := range m.Tasks {
			if r.Job.Service() && r.Job.Phase == jobs.Open {
				s.ServiceBooked += r.Job.Need.Share(m.Total)
			}
		}
	}
	tot := jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}
	for jobID, k := range ld.scheduler.Unplaced {
		j := ld.Table.Jobs[jobID]
		if j == nil || j.Record.Spec == nil || !jobs.AllowsMachineType(j.Record.Spec, t.Label) {
			continue
		}
		for i := 0; !j.Service() && k > 0 && i < len(coming); {
			if !j.Need.Fits(coming[i]) {
				i++
				continue
			}
			coming[i] = coming[i].Sub(j.Need)
			k--
		}
		all := 0
		for label, c := range count {
			if jobs.AllowsMachineType(j.Record.Spec, label) {
				all += c
			}
		}
		if all == 0 {
			continue
		}
		part := float64(k) * j.Need.Share(tot) * float64(count[t.Label]) / float64(all)
		if j.Service() {
			s.ServiceBooked += part
		} else {
			s.BatchWork += part * j.Record.Spec.EstimateS
		}
	}
	return s
}
