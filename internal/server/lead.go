package server

import (
	"context"
	"errors"
	"math"
	"slices"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/member"
	"wheatspur/internal/place"
	"wheatspur/internal/roles"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// leadMemory returns the leader's memory for the present token; mu is held.
func (n *Node) leadMemory() *leading {
	if n.leading.token != n.member.Token {
		old := n.leading
		n.leading = leading{token: n.member.Token, nextToken: n.member.Last() + 1, listed: map[string]wire.Host{}, absent: map[string]int{},
			active: map[place.Role]time.Time{}, rented: map[string]rental{}, refused: map[fleet.Kind]time.Time{}, control: map[string]*roles.Controller{},
			decision: map[string]roles.Decision{}, seenJobs: map[string]bool{}, idle: map[string]time.Time{},
			heard: map[string]time.Time{}, surplusSince: map[string]time.Time{}, since: map[string]time.Time{}, unfit: map[string]time.Time{}, gone: map[string]time.Time{}}
		if old.token > 0 && old.nextToken == n.member.Token && old.rented != nil {
			// The same leader under a new membership keeps what it knows of the
			// cloud; role counters restart empty.
			n.leading.listed, n.leading.listAt, n.leading.absent = old.listed, old.listAt, old.absent
			n.leading.rented, n.leading.refused = old.rented, old.refused
			n.leading.idle, n.leading.heard, n.leading.since = old.idle, old.heard, old.since
			n.leading.unfit, n.leading.gone = old.unfit, old.gone
			n.leading.surplusSince, n.leading.active = old.surplusSince, old.active
			n.leading.batchSize, n.leading.batchSeen = old.batchSize, old.batchSeen
			n.leading.batchAvg, n.leading.avgAt = old.batchAvg, old.avgAt
			n.leading.batch, n.leading.service = old.batch, old.service
			n.leading.plain, n.leading.plainSeen = old.plain, old.plainSeen
		}
	}
	return &n.leading
}

// write runs a guarded write of the leader and enters it.
func (n *Node) write(ctx context.Context, guards []wire.Guard, changes []wire.Change) error {
	cctx, stop := context.WithTimeout(ctx, tuning.DecisionWait)
	defer stop()
	revision, err := n.svc.Multi(cctx, store.ClassRecords, guards, changes)
	if err != nil {
		if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrLost) {
			_ = n.sync.Barrier(tuning.BarrierWait)
		}
		return err
	}
	n.answered(changes, revision)
	return nil
}

// answered enters a write of this node.
func (n *Node) answered(changes []wire.Change, revision uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cache.Own(changes, revision)
	wake(n.passWake)
}

// runLead plans capacity and moves roles while leading. What it gives back and
// stores goes beside the next plans, which meanwhile only rent. Guards against
// a wave of lost machines whose records took the budget of changes for half a
// minute, while nothing was rented in their place.
func (n *Node) runLead(ctx context.Context) error {
	var stepped time.Time
	storing := make(chan struct{}, 1)
	var background errgroup.Group
	defer func() { _ = background.Wait() }()
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
		free := len(storing) == 0
		var moves []fleet.Change
		if free && now.Sub(stepped) >= tuning.RoleStep {
			stepped = now
			moves = n.stepRoles(l, machines, now)
		}
		listed := !l.listAt.IsZero() && now.Sub(l.listAt) < 5*tuning.ListEvery
		var out fleet.PlanOutput
		if listed {
			out = fleet.Plan(n.planInput(l, machines, now))
		}
		if !free {
			n.mu.Unlock()
			for _, h := range out.Rentals {
				n.rent(ctx, h)
			}
			continue
		}
		drains, dead := n.drainChanges(out.Drains)
		returns, drops := n.toReturn(l, now)
		returns = slices.Concat(dead, l.lost, returns)
		var cut []string
		if n.lim.Writes(tuning.WriteReserve) >= 2 {
			cut = n.reg.Oversize(n.groupLimit(), tuning.CutsPerPlan)
		}
		n.mu.Unlock()

		// Rentals don't wait for the budget of changes.
		storing <- struct{}{}
		background.Go(func() error {
			n.writeHosts(ctx, moves)
			n.giveBack(ctx, returns)
			n.storeHosts(ctx, append(drains, drops...), cut, tuning.GroupsPerBatch)
			<-storing
			return nil
		})
		for _, h := range out.Rentals {
			n.rent(ctx, h)
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
	for jobID, j := range n.table.Open {
		if l.seenJobs[jobID] {
			continue
		}
		l.seenJobs[jobID] = true
		if !j.Service() {
			if l.batch.Spec == nil || l.batch.Spec.Class == j.Record.Spec.Class {
				size := min(float64(j.Record.Tasks), tuning.TasksPerJob)
				if l.batchSize == 0 {
					l.batchSize = size
				}
				l.batchSize += (size - l.batchSize) * tuning.BatchSizeAlpha
			}
			l.batchSeen = now
		}
		if !j.Service() || now.Sub(j.Seen) > tuning.RoleStep {
			continue
		}
		for _, t := range n.types {
			if jobs.Allowed(j.Record.Spec, t.Label) {
				tot := jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}
				l.control[t.Label].Arrive(now, j.Need.Share(tot)*float64(j.Record.Tasks))
			}
		}
	}
	for jobID := range l.seenJobs {
		if n.table.Open[jobID] == nil {
			delete(l.seenJobs, jobID)
		}
	}
}

// split describes one type's ordinary machines and demand; mu is held.
func (n *Node) split(t wire.MachineType, machines *place.Fleet) roles.Split {
	s := roles.Split{Type: t.Label, Complete: true}
	for _, sib := range n.siblings {
		if n.member.Has(member.Node{Label: sib.cfg.Label, Incarnation: sib.status.Incarnation}) && !n.freshSibling(sib) {
			s.Complete = false
		}
	}
	count := map[string]int{}    // machines that take tasks, by type
	coming := []jobs.Resources{} // room on batch machines of the type that still boot
	for _, m := range machines.Machines {
		if n.reg.Hosts[m.Name].Phase != fleet.In {
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
			if r.Job.Service() && r.Job.Phase == jobs.Open {
				s.ServiceBooked += r.Job.Need.Share(m.Total)
			}
		}
	}
	tot := jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}
	for jobID, k := range n.unmet {
		j := n.table.Jobs[jobID]
		if j == nil || j.Record.Spec == nil || !jobs.Allowed(j.Record.Spec, t.Label) {
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
			if jobs.Allowed(j.Record.Spec, label) {
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

// stepRoles evaluates every type's split and returns the moves; mu is held.
func (n *Node) stepRoles(l *leading, machines *place.Fleet, now time.Time) []fleet.Change {
	var out []fleet.Change
	for _, t := range n.types {
		c := l.control[t.Label]
		if c == nil {
			continue
		}
		var service, batch []*place.Machine
		for _, m := range machines.Machines {
			if m.Type == t.Label && !m.Spot && n.reg.Hosts[m.Name].Phase == fleet.In && (m.Open || len(m.Tasks) > 0) {
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
		rec := n.reg.Hosts[m.Name]
		moved := rec
		moved.Role, moved.Why = role, string(d.Proposal.Rule)
		out = append(out, fleet.Change{Host: m.Name, Was: &rec, Now: &moved})
		n.log.Info("role move", "host", m.Name, "type", t.Label, "to", string(role), "rule", string(d.Proposal.Rule),
			"batch_load", d.BatchLoad, "service_load", d.ServiceLoad)
	}
	return out
}

// fitElsewhere reports whether all service tasks of a machine have room on the
// others at once; held: on machines that hold their images.
func fitElsewhere(f *place.Fleet, victim *place.Machine, held bool) bool {
	type booked struct {
		m    *place.Machine
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
		to := place.Elsewhere(f, r.Job, r.ID.Task, victim.Name)
		if to == nil || held && !to.Holds(r.Job.Record.Spec.Image) {
			return false
		}
		to.Free = to.Free.Sub(r.Job.Need)
		taken = append(taken, booked{to, r.Job.Need})
	}
	return true
}

// movable finds the service machines, the emptiest first, whose tasks have
// room elsewhere; only a few are looked at.
func (n *Node) movable(f *place.Fleet) map[string]bool {
	var list []*place.Machine
	for _, m := range f.Machines {
		if m.Open && m.Role == place.Service && len(m.Tasks) > 0 {
			list = append(list, m)
		}
	}
	sort.SliceStable(list, func(a, b int) bool { return len(list[a].Tasks) < len(list[b].Tasks) })
	out := map[string]bool{}
	for _, m := range list[:min(len(list), max(tuning.MovableTries, int(float64(len(list))*tuning.MoversShare)))] {
		if fitElsewhere(f, m, true) {
			out[m.Name] = true
		}
	}
	return out
}

// planInput builds the capacity plan's input; mu is held.
func (n *Node) planInput(l *leading, machines *place.Fleet, now time.Time) fleet.PlanInput {
	in := fleet.PlanInput{Now: now, Op: n.set.Operator, Types: n.types, Refused: l.refused, SurplusSince: l.surplusSince}
	lease := time.Duration(float64(n.set.Lease())*tuning.DriftFactor) + tuning.LeaseMargin
	up, movable := n.lastHeard(now), n.movable(machines)
	l.lost = nil
	serving := 0
	var service fleet.Load
	held := map[string]*heldBatch{} // by class
	for _, m := range machines.Machines {
		rec := n.reg.Hosts[m.Name]
		u := fleet.Unit{Name: m.Name, Kind: fleet.Kind{MachineType: m.Type, Zone: m.Zone, Spot: m.Spot}, Role: m.Role,
			Open: m.Open, Claims: len(m.Tasks), Free: m.Free, Group: n.reg.Key(m.Name)}
		listed, isListed := l.listed[m.Name]
		if age, ok := up[m.Name]; ok {
			l.hear(m.Name, now.Add(-age))
		} else if _, ok := l.heard[m.Name]; !ok && (len(m.Tasks) > 0 || isListed && listed.State == wire.HostRunning) {
			// Up, but not heard under this leader yet: its time begins now.
			l.hear(m.Name, now)
		}
		at, wasUp := l.heard[m.Name]
		quiet := now.Sub(at)
		u.Booting = !wasUp && rec.Phase == fleet.In
		if isListed {
			u.Age = time.Duration(listed.AgeS*float64(time.Second)) + now.Sub(l.listAt)
		}
		u.Silent = wasUp && quiet > 2*lease
		u.Quiet = wasUp && quiet > n.silentAfter()
		u.Missing = l.absent[m.Name] >= tuning.GoneLists && wasUp && quiet > time.Duration(tuning.MissingReports*float64(n.set.Report()))
		if len(m.Tasks) > 0 || rec.Phase != fleet.In {
			delete(l.idle, m.Name)
		} else if _, ok := l.idle[m.Name]; !ok {
			l.idle[m.Name] = now
		}
		if at, ok := l.idle[m.Name]; ok {
			u.Idle = now.Sub(at)
		}
		for _, r := range m.Tasks {
			wk := r.Job.Record.Spec
			if wk == nil || r.Job.Phase != jobs.Open {
				continue
			}
			if r.Job.Service() {
				service.Tasks++
				service.Need, service.Spec = r.Job.Need, wk
			} else {
				h := held[wk.Class]
				if h == nil {
					h = &heldBatch{}
					held[wk.Class] = h
				}
				h.add(r.Job, m.Total)
			}
		}
		if m.Open && m.Role == place.Service {
			serving++
		}
		if rec.Phase == fleet.Draining && len(m.Tasks) > 0 && m.Role == place.Service {
			in.Moving++
		}
		u.Movable = movable[m.Name]
		if m.Open || u.Booting || rec.Phase != fleet.In || quiet > n.silentAfter() {
			delete(l.unfit, m.Name)
		} else if since, ok := l.unfit[m.Name]; !ok {
			l.unfit[m.Name] = now
		} else {
			// It reports and takes no tasks, for instance because it does not
			// hear: another takes its place.
			u.Suspect = now.Sub(since) > tuning.UnfitLeases*lease
		}
		if rec.Phase == fleet.Draining && len(m.Tasks) > 0 && (u.Missing || u.Silent) {
			l.lost = append(l.lost, m.Name)
		}
		if rec.Phase == fleet.In {
			if w := n.workers[m.Name]; m.Owner == n.self.Label && w != nil && len(w.Errors) >= tuning.HostErrorsMax {
				u.Suspect = true
			}
			in.Units = append(in.Units, u)
		}
	}
	in.Movers = int(float64(serving) * tuning.MoversShare)
	for host, h := range l.rented {
		if _, known := n.reg.Hosts[host]; known || now.Sub(h.at) > time.Minute {
			delete(l.rented, host)
			continue
		}
		t := n.machineTypes[h.kind.MachineType]
		in.Units = append(in.Units, fleet.Unit{Name: host, Kind: h.kind, Role: h.role, Booting: true, Age: now.Sub(h.at),
			Free: jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}})
	}
	batch := l.typicalBatch(held)
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
	in.Batch, in.Service, in.Plain = l.batch, service, n.plain(l, now)
	for _, j := range n.table.Open {
		if j.Service() {
			l.active[place.Service] = now
		} else {
			l.active[place.Batch] = now
		}
	}
	in.Active = map[place.Role]bool{}
	for _, role := range []place.Role{place.Batch, place.Service} {
		if _, ok := l.active[role]; !ok {
			l.active[role] = now // a new leader does not know
		}
		in.Active[role] = now.Sub(l.active[role]) < tuning.RoleLapse
	}
	// What has a place that is not stored yet, and what had no turn in the
	// pass, takes its room first. Guards against renting only when the last
	// free machine is taken: with hundreds of jobs that took half a minute.
	for jobID, j := range n.table.Open {
		rest := j.Counts[jobs.Pending]
		if n.why[jobID] != place.NoTurn {
			rest -= n.unmet[jobID]
		}
		if rest > 0 && (n.why[jobID] == "" || n.why[jobID] == place.NoTurn || n.why[jobID] == place.NoRoom) {
			in.Wants = append(in.Wants, fleet.Want{Job: j, Count: rest, Untried: true})
		}
	}
	sort.Slice(in.Wants, func(a, b int) bool { return in.Wants[a].Job.ID < in.Wants[b].Job.ID })
	in.Groups = n.groupsNow()
	in.Wants = append(in.Wants, n.tasksAtRisk(machines, up, now)...)
	jobIDs := make([]string, 0, len(n.unmet))
	for jobID := range n.unmet {
		jobIDs = append(jobIDs, jobID)
	}
	sort.Slice(jobIDs, func(a, b int) bool { return n.unmetAt[jobIDs[a]].Before(n.unmetAt[jobIDs[b]]) })
	for _, jobID := range jobIDs {
		j := n.table.Open[jobID]
		if j == nil || n.why[jobID] != place.NoRoom {
			continue
		}
		if j.Service() {
			// The headroom is for what will run too.
			in.Service.Tasks += float64(n.unmet[jobID])
			in.Service.Wait += float64(n.unmet[jobID])
			in.Service.Need, in.Service.Spec = j.Need, j.Record.Spec
		}
		in.Wants = append(in.Wants, fleet.Want{Job: j, Count: n.unmet[jobID], Waiting: now.Sub(n.unmetAt[jobID])})
	}
	return in
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
		l.plain = fleet.Load{Need: typical.Need, Spec: typical.Record.Spec, Least: int(math.Ceil(tasks / float64(arrays) * tuning.BatchHeadroomJobs))}
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

// tasksAtRisk lists the service tasks on machines that have fallen silent beside
// others of their owner that are heard. Their room is rented before there is
// proof that they are gone, since a boot takes longer than that: after a hundred
// machines had died, services waited for their replacements for 45 s. A node
// that hears hardly any of its machines has trouble of its own. up is how long
// ago each machine was heard; mu is held.
func (n *Node) tasksAtRisk(machines *place.Fleet, up map[string]time.Duration, now time.Time) []fleet.Want {
	heard, quiet := map[string]int{}, map[string]int{}
	var list []*place.Machine
	for _, m := range machines.Machines {
		age, ok := up[m.Name]
		if ok && age < n.silentAfter() {
			heard[m.Owner]++
		} else if at, wasUp := n.leading.heard[m.Name]; wasUp && now.Sub(at) > n.silentAfter() {
			quiet[m.Owner]++
			if m.Role == place.Service {
				list = append(list, m)
			}
		}
	}
	count := map[*jobs.Job]int{}
	for _, m := range list {
		if heard[m.Owner] < quiet[m.Owner] {
			continue
		}
		for _, r := range m.Tasks {
			if r.Job.Service() && r.Job.Phase == jobs.Open {
				count[r.Job]++
			}
		}
	}
	out := make([]fleet.Want, 0, len(count))
	for j, k := range count {
		out = append(out, fleet.Want{Job: j, Count: k, Untried: true})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Job.ID < out[b].Job.ID })
	return out
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
		if s.seenAt.IsZero() || now.Sub(s.seenAt) > 5*tuning.PeerFresh {
			continue
		}
		for name, h := range s.hosts {
			if h.Silent {
				continue // entered when it was told
			}
			age := now.Sub(s.seenAt)
			if old, ok := out[name]; !ok || age < old {
				out[name] = age
			}
		}
	}
	return out
}
