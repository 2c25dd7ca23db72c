package fleet

import (
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/quota"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// MachineIndex is the view of all machines that scheduling passes, capacity plans and role
// decisions use, with the totals of the claims on the machines. It is updated incrementally:
// only machines with changes are applied again. With thousands of machines, applying all of
// them took most of a scheduling pass.
type MachineIndex struct {
	*cluster.State
	workers *WorkerManager
	peers   *PeerExchange

	PlacementFleet       *placement.Fleet           // nil until the first refresh
	ordered              []*indexedMachine          // in the order of PlacementFleet.Machines
	machines             map[string]*indexedMachine // by name
	NeedsRebuild         bool                       // PlacementFleet does not match the stored machines
	changedRecords       map[string]bool            // machines whose stored records have changed
	ChangedMachines      map[string]bool            // machines whose claims, worker or status from their owner has changed
	pendingScan          map[string]bool            // machines of this controller that the next pass scans
	fullScanAt           time.Time                  // when a pass last scanned all workers
	schedulableCheckedAt time.Time                  // when updateSchedulable was last applied to all machines
	TerminatedMachines   map[string]bool            // machines that are stored as terminated
	unpublished          map[string]bool            // machines whose status may differ from the one that siblings were sent
	fullPublishAt        time.Time                  // when the status of all machines was last compared with the one that siblings were sent

	claims        map[string]machineClaims  // contribution of each machine to claimedTotals
	claimedTotals quota.ClaimedByController // claimed resources by owner and team
}

// indexedMachine is a machine of the index, with the conditions on which it is schedulable.
type indexedMachine struct {
	*placement.Machine
	worker             *worker.Worker // nil if another controller owns the machine, or if its worker is not known
	active             bool           // the stored record is in phase Active
	schedulableByOwner bool           // for another controller's machine: its owner reports that it can take tasks
}

func newMachineIndex(state *cluster.State) *MachineIndex {
	mi := &MachineIndex{State: state}
	mi.clear()
	return mi
}

// clear empties the index and keeps its links to the other components.
func (mi *MachineIndex) clear() {
	*mi = MachineIndex{
		State:              mi.State,
		workers:            mi.workers,
		peers:              mi.peers,
		machines:           map[string]*indexedMachine{},
		changedRecords:     map[string]bool{},
		ChangedMachines:    map[string]bool{},
		pendingScan:        map[string]bool{},
		TerminatedMachines: map[string]bool{},
		unpublished:        map[string]bool{},
		claims:             map[string]machineClaims{},
		claimedTotals:      quota.ClaimedByController{},
	}
}

// Reset empties the index and marks all machines as changed, because their owners have
// changed. The lock is held.
func (mi *MachineIndex) Reset() {
	mi.clear()
	for machine := range mi.Table.ClaimsByMachine {
		mi.MarkChanged(machine)
	}
	for machine := range mi.Inventory.Machines {
		mi.MarkRecordChanged(machine)
	}
}

// MarkRecordChanged records that the stored record of a machine has changed. The lock is held.
func (mi *MachineIndex) MarkRecordChanged(machine string) { mi.changedRecords[machine] = true }

// MarkChanged records that the claims on a machine, or what is known about its worker, have
// changed. The lock is held.
func (mi *MachineIndex) MarkChanged(machine string) {
	mi.ChangedMachines[machine], mi.pendingScan[machine], mi.unpublished[machine] = true, true, true
}

// fullScanDue reports whether a full scan of the machines is due, and if so sets last to now.
// A scan is also due if the clock was set back.
func fullScanDue(last *time.Time, now time.Time) bool {
	if now.Sub(*last) < tuning.FullScanEvery && !now.Before(*last) {
		return false
	}
	*last = now
	return true
}

// WorkersToScan returns the workers that a pass scans: those of machines with changes or
// pending work, and periodically all of them, for conditions that depend on time alone, such
// as the expiry of a lease. The lock is held.
func (mi *MachineIndex) WorkersToScan(now time.Time) (workers map[string]*worker.Worker, all bool) {
	if fullScanDue(&mi.fullScanAt, now) {
		return mi.workers.ByMachine, true
	}
	return mi.workers.workersOf(mi.pendingScan), false
}

// RemoveQuiescent removes machines without pending work from those that the next pass scans.
// The lock is held.
func (mi *MachineIndex) RemoveQuiescent() {
	for machine := range mi.pendingScan {
		if w := mi.workers.ByMachine[machine]; w == nil || w.Quiescent() {
			delete(mi.pendingScan, machine)
		}
	}
}

// RefreshMachines updates the view of the machines and returns it, without the placements of
// an earlier pass. The lock is held, and the result is valid only while it is.
func (mi *MachineIndex) RefreshMachines(now time.Time) *placement.Fleet {
	mi.ApplyRecordChanges()
	if mi.PlacementFleet == nil || mi.NeedsRebuild {
		mi.rebuild()
	}
	machines := mi.applyChangedMachines()
	if fullScanDue(&mi.schedulableCheckedAt, now) {
		machines = mi.ordered
	}
	mi.updateSchedulable(machines, now)
	mi.PlacementFleet.Rollback()
	return mi.PlacementFleet
}

// updateSchedulable determines which of the machines accept new tasks. The lock is held.
func (mi *MachineIndex) updateSchedulable(machines []*indexedMachine, now time.Time) {
	freshOwners := map[string]bool{} // owners with a fresh status and a machine view of the current membership
	for label, sibling := range mi.peers.Siblings {
		freshOwners[label] = mi.peers.IsFresh(sibling) && sibling.MachinesVersion.FencingToken == mi.Membership.FencingToken
	}
	silenceTimeout := mi.SilenceTimeout()
	for _, m := range machines {
		if m.Owner == mi.Self.Label {
			m.SetSchedulable(m.active && mi.isSchedulable(m.worker, now, silenceTimeout))
		} else {
			m.SetSchedulable(m.active && m.schedulableByOwner && freshOwners[m.Owner])
		}
	}
}

// isSchedulable reports whether the worker of one of this controller's machines may be given
// new tasks. The worker must have acknowledged the current token, because a late copy of a
// heartbeat may be from a machine that is gone. It must also still send heartbeats, because a
// worker that answers calls but can't send heartbeats ends when its lease expires. The lock is
// held.
func (mi *MachineIndex) isSchedulable(w *worker.Worker, now time.Time, silenceTimeout time.Duration) bool {
	return w != nil && w.State == worker.TokenAcknowledged && now.Sub(w.LastHeardAt) < silenceTimeout && now.Sub(w.LeaseRenewedAt()) < silenceTimeout &&
		w.TerminationAt.IsZero() && !mi.workers.isQuarantined(w, now)
}

// ApplyRecordChanges processes the changed machine records. Most of them have changed in their
// phase only, which does not require rebuilding the index. The lock is held.
func (mi *MachineIndex) ApplyRecordChanges() {
	for machine := range mi.changedRecords {
		record, stored := mi.Inventory.Machines[machine]
		indexed := mi.machines[machine]
		if stored != (indexed != nil) || stored && !sameMachine(indexed.Machine, mi.emptyMachine(machine, record)) {
			mi.NeedsRebuild = true
		}
		if stored && record.Phase == inventory.Terminated {
			mi.TerminatedMachines[machine] = true
		} else {
			delete(mi.TerminatedMachines, machine)
		}
		mi.MarkChanged(machine)
	}
	clear(mi.changedRecords)
}

// emptyMachine returns a machine in the form that placement uses, without any tasks. The lock
// is held.
func (mi *MachineIndex) emptyMachine(machine string, record inventory.Record) *placement.Machine {
	machineType := mi.MachineTypes[record.MachineType]
	return &placement.Machine{
		Name:            machine,
		Type:            record.MachineType,
		Zone:            record.Zone,
		Spot:            record.Spot,
		Role:            record.Role,
		Owner:           mi.ShardOwner(machine),
		ImagePullGBPerS: machineType.FetchGBPerS,
		Total:           jobs.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, RAM: machineType.RAMGB},
	}
}

// rebuild builds PlacementFleet from the stored machines, and reuses the entries of machines
// that have not changed. The lock is held.
func (mi *MachineIndex) rebuild() {
	if mi.PlacementFleet != nil {
		mi.PlacementFleet.Rollback() // undoes the last pass's placements, which reused machines still hold
	}
	previous := mi.machines
	mi.machines = make(map[string]*indexedMachine, len(mi.Inventory.Machines))
	machines := make([]*placement.Machine, 0, len(mi.Inventory.Machines))
	for machine, record := range mi.Inventory.Machines {
		next, indexed := mi.emptyMachine(machine, record), previous[machine]
		if indexed == nil || !sameMachine(indexed.Machine, next) {
			indexed = &indexedMachine{Machine: next}
			mi.MarkChanged(machine)
		}
		mi.machines[machine] = indexed
		machines = append(machines, indexed.Machine)
	}
	mi.PlacementFleet = placement.NewFleet(machines)
	mi.ordered = mi.ordered[:0]
	for _, m := range mi.PlacementFleet.Machines {
		mi.ordered = append(mi.ordered, mi.machines[m.Name])
	}
	mi.NeedsRebuild = false
}

// sameMachine reports whether two machines have the same properties, ignoring the tasks on
// them.
func sameMachine(a, b *placement.Machine) bool {
	return a.Type == b.Type && a.Zone == b.Zone && a.Spot == b.Spot && a.Role == b.Role && a.Owner == b.Owner &&
		a.ImagePullGBPerS == b.ImagePullGBPerS && a.Total == b.Total
}

// applyChangedMachines applies the machines with changes, and returns those of them that are
// in the index. The lock is held.
func (mi *MachineIndex) applyChangedMachines() []*indexedMachine {
	var applied []*indexedMachine
	for machine := range mi.ChangedMachines {
		mi.refreshClaimTotals(machine)
		if m := mi.machines[machine]; m != nil {
			mi.applyMachine(m)
			applied = append(applied, m)
		}
	}
	clear(mi.ChangedMachines)
	return applied
}

// applyMachine updates a machine from its record, from its owner's view and from the claims on
// it. The lock is held.
func (mi *MachineIndex) applyMachine(m *indexedMachine) {
	m.active = mi.Inventory.Machines[m.Name].Phase == inventory.Active
	mi.applyOwnerView(m)
	mi.applyClaims(m)
	m.SaveState()
}

// applyOwnerView updates a machine from what its owner knows about its worker. The lock is
// held.
func (mi *MachineIndex) applyOwnerView(m *indexedMachine) {
	m.worker, m.schedulableByOwner, m.Incarnation, m.Images = nil, false, 0, nil
	if m.Owner == mi.Self.Label {
		if m.worker = mi.workers.ByMachine[m.Name]; m.worker != nil {
			m.Incarnation, m.Images = m.worker.Incarnation, m.worker.Images
		}
		return
	}
	sibling := mi.peers.Siblings[m.Owner]
	if sibling == nil {
		return
	}
	if status, known := sibling.Machines[m.Name]; known {
		m.Incarnation, m.Images = status.Incarnation, status.Images
		m.schedulableByOwner = status.TokenAcknowledged && !status.Silent && status.TerminationNotice < 0 && !status.Quarantined
	}
}

// applyClaims updates the tasks of a machine from the claims on it, and the resources that
// they leave free. The lock is held.
func (mi *MachineIndex) applyClaims(m *indexedMachine) {
	m.Free, m.Freeing = m.Total.Sub(mi.Table.ResourcesByMachine[m.Name]), jobs.Resources{}
	m.Tasks = m.Tasks[:0]
	w := mi.workers.ByMachine[m.Name] // also set if another controller owns the machine, unlike m.worker
	for id, job := range mi.Table.ClaimsByMachine[m.Name] {
		stopping := job.Phase != jobs.Open || w != nil && w.IsTaskLeaving(id)
		task := placement.ClaimedTask{ID: id, Job: job, Stopping: stopping}
		if m.worker != nil {
			task.RunningSince = m.worker.RunningSince[id]
		}
		m.Tasks = append(m.Tasks, task)
		if stopping {
			m.Freeing = m.Freeing.Add(job.TaskResources)
		}
	}
}

// ApplyMachineTypes replaces the machine types by those of the stored record. Without a
// record, the known types stay. The lock is held.
func (mi *MachineIndex) ApplyMachineTypes(value wire.Raw) error {
	if value == nil {
		return nil
	}
	var record wire.MachineTypes
	if err := wire.Unmarshal(value, &record); err != nil {
		return err
	}
	mi.MachineTypeList = record.Types
	mi.NeedsRebuild = true
	clear(mi.MachineTypes)
	for _, machineType := range record.Types {
		mi.MachineTypes[machineType.Label] = machineType
	}
	return nil
}
