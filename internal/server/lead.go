package server

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sort"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/member"
	"wheatspur/internal/place"
	"wheatspur/internal/roles"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// lead returns the leader's memory for the present baton; mu is held.
func (n *Node) leadMemory() *leading {
	if n.leading.baton != n.member.Baton {
		old := n.leading
		n.leading = leading{baton: n.member.Baton, listed: map[string]wire.Host{}, absent: map[string]int{},
			hired: map[string]hired{}, refused: map[fleet.Kind]time.Time{}, control: map[string]*roles.Controller{},
			decision: map[string]roles.Decision{}, seenJobs: map[string]bool{}, idle: map[string]time.Time{},
			heard: map[string]time.Time{}, spared: map[string]time.Time{}, since: map[string]time.Time{}}
		if old.baton > 0 && old.baton == n.member.Baton-1 && old.hired != nil {
			// The same leader under a new membership keeps what it knows of the
			// cloud; role counters restart empty.
			n.leading.listed, n.leading.listAt, n.leading.absent = old.listed, old.listAt, old.absent
			n.leading.hired, n.leading.refused = old.hired, old.refused
			n.leading.idle, n.leading.heard, n.leading.since = old.idle, old.heard, old.since
			n.leading.spared = old.spared
			n.leading.batchSize, n.leading.batchSeen = old.batchSize, old.batchSeen
			n.leading.batchAvg, n.leading.avgAt = old.batchAvg, old.avgAt
			n.leading.batch, n.leading.service = old.batch, old.service
		}
	}
	return &n.leading
}

// runCloud reads the machine types and the machine list while leading.
func (n *Node) runCloud(ctx context.Context) error {
	var types time.Time
	for ctx.Err() == nil {
		n.mu.Lock()
		lead := n.leads()
		known := len(n.types) > 0
		n.mu.Unlock()
		if !lead {
			sleep(ctx, tuning.TickEvery)
			continue
		}
		if !known || n.now().Sub(types) > tuning.TypesEvery {
			if err := n.readTypes(ctx); err != nil {
				n.log.Info("machine types not read", "err", err)
			} else {
				types = n.now()
			}
		}
		if list, err := n.cloud.List(); err != nil {
			n.log.Info("machine list not read", "err", err)
		} else {
			n.enterList(ctx, list)
		}
		sleep(ctx, tuning.ListEvery)
	}
	return nil
}

func (n *Node) readTypes(ctx context.Context) error {
	list, err := n.cloud.Types()
	if err != nil {
		return err
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Label < list[b].Label })
	n.mu.Lock()
	same := len(list) == len(n.types)
	for i := 0; same && i < len(list); i++ {
		a, b := list[i], n.types[i]
		a.SpotPrice = b.SpotPrice // moves all the time
		same = fmt.Sprint(a) == fmt.Sprint(b)
	}
	guards := []wire.Guard{n.cache.Guard(member.Key), n.cache.Guard(typesKey)}
	n.mu.Unlock()
	if same {
		return nil
	}
	return n.write(ctx, guards, []wire.Change{{Set: typesKey, V: wire.MustMarshal(wire.Rigs{Rigs: list})}})
}

// write runs a guarded write of the leader and enters it.
func (n *Node) write(ctx context.Context, guards []wire.Guard, then []wire.Change) error {
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	defer stop()
	epoch, err := n.svc.Multi(cctx, store.ClassClaim, guards, then)
	if err != nil {
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLost) {
			_ = n.sync.Barrier(tuning.BarrierWait)
		}
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.Own(then, epoch)
	wake(n.kick)
	return nil
}

// hostChange is one change of a machine's record.
type hostChange struct {
	host string
	rec  *fleet.Record // nil: drop
}

// writeHosts stores changes of machine records, each guarded by its stamp.
func (n *Node) writeHosts(ctx context.Context, list []hostChange) {
	for len(list) > 0 {
		k := min(len(list), n.set.Params.State.TxnOps)
		n.mu.Lock()
		guards := []wire.Guard{n.cache.Guard(member.Key)}
		var then []wire.Change
		for _, c := range list[:k] {
			key := fleet.HostKey(c.host)
			guards = append(guards, n.cache.Guard(key))
			if c.rec == nil {
				then = append(then, wire.Change{Drop: key})
			} else {
				then = append(then, wire.Change{Set: key, V: wire.MustMarshal(c.rec)})
			}
		}
		n.mu.Unlock()
		if err := n.write(ctx, guards, then); err != nil {
			n.log.Info("machine records not stored", "machines", k, "err", err)
		}
		list = list[k:]
	}
}

// enterList compares the cloud's list with the stored machines.
func (n *Node) enterList(ctx context.Context, list []wire.Host) {
	n.mu.Lock()
	if !n.leads() {
		n.mu.Unlock()
		return
	}
	l := n.leadMemory()
	now := n.now()
	l.listAt = now
	seen := map[string]bool{}
	var changes []hostChange
	for _, h := range list {
		seen[h.Ref] = true
		if _, ok := l.since[h.Ref]; !ok {
			l.since[h.Ref] = now
		}
		l.listed[h.Ref] = h
		delete(l.absent, h.Ref)
		rec, known := n.hosts[h.Ref]
		switch {
		case h.Phase == wire.HostFailed:
			if !known {
				// Its record is dropped already; the entry stays until deleted.
				rec = fleet.Record{Rig: h.Rig, Plot: h.Plot, Spot: h.Windfall, Role: place.Batch}
			}
			if next, err := rec.Phase.Next(fleet.Gone); err == nil && rec.Phase != fleet.Returned {
				rec.Phase, rec.Why = next, "listed as failed"
				changes = append(changes, hostChange{h.Ref, &rec})
				n.log.Info("machine failed", "host", h.Ref)
			}
		case !known:
			rec = fleet.Record{Rig: h.Rig, Plot: h.Plot, Spot: h.Windfall, Phase: fleet.In, Role: n.firstRole(l, h, changes)}
			changes = append(changes, hostChange{h.Ref, &rec})
			n.log.Info("machine joins", "host", h.Ref, "type", h.Rig, "zone", h.Plot, "spot", h.Windfall, "role", string(rec.Role))
		}
		if n.member.Owner(h.Ref) == n.self.Label && h.Phase == wire.HostRunning {
			if w := n.worker(h.Ref); w.Address == "" {
				w.Address = h.Address
			}
		}
	}
	lag := config.Seconds(n.set.Params.Cloud.ListLagS)
	for host, rec := range n.hosts {
		if seen[host] {
			continue
		}
		// A stored machine was listed once, perhaps to a former leader. A list
		// may be older than that: a new machine may be missing from it.
		if _, ok := l.since[host]; !ok {
			l.since[host] = now
		}
		if rec.Phase == fleet.Returned || now.Sub(l.since[host]) > tuning.ListLagFactor*lag {
			l.absent[host]++
		}
	}
	for host := range l.hired {
		if seen[host] {
			delete(l.hired, host)
		}
	}
	n.mu.Unlock()
	n.writeHosts(ctx, changes)
}

// firstRole is the role of a machine that is new to the store: what it was
// rented for; else the role floors, then what waits, then the smaller role.
func (n *Node) firstRole(l *leading, h wire.Host, joining []hostChange) place.Role {
	if h.Windfall {
		return place.Batch
	}
	if r, ok := l.hired[h.Ref]; ok {
		return r.role
	}
	count := map[place.Role]int{}
	add := func(r fleet.Record) {
		if r.Rig == h.Rig && !r.Spot && r.Phase == fleet.In {
			count[r.Role]++
		}
	}
	for _, r := range n.hosts {
		add(r)
	}
	for _, c := range joining {
		add(*c.rec)
	}
	waiting := false
	for ref := range n.unmet {
		j := n.table.Open[ref]
		waiting = waiting || j != nil && j.Service()
	}
	switch {
	case count[place.Service] < tuning.RoleFloor:
		return place.Service
	case count[place.Batch] < tuning.RoleFloor:
		return place.Batch
	case waiting || count[place.Service] <= count[place.Batch]:
		return place.Service
	}
	return place.Batch
}

// runLead plans capacity and moves roles while leading.
func (n *Node) runLead(ctx context.Context) error {
	var stepped time.Time
	for ctx.Err() == nil {
		sleep(ctx, tuning.PlanEvery)
		n.mu.Lock()
		if !n.leads() || !n.hasState() || len(n.types) == 0 {
			n.mu.Unlock()
			continue
		}
		l, now := n.leadMemory(), n.now()
		machines := n.machines(now)
		n.noteArrivals(l, now)
		var moves []hostChange
		if now.Sub(stepped) >= tuning.RoleStep {
			stepped = now
			moves = n.stepRoles(l, machines, now)
		}
		listed := !l.listAt.IsZero() && now.Sub(l.listAt) < 5*tuning.ListEvery
		var out fleet.PlanOutput
		if listed {
			out = fleet.Plan(n.planInput(l, machines, now))
		}
		drains := n.drainChanges(out.Drains)
		returns, drops := n.toReturn(l, now)
		n.mu.Unlock()

		n.writeHosts(ctx, append(append(moves, drains...), drops...))
		if len(returns) > 0 {
			n.giveBack(ctx, returns)
		}
		for _, h := range out.Hires {
			n.hire(ctx, h)
		}
	}
	return nil
}

// noteArrivals feeds the role controllers with service jobs that are new.
func (n *Node) noteArrivals(l *leading, now time.Time) {
	for _, t := range n.types {
		if l.control[t.Label] == nil {
			l.control[t.Label] = roles.New(n.set.Operator, now)
		}
	}
	for ref, j := range n.table.Open {
		if l.seenJobs[ref] {
			continue
		}
		l.seenJobs[ref] = true
		if !j.Service() {
			size := min(float64(j.Record.Tasks), tuning.TasksPerJob)
			if l.batchSize == 0 {
				l.batchSize = size
			}
			l.batchSize += (size - l.batchSize) * tuning.BatchSizeAlpha
			l.batchSeen = now
		}
		if !j.Service() || now.Sub(j.Seen) > tuning.RoleStep {
			continue
		}
		for _, t := range n.types {
			if jobs.Allowed(j.Record.Work, t.Label) {
				tot := jobs.Resources{CPUs: t.CPUs, GPUs: t.Cards, RAM: t.RAMGB}
				l.control[t.Label].Arrive(now, j.Need.Share(tot)*float64(j.Record.Tasks))
			}
		}
	}
	for ref := range l.seenJobs {
		if n.table.Open[ref] == nil {
			delete(l.seenJobs, ref)
		}
	}
}

// split describes one type's ordinary machines and demand; mu is held.
func (n *Node) split(t wire.Rig, machines []*place.Machine) roles.Split {
	s := roles.Split{Type: t.Label, Complete: true}
	for _, sib := range n.siblings {
		if n.member.Has(member.Node{Label: sib.cfg.Label, Incarnation: sib.status.Incarnation}) && !n.freshSibling(sib) {
			s.Complete = false
		}
	}
	count := map[string]int{}    // machines that take tasks, by type
	coming := []jobs.Resources{} // room on batch machines of the type that still boot
	for _, m := range machines {
		if n.hosts[m.Name].Phase != fleet.In {
			continue
		}
		if !m.Open && len(m.Tasks) == 0 {
			// Only machines that are up count, and only they move. Counting
			// those that boot made queued work that waits for them look like a
			// lack of batch machines.
			if m.Type == t.Label && m.Role == place.Batch {
				coming = append(coming, m.Free)
			}
			if m.Type == t.Label && !m.Spot {
				if m.Role == place.Batch {
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
		case m.Role == place.Service:
			s.Service++
		default:
			s.Batch++
		}
		for _, r := range m.Tasks {
			if r.Job.Service() && r.Job.Record.Phase == jobs.Open {
				s.ServiceBooked += r.Job.Need.Share(m.Total)
			}
		}
	}
	tot := jobs.Resources{CPUs: t.CPUs, GPUs: t.Cards, RAM: t.RAMGB}
	for ref, k := range n.unmet {
		j := n.table.Jobs[ref]
		if j == nil || j.Record.Work == nil || !jobs.Allowed(j.Record.Work, t.Label) {
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
			if jobs.Allowed(j.Record.Work, label) {
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
			s.BatchWork += part * j.Record.Work.ReckonS
		}
	}
	return s
}

// stepRoles evaluates every type's split and returns the moves; mu is held.
func (n *Node) stepRoles(l *leading, machines []*place.Machine, now time.Time) []hostChange {
	var out []hostChange
	for _, t := range n.types {
		c := l.control[t.Label]
		if c == nil {
			continue
		}
		var service, batch []*place.Machine
		for _, m := range machines {
			if m.Type == t.Label && !m.Spot && n.hosts[m.Name].Phase == fleet.In && (m.Open || len(m.Tasks) > 0) {
				if m.Role == place.Service {
					service = append(service, m)
				} else {
					batch = append(batch, m)
				}
			}
		}
		victim := roles.Victim(service)
		d := c.Evaluate(now, n.split(t, machines), func() bool { return victim != nil && fitElsewhere(machines, victim, false) })
		l.decision[t.Label] = d
		var m *place.Machine
		role := place.Batch
		switch d.Move {
		case roles.ToBatch:
			m = victim
		case roles.ToService:
			m, role = roles.Emptiest(batch), place.Service
		}
		n.log.Debug("roles evaluated", "type", t.Label, "batch", d.Batch, "service", d.Service, "batch_load", d.BatchLoad,
			"service_load", d.ServiceLoad, "proposal", string(d.Proposal.Direction), "rule", string(d.Proposal.Rule),
			"confirmations", d.Confirmations, "gate", string(d.Gate), "evidence_open", d.EvidenceOpen)
		if m == nil {
			continue
		}
		rec := n.hosts[m.Name]
		rec.Role, rec.Why = role, string(d.Proposal.Rule)
		out = append(out, hostChange{m.Name, &rec})
		n.log.Info("role move", "host", m.Name, "type", t.Label, "to", string(role), "rule", string(d.Proposal.Rule),
			"batch_load", d.BatchLoad, "service_load", d.ServiceLoad)
	}
	return out
}

// fitElsewhere reports whether all service tasks of a machine have room on the
// others at once; held: on machines that hold their images.
func fitElsewhere(machines []*place.Machine, victim *place.Machine, held bool) bool {
	copies := make([]*place.Machine, len(machines))
	for i, m := range machines {
		c := *m
		copies[i] = &c
	}
	for _, r := range victim.Tasks {
		if !r.Job.Service() || r.Job.Record.Phase != jobs.Open {
			continue
		}
		to := place.Elsewhere(copies, r.Job, r.ID.Task, victim.Name)
		if to == nil || held && !to.Images[r.Job.Record.Work.Bundle] {
			return false
		}
		to.Free = to.Free.Sub(r.Job.Need)
	}
	return true
}

// planInput builds the capacity plan's input; mu is held.
func (n *Node) planInput(l *leading, machines []*place.Machine, now time.Time) fleet.PlanInput {
	in := fleet.PlanInput{Now: now, Op: n.set.Operator, Types: n.types, Refused: l.refused, Spared: l.spared}
	lease := time.Duration(float64(n.set.Lease())*tuning.DriftFactor) + tuning.LeaseMargin
	up := n.lastHeard(now)
	batch := 0.0
	var service fleet.Load
	for _, m := range machines {
		rec := n.hosts[m.Name]
		u := fleet.Unit{Name: m.Name, Kind: fleet.Kind{Rig: m.Type, Zone: m.Zone, Spot: m.Spot}, Role: m.Role,
			Open: m.Open, Claims: len(m.Tasks), Free: m.Free}
		listed, isListed := l.listed[m.Name]
		if age, ok := up[m.Name]; ok {
			l.hear(m.Name, now.Add(-age))
		} else if _, ok := l.heard[m.Name]; !ok && (len(m.Tasks) > 0 || isListed && listed.Phase == wire.HostRunning) {
			// Up, but not heard under this leader yet: its time begins now.
			l.hear(m.Name, now)
		}
		at, wasUp := l.heard[m.Name]
		quiet := now.Sub(at)
		u.Booting = !wasUp && rec.Phase == fleet.In
		if isListed {
			u.Age = time.Duration(listed.HeldS*float64(time.Second)) + now.Sub(l.listAt)
		}
		u.Silent = wasUp && quiet > 2*lease
		u.Missing = l.absent[m.Name] >= tuning.GoneLists && wasUp && quiet > 2*n.set.Report()
		if len(m.Tasks) > 0 || rec.Phase != fleet.In {
			delete(l.idle, m.Name)
		} else if _, ok := l.idle[m.Name]; !ok {
			l.idle[m.Name] = now
		}
		if at, ok := l.idle[m.Name]; ok {
			u.Idle = now.Sub(at)
		}
		for _, r := range m.Tasks {
			wk := r.Job.Record.Work
			if wk == nil || r.Job.Record.Phase != jobs.Open {
				continue
			}
			if r.Job.Service() {
				service.Tasks++
				service.Need, service.Work = r.Job.Need, wk
			} else {
				batch++
				l.batch.Need, l.batch.Work = r.Job.Need, wk
			}
		}
		if rec.Phase == fleet.Draining && len(m.Tasks) > 0 && m.Role == place.Service {
			in.Moving = true
		}
		u.Movable = m.Open && m.Role == place.Service && len(m.Tasks) > 0 && fitElsewhere(machines, m, true)
		if rec.Phase == fleet.In {
			if w := n.workers[m.Name]; m.Owner == n.self.Label && w != nil && len(w.Errors) >= tuning.HostErrorsMax {
				u.Suspect = true
			}
			in.Units = append(in.Units, u)
		}
	}
	for host, h := range l.hired {
		if _, known := n.hosts[host]; known || now.Sub(h.at) > time.Minute {
			delete(l.hired, host)
			continue
		}
		t := n.rigs[h.kind.Rig]
		in.Units = append(in.Units, fleet.Unit{Name: host, Kind: h.kind, Role: h.role, Booting: true, Age: now.Sub(h.at),
			Free: jobs.Resources{CPUs: t.CPUs, GPUs: t.Cards, RAM: t.RAMGB}})
	}
	if l.avgAt.IsZero() {
		l.batchAvg = batch
	} else {
		a := min(1, now.Sub(l.avgAt).Seconds()/tuning.BatchWindow.Seconds())
		l.batchAvg += (batch - l.batchAvg) * a
	}
	l.avgAt = now
	l.batch.Tasks, l.batch.Least = l.batchAvg, 0
	if now.Sub(l.batchSeen) < tuning.BatchHeadroomHold {
		l.batch.Least = int(math.Ceil(l.batchSize * tuning.BatchHeadroomJobs))
	}
	in.Batch, in.Service = l.batch, service
	refs := make([]string, 0, len(n.unmet))
	for ref := range n.unmet {
		refs = append(refs, ref)
	}
	sort.Slice(refs, func(a, b int) bool { return n.unmetAt[refs[a]].Before(n.unmetAt[refs[b]]) })
	for _, ref := range refs {
		j := n.table.Open[ref]
		if j == nil || n.why[ref] != place.NoRoom {
			continue
		}
		if j.Service() {
			// The headroom is for what will run too, and larger while it waits:
			// some machines take several times as long to boot.
			in.Service.Tasks += tuning.BootHedge * float64(n.unmet[ref])
			in.Service.Need, in.Service.Work = j.Need, j.Record.Work
		}
		in.Wants = append(in.Wants, fleet.Want{Job: j, Count: n.unmet[ref], Waiting: now.Sub(n.unmetAt[ref])})
	}
	return in
}

// hear notes that a machine was up at a time.
func (l *leading) hear(host string, at time.Time) {
	if at.After(l.heard[host]) {
		l.heard[host] = at
	}
}

// lastHeard is how long ago each machine was heard by its owner.
func (n *Node) lastHeard(now time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for host, w := range n.workers {
		if !w.Heard.IsZero() {
			out[host] = now.Sub(w.Heard)
		}
	}
	for _, s := range n.siblings {
		if s.at.IsZero() || now.Sub(s.at) > 5*tuning.PeerFresh {
			continue
		}
		for _, h := range s.status.Hosts {
			age := h.Age + now.Sub(s.at)
			if old, ok := out[h.Name]; !ok || age < old {
				out[h.Name] = age
			}
		}
	}
	return out
}

// drainChanges stores that machines take no more tasks; mu is held.
func (n *Node) drainChanges(drains []fleet.DrainPlan) []hostChange {
	var out []hostChange
	for _, d := range drains {
		rec, ok := n.hosts[d.Name]
		if !ok {
			continue
		}
		next, err := rec.Phase.Next(fleet.Drain)
		if err != nil {
			continue
		}
		rec.Phase, rec.Why = next, d.Why
		out = append(out, hostChange{d.Name, &rec})
		n.log.Info("machine drains", "host", d.Name, "why", d.Why)
	}
	return out
}

// toReturn lists drained machines to give back, and records to drop; mu is
// held. A machine goes back when it is empty, or when it is dead: then its
// return is the proof that its tasks are gone.
func (n *Node) toReturn(l *leading, now time.Time) (returns []string, drops []hostChange) {
	for host, rec := range n.hosts {
		switch rec.Phase {
		case fleet.Draining:
			if n.cache.Rev() < n.cache.Stamp(fleet.HostKey(host)) {
				continue // claims stored before the drain may not be seen yet
			}
			open := 0
			for _, j := range n.table.Hosts[host] {
				if j.Record.Phase == jobs.Open {
					open++
				}
			}
			dead := rec.Why == fleet.WhyGone || rec.Why == fleet.WhySilent || rec.Why == fleet.WhySlowBoot
			if open == 0 || dead {
				returns = append(returns, host)
			}
		case fleet.Returned:
			if len(n.table.Hosts[host]) > 0 {
				continue // its owner releases them first
			}
			if l.absent[host] >= tuning.GoneLists {
				drops = append(drops, hostChange{host, nil})
				delete(l.listed, host)
				delete(l.absent, host)
				delete(l.heard, host)
				delete(l.since, host)
				delete(l.idle, host)
			} else if l.listed[host].Phase == wire.HostFailed && l.absent[host] == 0 {
				returns = append(returns, host) // stays listed until deleted
			}
		}
	}
	sort.Strings(returns)
	if len(returns) > tuning.ReturnMax {
		returns = returns[:tuning.ReturnMax]
	}
	return returns, drops
}

// giveBack returns machines to the cloud and stores that they are gone.
func (n *Node) giveBack(ctx context.Context, hosts []string) {
	if err := n.cloud.Return(hosts); err != nil {
		n.log.Info("machines not returned", "hosts", hosts, "err", err)
		return
	}
	n.log.Info("machines returned", "hosts", hosts)
	n.mu.Lock()
	var changes []hostChange
	for _, h := range hosts {
		rec, ok := n.hosts[h]
		if !ok || rec.Phase == fleet.Returned {
			continue
		}
		if next, err := rec.Phase.Next(fleet.Gone); err == nil {
			rec.Phase = next
			changes = append(changes, hostChange{h, &rec})
		}
	}
	n.mu.Unlock()
	n.writeHosts(ctx, changes)
}

// hire rents machines. A request's name holds the baton, which only one leader
// ever has, and a counter: no name is used twice.
func (n *Node) hire(ctx context.Context, h fleet.HirePlan) {
	n.mu.Lock()
	if !n.leads() || ctx.Err() != nil {
		n.mu.Unlock()
		return
	}
	l := n.leadMemory()
	l.counter++
	name := fmt.Sprintf("%s-%d-%d", n.self.Label, l.baton, l.counter)
	n.mu.Unlock()
	number := min(h.Number, tuning.HireMax)
	names, err := n.cloud.Hire(wire.Hire{Hire: name, Rig: h.Kind.Rig, Plot: h.Kind.Zone, Windfall: h.Kind.Spot, Number: number})
	n.mu.Lock()
	defer n.mu.Unlock()
	l = n.leadMemory()
	now := n.now()
	if errors.Is(err, fleet.ErrNoCapacity) || err == nil && len(names) < number {
		l.refused[h.Kind] = now
	}
	n.log.Info("machines rented", "request", name, "type", h.Kind.Rig, "zone", h.Kind.Zone, "spot", h.Kind.Spot,
		"role", string(h.Role), "asked", number, "got", len(names), "why", h.Why, "err", err)
	for _, host := range names {
		l.hired[host] = hired{h.Kind, h.Role, now}
	}
}
