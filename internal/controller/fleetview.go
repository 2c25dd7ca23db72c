package controller

import (
	"time"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/quota"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// machineIndex is the picture of all machines that passes, plans and role decisions
// start from, and the sums of the claims by owner. It is kept from one to the
// next: only the machines that something has changed on are entered anew. With
// thousands of machines, entering all of them took most of a pass.
type machineIndex struct {
	fleet                *placement.Fleet
	ordered              []*indexedMachine // in the order of fleet.Machines
	machines             map[string]*indexedMachine
	rebuild              bool            // the machines are not those that fleet was built of
	changedRecords       map[string]bool // machines whose records have changed
	changed              map[string]bool // machines whose claims, worker or owner's status has changed
	due                  map[string]bool // machines of this node that the next pass looks at
	fullScanAt           time.Time       // when a pass last looked at all of them
	schedulableCheckedAt time.Time       // when the openness of all machines was last worked out
	terminated           map[string]bool // machines that are stored as returned
	unpublished          map[string]bool // machines that may differ from what siblings are told of them
	fullPublishAt        time.Time       // when all machines were last compared with that

	claims        map[string]machineClaims // what is held on each machine, as it stands in held
	claimedByNode quota.ClaimedByNode
}

// indexedMachine is one machine and what its openness follows from.
type indexedMachine struct {
	*placement.Machine
	worker        *worker.Worker // nil: another node's, or never heard
	inService     bool           // its record lets it take tasks
	usableByOwner bool           // another node's: so does what its owner tells
}

// machineClaims is what the claims on one machine take, by team.
type machineClaims struct {
	owner string
	teams map[string]quota.Amount
}

func newMachineIndex() machineIndex {
	return machineIndex{machines: map[string]*indexedMachine{}, changedRecords: map[string]bool{}, changed: map[string]bool{}, due: map[string]bool{},
		terminated: map[string]bool{}, unpublished: map[string]bool{},
		claims: map[string]machineClaims{}, claimedByNode: quota.ClaimedByNode{}}
}

// markChanged notes that something has changed on a machine.
func (v *machineIndex) markChanged(host string) {
	v.changed[host], v.due[host], v.unpublished[host] = true, true, true
}

// resetMachineIndex starts the picture anew: the owners of the machines have changed.
// mu is held.
func (n *Controller) resetMachineIndex() {
	n.machineIndex = newMachineIndex()
	for host := range n.table.ClaimsByMachine {
		n.machineIndex.markChanged(host)
	}
	for host := range n.inventory.Machines {
		n.machineIndex.changedRecords[host] = true
	}
}

// workersToScan lists the workers of this node that a pass looks at: those that
// something has changed for or is due for, and every so often all, for what
// follows from time alone, such as the end of a lease; mu is held.
func (n *Controller) workersToScan(now time.Time) (workers map[string]*worker.Worker, all bool) {
	v := &n.machineIndex
	if now.Sub(v.fullScanAt) >= tuning.SweepEvery || now.Before(v.fullScanAt) {
		v.fullScanAt = now
		return n.workers, true
	}
	some := make(map[string]*worker.Worker, len(v.due))
	for host := range v.due {
		if w := n.workers[host]; w != nil {
			some[host] = w
		}
	}
	return some, false
}

// removeQuiescent takes the machines that nothing is due for out of what the next pass
// looks at; mu is held.
func (n *Controller) removeQuiescent() {
	for host := range n.machineIndex.due {
		if w := n.workers[host]; w == nil || w.Quiescent() {
			delete(n.machineIndex.due, host)
		}
	}
}

// refreshMachines brings the picture of the fleet up to date; mu is held.
func (n *Controller) refreshMachines(now time.Time) *placement.Fleet {
	v := &n.machineIndex
	n.applyRecordChanges()
	if v.fleet == nil || v.rebuild {
		n.rebuildMachineIndex()
	}
	some := n.applyChangedMachines()
	if now.Sub(v.schedulableCheckedAt) >= tuning.SweepEvery || now.Before(v.schedulableCheckedAt) {
		v.schedulableCheckedAt = now
		some = v.ordered
	}
	fresh := map[string]bool{} // owners whose status holds for this membership
	for label, s := range n.siblings {
		fresh[label] = n.isFresh(s) && s.machinesVersion.FencingToken == n.membership.FencingToken
	}
	silent := n.silenceTimeout()
	for _, m := range some {
		if m.Owner == n.self.Label {
			m.SetSchedulable(m.inService && n.isSchedulable(m.worker, now, silent))
		} else {
			m.SetSchedulable(m.inService && m.usableByOwner && fresh[m.Owner])
		}
	}
	v.fleet.Rollback()
	return v.fleet
}

// isSchedulable reports whether a machine of this node takes new tasks: only one
// that has shown our token, which guards against a late copy of a report of a
// machine that is gone. And only one whose reports come: one that answers calls
// and can't report ends with its lease. mu is held.
func (n *Controller) isSchedulable(w *worker.Worker, now time.Time, silent time.Duration) bool {
	return w != nil && w.State == worker.TokenAcknowledged && now.Sub(w.LastHeard) < silent && now.Sub(w.LeaseRenewedAt()) < silent &&
		w.TerminationAt.IsZero() && !n.isQuarantined(w, now)
}

// applyRecordChanges looks at the machine records that have changed: most of them only
// in their phase, which needs no new index; mu is held.
func (n *Controller) applyRecordChanges() {
	v := &n.machineIndex
	for host := range v.changedRecords {
		rec, stored := n.inventory.Machines[host]
		m := v.machines[host]
		if stored != (m != nil) || stored && !sameMachine(m.Machine, n.placementMachine(host, rec)) {
			v.rebuild = true
		}
		if stored && rec.Phase == inventory.Terminated {
			v.terminated[host] = true
		} else {
			delete(v.terminated, host)
		}
		v.markChanged(host)
	}
	clear(v.changedRecords)
}

// placementMachine is the picture of an empty machine; mu is held.
func (n *Controller) placementMachine(host string, rec inventory.Record) *placement.Machine {
	t := n.machineTypes[rec.MachineType]
	return &placement.Machine{Name: host, Type: rec.MachineType, Zone: rec.Zone, Spot: rec.Spot, Role: rec.Role,
		Owner: n.shardOwner(host), FetchGBPerS: t.FetchGBPerS,
		Total: jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}}
}

// rebuildMachineIndex indexes the machines as stored, and keeps the pictures of those
// that are what they were; mu is held.
func (n *Controller) rebuildMachineIndex() {
	v := &n.machineIndex
	if v.fleet != nil {
		v.fleet.Rollback() // the machines that are kept hold what the last pass placed
	}
	kept := v.machines
	v.machines = make(map[string]*indexedMachine, len(n.inventory.Machines))
	list := make([]*placement.Machine, 0, len(n.inventory.Machines))
	for host, rec := range n.inventory.Machines {
		next, m := n.placementMachine(host, rec), kept[host]
		if m == nil || !sameMachine(m.Machine, next) {
			m = &indexedMachine{Machine: next}
			v.markChanged(host)
		}
		v.machines[host] = m
		list = append(list, m.Machine)
	}
	v.fleet = placement.NewFleet(list)
	v.ordered = v.ordered[:0]
	for _, m := range v.fleet.Machines {
		v.ordered = append(v.ordered, v.machines[m.Name])
	}
	v.rebuild = false
}

// sameMachine reports whether two pictures are of the same machine in the same
// place, leaving aside what is on it.
func sameMachine(a, b *placement.Machine) bool {
	return a.Type == b.Type && a.Zone == b.Zone && a.Spot == b.Spot && a.Role == b.Role && a.Owner == b.Owner &&
		a.FetchGBPerS == b.FetchGBPerS && a.Total == b.Total
}

// applyChangedMachines enters anew the machines that something has changed on, and
// returns them; mu is held.
func (n *Controller) applyChangedMachines() []*indexedMachine {
	v := &n.machineIndex
	var entered []*indexedMachine
	for host := range v.changed {
		n.sumClaims(host)
		if m := v.machines[host]; m != nil {
			n.applyMachine(m)
			entered = append(entered, m)
		}
	}
	clear(v.changed)
	return entered
}

// applyMachine enters a machine's claims, and what its owner knows of it; mu is
// held.
func (n *Controller) applyMachine(m *indexedMachine) {
	m.inService = n.inventory.Machines[m.Name].Phase == inventory.Active
	m.worker, m.usableByOwner, m.Incarnation, m.Images = nil, false, 0, nil
	if m.Owner == n.self.Label {
		if m.worker = n.workers[m.Name]; m.worker != nil {
			m.Incarnation, m.Images = m.worker.Incarnation, m.worker.Images
		}
	} else if s := n.siblings[m.Owner]; s != nil {
		if h, ok := s.machines[m.Name]; ok {
			m.Incarnation, m.Images = h.Incarnation, h.Images
			m.usableByOwner = h.TokenAcknowledged && !h.Silent && h.TerminationNotice < 0 && !h.Quarantined
		}
	}
	m.Free, m.Freeing = m.Total.Sub(n.table.ResourcesByMachine[m.Name]), jobs.Resources{}
	m.Tasks = m.Tasks[:0]
	for id, j := range n.table.ClaimsByMachine[m.Name] {
		stopping := j.Phase != jobs.Open || n.workers[m.Name] != nil && n.workers[m.Name].IsLeaving(id)
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

// sumClaims enters the claims on a machine in the sums by owner; mu is held.
func (n *Controller) sumClaims(host string) {
	v := &n.machineIndex
	if old, ok := v.claims[host]; ok {
		for team, r := range old.teams {
			v.claimedByNode[old.owner][team] = v.claimedByNode[old.owner][team].Sub(r)
		}
		delete(v.claims, host)
	}
	claims := n.table.ClaimsByMachine[host]
	if len(claims) == 0 {
		return
	}
	now := machineClaims{owner: n.shardOwner(host), teams: map[string]quota.Amount{}}
	for _, j := range claims {
		now.teams[j.Team] = now.teams[j.Team].Add(j.Need.Amount())
	}
	v.claims[host] = now
	by := v.claimedByNode[now.owner]
	if by == nil {
		by = map[string]quota.Amount{}
		v.claimedByNode[now.owner] = by
	}
	for team, r := range now.teams {
		by[team] = by[team].Add(r)
	}
}
