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

// MachineIndex is the view of all machines that scheduling passes, capacity plans and
// role decisions start from, and the sums of the claims on them. It is kept from one
// to the next: only the machines that something has changed on are applied again.
// With thousands of machines, applying all of them took most of a pass.
type MachineIndex struct {
	*cluster.State
	workers *WorkerManager
	peers   *PeerExchange

	Fleet                *placement.Fleet           // nil until the first refresh
	ordered              []*indexedMachine          // in the order of Fleet.Machines
	machines             map[string]*indexedMachine // by name
	Rebuild              bool                       // Fleet does not hold the machines that are stored now
	changedRecords       map[string]bool            // machines whose records have changed
	Changed              map[string]bool            // machines whose claims, worker or owner's status has changed
	due                  map[string]bool            // machines of this controller that the next pass looks at
	fullScanAt           time.Time                  // when a pass last looked at all of them
	schedulableCheckedAt time.Time                  // when it was last determined for all machines whether they are schedulable
	Terminated           map[string]bool            // machines that are stored as terminated
	unpublished          map[string]bool            // machines that may differ from what siblings were sent
	fullPublishAt        time.Time                  // when all machines were last compared with that

	claims        map[string]machineClaims // what each machine has added to claimedTotals
	claimedTotals quota.ClaimedByNode      // what the claims take, by owner and team
}

// indexedMachine is one machine, and what it depends on whether it is schedulable.
type indexedMachine struct {
	*placement.Machine
	worker        *worker.Worker // nil: another controller's machine, or never heard
	inService     bool           // its record lets it take tasks
	usableByOwner bool           // another controller's machine, which lets it take tasks
}

func newMachineIndex(state *cluster.State) *MachineIndex {
	mi := &MachineIndex{State: state}
	mi.clear()
	return mi
}

// clear empties the index.
func (mi *MachineIndex) clear() {
	*mi = MachineIndex{
		State:          mi.State,
		workers:        mi.workers,
		peers:          mi.peers,
		machines:       map[string]*indexedMachine{},
		changedRecords: map[string]bool{},
		Changed:        map[string]bool{},
		due:            map[string]bool{},
		Terminated:     map[string]bool{},
		unpublished:    map[string]bool{},
		claims:         map[string]machineClaims{},
		claimedTotals:  quota.ClaimedByNode{},
	}
}

// Reset empties the index and marks everything as changed, since the machines have
// other owners. The lock is held.
func (mi *MachineIndex) Reset() {
	mi.clear()
	for machine := range mi.Table.ClaimsByMachine {
		mi.MarkChanged(machine)
	}
	for machine := range mi.Inventory.Machines {
		mi.MarkRecordChanged(machine)
	}
}

// MarkRecordChanged notes that the stored record of a machine has changed. The lock is
// held.
func (mi *MachineIndex) MarkRecordChanged(machine string) { mi.changedRecords[machine] = true }

// MarkChanged notes that the claims on a machine have changed, or what is known of its
// worker. The lock is held.
func (mi *MachineIndex) MarkChanged(machine string) {
	mi.Changed[machine], mi.due[machine], mi.unpublished[machine] = true, true, true
}

// fullScanDue reports whether it is time to look at all machines again, and if so sets
// last to now. A clock that was set back makes it due.
func fullScanDue(last *time.Time, now time.Time) bool {
	if now.Sub(*last) < tuning.FullScanEvery && !now.Before(*last) {
		return false
	}
	*last = now
	return true
}

// WorkersToScan returns the workers that a pass looks at: those that something has
// changed for or is due for, and every so often all, for what follows from time alone,
// such as lease expiry. The lock is held.
func (mi *MachineIndex) WorkersToScan(now time.Time) (workers map[string]*worker.Worker, all bool) {
	if fullScanDue(&mi.fullScanAt, now) {
		return mi.workers.ByMachine, true
	}
	return mi.workers.workersOf(mi.due), false
}

// RemoveQuiescent takes the machines that nothing is due for out of those that the
// next pass looks at. The lock is held.
func (mi *MachineIndex) RemoveQuiescent() {
	for machine := range mi.due {
		if w := mi.workers.ByMachine[machine]; w == nil || w.Quiescent() {
			delete(mi.due, machine)
		}
	}
}

// RefreshMachines brings the view of the machines up to date and returns it, without
// what a former pass has placed. The lock is held, and the result is valid for as
// long.
func (mi *MachineIndex) RefreshMachines(now time.Time) *placement.Fleet {
	mi.ApplyRecordChanges()
	if mi.Fleet == nil || mi.Rebuild {
		mi.rebuild()
	}
	machines := mi.applyChangedMachines()
	if fullScanDue(&mi.schedulableCheckedAt, now) {
		machines = mi.ordered
	}
	mi.updateSchedulable(machines, now)
	mi.Fleet.Rollback()
	return mi.Fleet
}

// updateSchedulable determines which of the machines take new tasks. The lock is held.
func (mi *MachineIndex) updateSchedulable(machines []*indexedMachine, now time.Time) {
	current := map[string]bool{} // owners whose view of their machines holds for this membership
	for label, sibling := range mi.peers.Siblings {
		current[label] = mi.peers.IsFresh(sibling) && sibling.MachinesVersion.FencingToken == mi.Membership.FencingToken
	}
	silent := mi.SilenceTimeout()
	for _, m := range machines {
		if m.Owner == mi.Self.Label {
			m.SetSchedulable(m.inService && mi.isSchedulable(m.worker, now, silent))
		} else {
			m.SetSchedulable(m.inService && m.usableByOwner && current[m.Owner])
		}
	}
}

// isSchedulable reports whether the worker of one of this controller's machines may be
// given new tasks: only one that has acknowledged our token, which guards against a
// late copy of a heartbeat of a machine that is gone. And only one whose heartbeats
// come: one that answers calls and can't send heartbeats ends when its lease expires.
// The lock is held.
func (mi *MachineIndex) isSchedulable(w *worker.Worker, now time.Time, silent time.Duration) bool {
	return w != nil && w.State == worker.TokenAcknowledged && now.Sub(w.LastHeard) < silent && now.Sub(w.LeaseRenewedAt()) < silent &&
		w.TerminationAt.IsZero() && !mi.workers.isQuarantined(w, now)
}

// ApplyRecordChanges looks at the machine records that have changed: most of them only
// in their phase, for which the index need not be rebuilt. The lock is held.
func (mi *MachineIndex) ApplyRecordChanges() {
	for machine := range mi.changedRecords {
		record, stored := mi.Inventory.Machines[machine]
		indexed := mi.machines[machine]
		if stored != (indexed != nil) || stored && !sameMachine(indexed.Machine, mi.emptyMachine(machine, record)) {
			mi.Rebuild = true
		}
		if stored && record.Phase == inventory.Terminated {
			mi.Terminated[machine] = true
		} else {
			delete(mi.Terminated, machine)
		}
		mi.MarkChanged(machine)
	}
	clear(mi.changedRecords)
}

// emptyMachine is a machine as placement takes it, without any tasks. The lock is
// held.
func (mi *MachineIndex) emptyMachine(machine string, record inventory.Record) *placement.Machine {
	machineType := mi.MachineTypes[record.MachineType]
	return &placement.Machine{
		Name:        machine,
		Type:        record.MachineType,
		Zone:        record.Zone,
		Spot:        record.Spot,
		Role:        record.Role,
		Owner:       mi.ShardOwner(machine),
		FetchGBPerS: machineType.FetchGBPerS,
		Total:       jobs.Resources{CPUs: machineType.CPUs, GPUs: machineType.GPUs, RAM: machineType.RAMGB},
	}
}

// rebuild builds Fleet of the machines that are stored, and keeps those that are what
// they were. The lock is held.
func (mi *MachineIndex) rebuild() {
	if mi.Fleet != nil {
		mi.Fleet.Rollback() // the machines that are kept hold what the last pass placed
	}
	kept := mi.machines
	mi.machines = make(map[string]*indexedMachine, len(mi.Inventory.Machines))
	machines := make([]*placement.Machine, 0, len(mi.Inventory.Machines))
	for machine, record := range mi.Inventory.Machines {
		next, indexed := mi.emptyMachine(machine, record), kept[machine]
		if indexed == nil || !sameMachine(indexed.Machine, next) {
			indexed = &indexedMachine{Machine: next}
			mi.MarkChanged(machine)
		}
		mi.machines[machine] = indexed
		machines = append(machines, indexed.Machine)
	}
	mi.Fleet = placement.NewFleet(machines)
	mi.ordered = mi.ordered[:0]
	for _, m := range mi.Fleet.Machines {
		mi.ordered = append(mi.ordered, mi.machines[m.Name])
	}
	mi.Rebuild = false
}

// sameMachine reports whether a and b are the same machine in the same place, leaving
// aside what runs on it.
func sameMachine(a, b *placement.Machine) bool {
	return a.Type == b.Type && a.Zone == b.Zone && a.Spot == b.Spot && a.Role == b.Role && a.Owner == b.Owner &&
		a.FetchGBPerS == b.FetchGBPerS && a.Total == b.Total
}

// applyChangedMachines applies the machines that something has changed on, and returns
// those of them that are indexed. The lock is held.
func (mi *MachineIndex) applyChangedMachines() []*indexedMachine {
	var applied []*indexedMachine
	for machine := range mi.Changed {
		mi.refreshClaimTotals(machine)
		if m := mi.machines[machine]; m != nil {
			mi.applyMachine(m)
			applied = append(applied, m)
		}
	}
	clear(mi.Changed)
	return applied
}

// applyMachine enters what its owner knows of a machine, and the claims on it. The
// lock is held.
func (mi *MachineIndex) applyMachine(m *indexedMachine) {
	m.inService = mi.Inventory.Machines[m.Name].Phase == inventory.Active
	mi.applyOwnersView(m)
	mi.applyClaims(m)
	m.Snapshot()
}

// applyOwnersView enters what the owner of a machine knows of its worker. The lock is
// held.
func (mi *MachineIndex) applyOwnersView(m *indexedMachine) {
	m.worker, m.usableByOwner, m.Incarnation, m.Images = nil, false, 0, nil
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
		m.usableByOwner = status.TokenAcknowledged && !status.Silent && status.TerminationNotice < 0 && !status.Quarantined
	}
}

// applyClaims enters the claims on a machine, and the resources that they leave. The
// lock is held.
func (mi *MachineIndex) applyClaims(m *indexedMachine) {
	m.Free, m.Freeing = m.Total.Sub(mi.Table.ResourcesByMachine[m.Name]), jobs.Resources{}
	m.Tasks = m.Tasks[:0]
	w := mi.workers.ByMachine[m.Name] // whoever owns the machine, unlike m.worker
	for id, job := range mi.Table.ClaimsByMachine[m.Name] {
		stopping := job.Phase != jobs.Open || w != nil && w.IsLeaving(id)
		task := placement.ClaimedTask{ID: id, Job: job, Stopping: stopping}
		if m.worker != nil {
			task.RunningSince = m.worker.RunningSince[id]
		}
		m.Tasks = append(m.Tasks, task)
		if stopping {
			m.Freeing = m.Freeing.Add(job.Need)
		}
	}
}

// ApplyMachineTypes enters the machine types; without a record the known ones stay. The lock
// is held.
func (mi *MachineIndex) ApplyMachineTypes(value wire.Raw) error {
	if value == nil {
		return nil
	}
	var record wire.MachineTypes
	if err := wire.Unmarshal(value, &record); err != nil {
		return err
	}
	mi.MachineTypeList = record.Types
	mi.Rebuild = true
	clear(mi.MachineTypes)
	for _, machineType := range record.Types {
		mi.MachineTypes[machineType.Label] = machineType
	}
	return nil
}
