package server

import (
	"time"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
)

// fleetView is the picture of all machines that passes, plans and role decisions
// start from, and the sums of the claims by owner. It is kept from one to the
// next: only the machines that something has changed on are entered anew. With
// thousands of machines, entering all of them took most of a pass.
type fleetView struct {
	fleet    *place.Fleet
	list     []*machineView // in the order of fleet.Machines
	machines map[string]*machineView
	stale    bool            // machine records have changed since fleet was built
	touched  map[string]bool // machines whose claims, worker or owner's status has changed

	claims map[string]hostClaims // what is held on each machine, as it stands in held
	held   heldByOwner
}

// machineView is one machine and what its openness follows from.
type machineView struct {
	*place.Machine
	worker *fleet.Worker // nil: another node's, or never heard
	in     bool          // its record lets it take tasks
	usable bool          // another node's: so does what its owner tells
}

// heldByOwner is what the claims on a node's machines take, by owner and team.
type heldByOwner map[string]map[string]jobs.Resources

// hostClaims is what the claims on one machine take, by team.
type hostClaims struct {
	owner string
	teams map[string]jobs.Resources
}

func newFleetView() fleetView {
	return fleetView{machines: map[string]*machineView{}, touched: map[string]bool{}, claims: map[string]hostClaims{}, held: heldByOwner{}}
}

// touch notes that something has changed on a machine.
func (v *fleetView) touch(host string) { v.touched[host] = true }

// resetView starts the picture anew: the owners of the machines have changed.
// mu is held.
func (n *Node) resetView() {
	n.view = newFleetView()
	for host := range n.table.Hosts {
		n.view.touch(host)
	}
}

// machines brings the picture of the fleet up to date; mu is held.
func (n *Node) machines(now time.Time) *place.Fleet {
	v := &n.view
	if v.fleet == nil || v.stale {
		n.buildFleet()
	}
	n.enterTouched()
	silent := n.silentAfter()
	told := map[string]bool{} // owners whose status holds for this membership
	for label, s := range n.siblings {
		told[label] = n.freshSibling(s) && s.seen.Baton == n.member.Baton
	}
	for _, m := range v.list {
		if m.Owner != n.self.Label {
			m.Open = m.in && m.usable && told[m.Owner]
			continue
		}
		// Only a machine that has shown our token takes tasks. It guards
		// against a late copy of a report of a machine that is gone. And only
		// one whose reports come: one that answers calls and can't report
		// ends with its lease.
		w := m.worker
		m.Open = m.in && w != nil && w.State == fleet.Proven &&
			now.Sub(w.Heard) < silent && now.Sub(w.Renewed()) < silent && w.TakenAt.IsZero() && !n.unfit(w)
	}
	v.fleet.Rewind()
	return v.fleet
}

// buildFleet indexes the machines as stored, and keeps the pictures of those
// that are what they were; mu is held.
func (n *Node) buildFleet() {
	v := &n.view
	kept := v.machines
	v.machines = make(map[string]*machineView, len(n.reg.Hosts))
	list := make([]*place.Machine, 0, len(n.reg.Hosts))
	for host, rec := range n.reg.Hosts {
		t := n.rigs[rec.Rig]
		next := place.Machine{Name: host, Type: rec.Rig, Zone: rec.Plot, Spot: rec.Spot, Role: rec.Role,
			Owner: n.ownerOf(host), FetchGBPerS: t.FetchGBPerS,
			Total: jobs.Resources{CPUs: t.CPUs, GPUs: t.Cards, RAM: t.RAMGB}}
		m := kept[host]
		if m == nil || !sameMachine(m.Machine, &next) {
			m = &machineView{Machine: &next}
			v.touch(host)
		}
		m.in = rec.Phase == fleet.In
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

// enterTouched enters anew the machines that something has changed on; mu is
// held.
func (n *Node) enterTouched() {
	v := &n.view
	for host := range v.touched {
		n.sumClaims(host)
		if m := v.machines[host]; m != nil && v.fleet != nil {
			n.enterMachine(m)
		} else if v.fleet == nil || v.stale {
			continue // it is entered once the fleet is built
		}
		delete(v.touched, host)
	}
}

// enterMachine enters a machine's claims, and what its owner knows of it; mu is
// held.
func (n *Node) enterMachine(m *machineView) {
	m.worker, m.usable, m.Stint, m.Images = nil, false, 0, nil
	if m.Owner == n.self.Label {
		if m.worker = n.workers[m.Name]; m.worker != nil {
			m.Stint, m.Images = m.worker.Stint, m.worker.Images
		}
	} else if s := n.siblings[m.Owner]; s != nil {
		if h, ok := s.hosts[m.Name]; ok {
			m.Stint, m.Images = h.Stint, h.Images
			m.usable = h.Proven && !h.Silent && h.Warning < 0 && !h.Suspect
		}
	}
	m.Free, m.Freeing = m.Total.Sub(n.table.Needs[m.Name]), jobs.Resources{}
	m.Tasks = m.Tasks[:0]
	for id, j := range n.table.Hosts[m.Name] {
		stopping := j.Phase != jobs.Open || n.workers[m.Name] != nil && n.workers[m.Name].Leaves(id)
		m.Tasks = append(m.Tasks, place.Resident{ID: id, Job: j, Stopping: stopping})
		if stopping {
			m.Freeing = m.Freeing.Add(j.Need)
		}
	}
	m.Enter()
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
	claims := n.table.Hosts[host]
	if len(claims) == 0 {
		return
	}
	now := hostClaims{owner: n.ownerOf(host), teams: map[string]jobs.Resources{}}
	for _, j := range claims {
		now.teams[j.Team] = now.teams[j.Team].Add(j.Need)
	}
	v.claims[host] = now
	by := v.held[now.owner]
	if by == nil {
		by = map[string]jobs.Resources{}
		v.held[now.owner] = by
	}
	for team, r := range now.teams {
		by[team] = by[team].Add(r)
	}
}
