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

// machineIndex is the picture of all machines that passes, plans and role decisions
// start from, and the sums of the claims by owner. It is kept from one to the
// next: only the machines that something has changed on are entered anew. With
// thousands of machines, entering all of them took most of a pass.
type machineIndex struct {
	*cluster.State
	workers *WorkerManager
	peers   *PeerExchange

	Fleet                *placement.Fleet
	ordered              []*indexedMachine // in the order of fleet.Machines
	machines             map[string]*indexedMachine
	Rebuild              bool            // the machines are not those that fleet was built of
	changedRecords       map[string]bool // machines whose records have changed
	Changed              map[string]bool // machines whose claims, worker or owner's status has changed
	due                  map[string]bool // machines of this node that the next pass looks at
	fullScanAt           time.Time       // when a pass last looked at all of them
	schedulableCheckedAt time.Time       // when the openness of all machines was last worked out
	Terminated           map[string]bool // machines that are stored as returned
	unpublished          map[string]bool // machines that may differ from what siblings are told of them
	fullPublishAt        time.Time       // when all machines were last compared with that

	claims        map[string]machineClaims // what is claimed on each machine, as it stands in claimedTotals
	claimedTotals quota.ClaimedByNode
}

// indexedMachine is one machine and what its openness follows from.
type indexedMachine struct {
	*placement.Machine
	worker        *worker.Worker // nil: another node's, or never heard
	inService     bool           // its record lets it take tasks
	usableByOwner bool           // another node's: so does what its owner tells
}

func newMachineIndex(state *cluster.State) *machineIndex {
	mi := &machineIndex{State: state}
	mi.clear()
	return mi
}

// clear empties the index.
func (mi *machineIndex) clear() {
	*mi = machineIndex{
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

// MarkRecordChanged notes that the stored record of a machine has changed.
func (mi *machineIndex) MarkRecordChanged(machine string) { mi.changedRecords[machine] = true }

// MarkChanged notes that something has changed on a machine.
func (mi *machineIndex) MarkChanged(host string) {
	mi.Changed[host], mi.due[host], mi.unpublished[host] = true, true, true
}

// Reset starts the picture anew: the owners of the machines have changed.
// The lock is held.
func (mi *machineIndex) Reset() {
	mi.clear()
	for host := range mi.Table.ClaimsByMachine {
		mi.MarkChanged(host)
	}
	for host := range mi.Inventory.Machines {
		mi.changedRecords[host] = true
	}
}

// WorkersToScan lists the workers of this node that a pass looks at: those that
// something has changed for or is due for, and every so often all, for what
// follows from time alone, such as the end of a lease; the lock is held.
func (mi *machineIndex) WorkersToScan(now time.Time) (workers map[string]*worker.Worker, all bool) {
	if now.Sub(mi.fullScanAt) >= tuning.SweepEvery || now.Before(mi.fullScanAt) {
		mi.fullScanAt = now
		return mi.workers.ByMachine, true
	}
	some := make(map[string]*worker.Worker, len(mi.due))
	for host := range mi.due {
		if w := mi.workers.ByMachine[host]; w != nil {
			some[host] = w
		}
	}
	return some, false
}

// RemoveQuiescent takes the machines that nothing is due for out of what the next pass
// looks at; the lock is held.
func (mi *machineIndex) RemoveQuiescent() {
	for host := range mi.due {
		if w := mi.workers.ByMachine[host]; w == nil || w.Quiescent() {
			delete(mi.due, host)
		}
	}
}

// RefreshMachines brings the picture of the fleet up to date; the lock is held.
func (mi *machineIndex) RefreshMachines(now time.Time) *placement.Fleet {
	mi.ApplyRecordChanges()
	if mi.Fleet == nil || mi.Rebuild {
		mi.rebuildMachineIndex()
	}
	some := mi.applyChangedMachines()
	if now.Sub(mi.schedulableCheckedAt) >= tuning.SweepEvery || now.Before(mi.schedulableCheckedAt) {
		mi.schedulableCheckedAt = now
		some = mi.ordered
	}
	fresh := map[string]bool{} // owners whose status holds for this membership
	for label, s := range mi.peers.Siblings {
		fresh[label] = mi.peers.IsFresh(s) && s.MachinesVersion.FencingToken == mi.Membership.FencingToken
	}
	silent := mi.SilenceTimeout()
	for _, m := range some {
		if m.Owner == mi.Self.Label {
			m.SetSchedulable(m.inService && mi.isSchedulable(m.worker, now, silent))
		} else {
			m.SetSchedulable(m.inService && m.usableByOwner && fresh[m.Owner])
		}
	}
	mi.Fleet.Rollback()
	return mi.Fleet
}

// isSchedulable reports whether a machine of this node takes new tasks: only one
// that has shown our token, which guards against a late copy of a report of a
// machine that is gone. And only one whose reports come: one that answers calls
// and can't report ends with its lease. The lock is held.
func (mi *machineIndex) isSchedulable(w *worker.Worker, now time.Time, silent time.Duration) bool {
	return w != nil && w.State == worker.TokenAcknowledged && now.Sub(w.LastHeard) < silent && now.Sub(w.LeaseRenewedAt()) < silent &&
		w.TerminationAt.IsZero() && !mi.workers.isQuarantined(w, now)
}

// ApplyRecordChanges looks at the machine records that have changed: most of them only
// in their phase, which needs no new index; the lock is held.
func (mi *machineIndex) ApplyRecordChanges() {
	for host := range mi.changedRecords {
		rec, stored := mi.Inventory.Machines[host]
		m := mi.machines[host]
		if stored != (m != nil) || stored && !sameMachine(m.Machine, mi.placementMachine(host, rec)) {
			mi.Rebuild = true
		}
		if stored && rec.Phase == inventory.Terminated {
			mi.Terminated[host] = true
		} else {
			delete(mi.Terminated, host)
		}
		mi.MarkChanged(host)
	}
	clear(mi.changedRecords)
}

// placementMachine is the picture of an empty machine; the lock is held.
func (mi *machineIndex) placementMachine(host string, rec inventory.Record) *placement.Machine {
	t := mi.MachineTypes[rec.MachineType]
	return &placement.Machine{Name: host, Type: rec.MachineType, Zone: rec.Zone, Spot: rec.Spot, Role: rec.Role,
		Owner: mi.ShardOwner(host), FetchGBPerS: t.FetchGBPerS,
		Total: jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}}
}

// rebuildMachineIndex indexes the machines as stored, and keeps the pictures of those
// that are what they were; the lock is held.
func (mi *machineIndex) rebuildMachineIndex() {
	if mi.Fleet != nil {
		mi.Fleet.Rollback() // the machines that are kept hold what the last pass placed
	}
	kept := mi.machines
	mi.machines = make(map[string]*indexedMachine, len(mi.Inventory.Machines))
	list := make([]*placement.Machine, 0, len(mi.Inventory.Machines))
	for host, rec := range mi.Inventory.Machines {
		next, m := mi.placementMachine(host, rec), kept[host]
		if m == nil || !sameMachine(m.Machine, next) {
			m = &indexedMachine{Machine: next}
			mi.MarkChanged(host)
		}
		mi.machines[host] = m
		list = append(list, m.Machine)
	}
	mi.Fleet = placement.NewFleet(list)
	mi.ordered = mi.ordered[:0]
	for _, m := range mi.Fleet.Machines {
		mi.ordered = append(mi.ordered, mi.machines[m.Name])
	}
	mi.Rebuild = false
}

// sameMachine reports whether two pictures are of the same machine in the same
// place, leaving aside what is on it.
func sameMachine(a, b *placement.Machine) bool {
	return a.Type == b.Type && a.Zone == b.Zone && a.Spot == b.Spot && a.Role == b.Role && a.Owner == b.Owner &&
		a.FetchGBPerS == b.FetchGBPerS && a.Total == b.Total
}

// applyChangedMachines enters anew the machines that something has changed on, and
// returns them; the lock is held.
func (mi *machineIndex) applyChangedMachines() []*indexedMachine {
	var entered []*indexedMachine
	for host := range mi.Changed {
		mi.sumClaims(host)
		if m := mi.machines[host]; m != nil {
			mi.applyMachine(m)
			entered = append(entered, m)
		}
	}
	clear(mi.Changed)
	return entered
}

// applyMachine enters a machine's claims, and what its owner knows of it; the lock is
// held.
func (mi *machineIndex) applyMachine(m *indexedMachine) {
	m.inService = mi.Inventory.Machines[m.Name].Phase == inventory.Active
	m.worker, m.usableByOwner, m.Incarnation, m.Images = nil, false, 0, nil
	if m.Owner == mi.Self.Label {
		if m.worker = mi.workers.ByMachine[m.Name]; m.worker != nil {
			m.Incarnation, m.Images = m.worker.Incarnation, m.worker.Images
		}
	} else if s := mi.peers.Siblings[m.Owner]; s != nil {
		if h, ok := s.Machines[m.Name]; ok {
			m.Incarnation, m.Images = h.Incarnation, h.Images
			m.usableByOwner = h.TokenAcknowledged && !h.Silent && h.TerminationNotice < 0 && !h.Quarantined
		}
	}
	m.Free, m.Freeing = m.Total.Sub(mi.Table.ResourcesByMachine[m.Name]), jobs.Resources{}
	m.Tasks = m.Tasks[:0]
	for id, j := range mi.Table.ClaimsByMachine[m.Name] {
		stopping := j.Phase != jobs.Open || mi.workers.ByMachine[m.Name] != nil && mi.workers.ByMachine[m.Name].IsLeaving(id)
		resident := placement.ClaimedTask{ID: id, Job: j, Stopping: stopping}
		if m.worker != nil {
			resident.RunningSince = m.worker.RunningSince[id]
		}
		m.Tasks = append(m.Tasks, resident)
		if stopping {
			m.Freeing = m.Freeing.Add(j.Need)
		}
	}
	m.Snapshot()
}

// ApplyTypes enters the machine types; without a record the known ones stay.
func (mi *machineIndex) ApplyTypes(v wire.Raw) error {
	if v == nil {
		return nil
	}
	var r wire.MachineTypes
	if err := wire.Unmarshal(v, &r); err != nil {
		return err
	}
	mi.MachineTypeList = r.Types
	mi.Rebuild = true
	clear(mi.MachineTypes)
	for _, t := range r.Types {
		mi.MachineTypes[t.Label] = t
	}
	return nil
}
