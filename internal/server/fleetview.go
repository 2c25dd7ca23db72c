package server

import (
	"time"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/internal/quota"
	"wheatspur/internal/tuning"
)

// fleetView is the picture of all machines that passes, plans and role decisions
// start from, and the sums of the claims by owner. It is kept from one to the
// next: only the machines that something has changed on are entered anew. With
// thousands of machines, entering all of them took most of a pass.
type fleetView struct {
	fleet        *place.Fleet
	list         []*machineView // in the order of fleet.Machines
	machines     map[string]*machineView
	stale        bool            // the machines are not those that fleet was built of
	records      map[string]bool // machines whose records have changed
	touched      map[string]bool // machines whose claims, worker or owner's status has changed
	active       map[string]bool // machines of this node that the next pass looks at
	swept        time.Time       // when a pass last looked at all of them
	opened       time.Time       // when the openness of all machines was last worked out
	returned     map[string]bool // machines that are stored as returned
	unpublished  map[string]bool // machines that may differ from what siblings are told of them
	publishedAll time.Time       // when all machines were last compared with that

	claims map[string]hostClaims // what is held on each machine, as it stands in held
	held   quota.ClaimedByNode
}

// machineView is one machine and what its openness follows from.
type machineView struct {
	*place.Machine
	worker *fleet.Worker // nil: another node's, or never heard
	in     bool          // its record lets it take tasks
	usable bool          // another node's: so does what its owner tells
}

// hostClaims is what the claims on one machine take, by team.
type hostClaims struct {
	owner string
	teams map[string]quota.Amount
}

func newFleetView() fleetView {
	return fleetView{machines: map[string]*machineView{}, records: map[string]bool{}, touched: map[string]bool{}, active: map[string]bool{},
		returned: map[string]bool{}, unpublished: map[string]bool{},
		claims: map[string]hostClaims{}, held: quota.ClaimedByNode{}}
}

// touch notes that something has changed on a machine.
func (v *fleetView) touch(host string) {
	v.touched[host], v.active[host], v.unpublished[host] = true, true, true
}

// resetView starts the picture anew: the owners of the machines have changed.
// mu is held.
func (n *Node) resetView() {
	n.view = newFleetView()
	for host := range n.table.ClaimsByMachine {
		n.view.touch(host)
	}
	for host := range n.reg.Machines {
		n.view.records[host] = true
	}
}

// sweep lists the workers of this node that a pass looks at: those that
// something has changed for or is due for, and every so often all, for what
// follows from time alone, such as the end of a lease; mu is held.
func (n *Node) sweep(now time.Time) (workers map[string]*fleet.Worker, all bool) {
	v := &n.view
	if now.Sub(v.swept) >= tuning.SweepEvery || now.Before(v.swept) {
		v.swept = now
		return n.workers, true
	}
	some := make(map[string]*fleet.Worker, len(v.active))
	for host := range v.active {
		if w := n.workers[host]; w != nil {
			some[host] = w
		}
	}
	return some, false
}

// settle takes the machines that nothing is due for out of what the next pass
// looks at; mu is held.
func (n *Node) settle() {
	for host := range n.view.active {
		if w := n.workers[host]; w == nil || w.Quiescent() {
			delete(n.view.active, host)
		}
	}
}

// machines brings the picture of the fleet up to date; mu is held.
func (n *Node) machines(now time.Time) *place.Fleet {
	v := &n.view
	n.refreshRecords()
	if v.fleet == nil || v.stale {
		n.buildFleet()
	}
	some := n.applyTouched()
	if now.Sub(v.opened) >= tuning.SweepEvery || now.Before(v.opened) {
		v.opened = now
		some = v.list
	}
	fresh := map[string]bool{} // owners whose status holds for this membership
	for label, s := range n.siblings {
		fresh[label] = n.freshSibling(s) && s.seen.FencingToken == n.member.FencingToken
	}
	silent := n.silentAfter()
	for _, m := range some {
		if m.Owner == n.self.Label {
			m.SetSchedulable(m.in && n.takesTasks(m.worker, now, silent))
		} else {
			m.SetSchedulable(m.in && m.usable && fresh[m.Owner])
		}
	}
	v.fleet.Rollback()
	return v.fleet
}

// takesTasks reports whether a machine of this node takes new tasks: only one
// that has shown our token, which guards against a late copy of a report of a
// machine that is gone. And only one whose reports come: one that answers calls
// and can't report ends with its lease. mu is held.
func (n *Node) takesTasks(w *fleet.Worker, now time.Time, silent time.Duration) bool {
	return w != nil && w.State == fleet.TokenAcknowledged && now.Sub(w.LastHeard) < silent && now.Sub(w.LeaseRenewedAt()) < silent &&
		w.TerminationAt.IsZero() && !n.unfit(w, now)
}

// refreshRecords looks at the machine records that have changed: most of them only
// in their phase, which needs no new index; mu is held.
func (n *Node) refreshRecords() {
	v := &n.view
	for host := range v.records {
		rec, stored := n.reg.Machines[host]
		m := v.machines[host]
		if stored != (m != nil) || stored && !sameMachine(m.Machine, n.newMachine(host, rec)) {
			v.stale = true
		}
		if stored && rec.Phase == fleet.Terminated {
			v.returned[host] = true
		} else {
			delete(v.returned, host)
		}
		v.touch(host)
	}
	clear(v.records)
}

// newMachine is the picture of an empty machine; mu is held.
func (n *Node) newMachine(host string, rec fleet.Record) *place.Machine {
	t := n.machineTypes[rec.MachineType]
	return &place.Machine{Name: host, Type: rec.MachineType, Zone: rec.Zone, Spot: rec.Spot, Role: rec.Role,
		Owner: n.ownerOf(host), FetchGBPerS: t.FetchGBPerS,
		Total: jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}}
}

// buildFleet indexes the machines as stored, and keeps the pictures of those
// that are what they were; mu is held.
func (n *Node) buildFleet() {
	v := &n.view
	if v.fleet != nil {
		v.fleet.Rollback() // the machines that are kept hold what the last pass placed
	}
	kept := v.machines
	v.machines = make(map[string]*machineView, len(n.reg.Machines))
	list := make([]*place.Machine, 0, len(n.reg.Machines))
	for host, rec := range n.reg.Machines {
		next, m := n.newMachine(host, rec), kept[host]
		if m == nil || !sameMachine(m.Machine, next) {
			m = &machineView{Machine: next}
			v.touch(host)
		}
		v.machines[host] = m
		list = append(list, m.Machine)
	}
	v.fleet = place.NewFleet(list)
	v.list = v.list[:0]
	for _, m := range v.fleet.Machines {
		v.list = append(v.list, v.machines[m.Name])
	}
	v.stale = false
}

// sameMachine reports whether two pictures are of the same machine in the same
// place, leaving aside what is on it.
func sameMachine(a, b *place.Machine) bool {
	return a.Type == b.Type && a.Zone == b.Zone && a.Spot == b.Spot && a.Role == b.Role && a.Owner == b.Owner &&
		a.FetchGBPerS == b.FetchGBPerS && a.Total == b.Total
}

// applyTouched enters anew the machines that something has changed on, and
// returns them; mu is held.
func (n *Node) applyTouched() []*machineView {
	v := &n.view
	var entered []*machineView
	for host := range v.touched {
		n.sumClaims(host)
		if m := v.machines[host]; m != nil {
			n.applyMachine(m)
			entered = append(entered, m)
		}
	}
	clear(v.touched)
	return entered
}

// applyMachine enters a machine's claims, and what its owner knows of it; mu is
// held.
func (n *Node) applyMachine(m *machineView) {
	m.in = n.reg.Machines[m.Name].Phase == fleet.Active
	m.worker, m.usable, m.Incarnation, m.Images = nil, false, 0, nil
	if m.Owner == n.self.Label {
		if m.worker = n.workers[m.Name]; m.worker != nil {
			m.Incarnation, m.Images = m.worker.Incarnation, m.worker.Images
		}
	} else if s := n.siblings[m.Owner]; s != nil {
		if h, ok := s.hosts[m.Name]; ok {
			m.Incarnation, m.Images = h.Incarnation, h.Images
			m.usable = h.TokenAcknowledged && !h.Silent && h.TerminationNotice < 0 && !h.Quarantined
		}
	}
	m.Free, m.Freeing = m.Total.Sub(n.table.ResourcesByMachine[m.Name]), jobs.Resources{}
	m.Tasks = m.Tasks[:0]
	for id, j := range n.table.ClaimsByMachine[m.Name] {
		stopping := j.Phase != jobs.Open || n.workers[m.Name] != nil && n.workers[m.Name].IsLeaving(id)
		resident := place.ClaimedTask{ID: id, Job: j, Stopping: stopping}
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
func (n *Node) sumClaims(host string) {
	v := &n.view
	if old, ok := v.claims[host]; ok {
		for team, r := range old.teams {
			v.held[old.owner][team] = v.held[old.owner][team].Sub(r)
		}
		delete(v.claims, host)
	}
	claims := n.table.ClaimsByMachine[host]
	if len(claims) == 0 {
		return
	}
	now := hostClaims{owner: n.ownerOf(host), teams: map[string]quota.Amount{}}
	for _, j := range claims {
		now.teams[j.Team] = now.teams[j.Team].Add(j.Need.Amount())
	}
	v.claims[host] = now
	by := v.held[now.owner]
	if by == nil {
		by = map[string]quota.Amount{}
		v.held[now.owner] = by
	}
	for team, r := range now.teams {
		by[team] = by[team].Add(r)
	}
}
