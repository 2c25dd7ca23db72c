// This file builds the input of the capacity plan.

package server

import (
	"math"
	"sort"
	"time"

	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

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
	b := n.newPlanBuilder(l, machines, now)
	l.lost = nil
	for _, m := range machines.Machines {
		b.addMachine(m)
	}
	b.input.Movers = int(float64(b.serving) * tuning.MoversShare)
	b.addRented()
	b.addHeadroom()
	b.addActiveRoles()
	b.addUntried()
	b.input.Groups = n.groupsNow()
	b.input.Wants = append(b.input.Wants, n.tasksAtRisk(machines, b.heard, now)...)
	b.addUnmet()
	return b.input
}

// planBuilder puts the input of one capacity plan together. It lives while mu
// is held, and so do all of its methods run.
type planBuilder struct {
	node    *Node
	leader  *leading
	now     time.Time
	lease   time.Duration            // after which a machine's lease has ended for certain
	heard   map[string]time.Duration // how long ago each machine was heard by its owner
	movable map[string]bool          // service machines whose tasks have room elsewhere
	batch   map[string]*heldBatch    // what batch tasks hold, by class
	serving int                      // service machines that take tasks
	input   fleet.PlanInput
}

func (n *Node) newPlanBuilder(l *leading, machines *place.Fleet, now time.Time) *planBuilder {
	return &planBuilder{
		node:    n,
		leader:  l,
		now:     now,
		lease:   time.Duration(float64(n.set.Lease())*tuning.DriftFactor) + tuning.LeaseMargin,
		heard:   n.lastHeard(now),
		movable: n.movable(machines),
		batch:   map[string]*heldBatch{},
		input: fleet.PlanInput{
			Now:          now,
			Op:           n.set.Operator,
			Types:        n.types,
			Refused:      l.refused,
			SurplusSince: l.surplusSince,
		},
	}
}

// addMachine enters a machine that has a record: what its tasks hold, and itself
// if it is neither drained nor given back.
func (b *planBuilder) addMachine(m *place.Machine) {
	phase := b.node.reg.Hosts[m.Name].Phase
	b.noteHeard(m)
	unit := b.unit(m, phase)
	b.addHeld(m)
	if m.Open && m.Role == place.Service {
		b.serving++
	}
	draining := phase == fleet.Draining && len(m.Tasks) > 0
	if draining && m.Role == place.Service {
		b.input.Moving++
	}
	if draining && (unit.Missing || unit.Silent) {
		b.leader.lost = append(b.leader.lost, m.Name)
	}
	if phase == fleet.In {
		b.input.Units = append(b.input.Units, unit)
	}
}

// noteHeard notes when a machine was last heard.
func (b *planBuilder) noteHeard(m *place.Machine) {
	if age, ok := b.heard[m.Name]; ok {
		b.leader.hear(m.Name, b.now.Add(-age))
		return
	}
	listed, isListed := b.leader.listed[m.Name]
	running := len(m.Tasks) > 0 || isListed && listed.State == wire.HostRunning
	if _, ok := b.leader.heard[m.Name]; !ok && running {
		// Up, but not heard under this leader yet: its time begins now.
		b.leader.hear(m.Name, b.now)
	}
}

// unit describes a machine to the plan, and notes since when it is idle or unfit.
func (b *planBuilder) unit(m *place.Machine, phase fleet.Phase) fleet.Unit {
	_, wasUp := b.leader.heard[m.Name]
	quiet := b.quietFor(m.Name)
	missing := time.Duration(tuning.MissingReports * float64(b.node.set.Report()))
	unit := fleet.Unit{
		Name:    m.Name,
		Kind:    fleet.Kind{MachineType: m.Type, Zone: m.Zone, Spot: m.Spot},
		Role:    m.Role,
		Open:    m.Open,
		Booting: !wasUp && phase == fleet.In,
		Age:     b.age(m.Name),
		Idle:    b.idleFor(m, phase),
		Movable: b.movable[m.Name],
		Claims:  len(m.Tasks),
		Free:    m.Free,
		Silent:  wasUp && quiet > 2*b.lease,
		Missing: b.leader.absent[m.Name] >= tuning.GoneLists && wasUp && quiet > missing,
		Quiet:   wasUp && quiet > b.node.silentAfter(),
		Group:   b.node.reg.Key(m.Name),
	}
	unit.Suspect = b.unfitTooLong(m, phase, unit.Booting) || b.failing(m)
	return unit
}

// quietFor is how long ago a machine was last heard by anybody.
func (b *planBuilder) quietFor(host string) time.Duration {
	return b.now.Sub(b.leader.heard[host])
}

// age is how old a machine is by the cloud's last list, 0 if it is not on it.
func (b *planBuilder) age(host string) time.Duration {
	listed, ok := b.leader.listed[host]
	if !ok {
		return 0
	}
	return time.Duration(listed.AgeS*float64(time.Second)) + b.now.Sub(b.leader.listAt)
}

// idleFor is how long a machine has had no claims, and notes when that began.
func (b *planBuilder) idleFor(m *place.Machine, phase fleet.Phase) time.Duration {
	if len(m.Tasks) > 0 || phase != fleet.In {
		delete(b.leader.idle, m.Name)
		return 0
	}
	since, ok := b.leader.idle[m.Name]
	if !ok {
		since = b.now
		b.leader.idle[m.Name] = since
	}
	return b.now.Sub(since)
}

// unfitTooLong reports whether a machine has long reported and taken no tasks,
// for instance because it does not hear: another takes its place. It notes when
// that began.
func (b *planBuilder) unfitTooLong(m *place.Machine, phase fleet.Phase, booting bool) bool {
	if m.Open || booting || phase != fleet.In || b.quietFor(m.Name) > b.node.silentAfter() {
		delete(b.leader.unfit, m.Name)
		return false
	}
	since, ok := b.leader.unfit[m.Name]
	if !ok {
		b.leader.unfit[m.Name] = b.now
		return false
	}
	return b.now.Sub(since) > tuning.UnfitLeases*b.lease
}

// failing reports whether too many tasks failed lately on a machine of this node.
func (b *planBuilder) failing(m *place.Machine) bool {
	w := b.node.workers[m.Name]
	return m.Owner == b.node.self.Label && w != nil && len(w.Errors) >= tuning.HostErrorsMax
}

// addHeld enters what the tasks on a machine hold, for the headroom.
func (b *planBuilder) addHeld(m *place.Machine) {
	for _, r := range m.Tasks {
		spec := r.Job.Record.Spec
		if spec == nil || r.Job.Phase != jobs.Open {
			continue
		}
		if r.Job.Service() {
			b.input.Service.Tasks++
			b.input.Service.Need, b.input.Service.Spec = r.Job.Need, spec
			continue
		}
		held := b.batch[spec.Class]
		if held == nil {
			held = &heldBatch{}
			b.batch[spec.Class] = held
		}
		held.add(r.Job, m.Total)
	}
}

// addRented enters the machines that were hired and have no record yet.
func (b *planBuilder) addRented() {
	for host, rented := range b.leader.rented {
		if _, known := b.node.reg.Hosts[host]; known || b.now.Sub(rented.at) > time.Minute {
			delete(b.leader.rented, host)
			continue
		}
		t := b.node.machineTypes[rented.kind.MachineType]
		b.input.Units = append(b.input.Units, fleet.Unit{
			Name:    host,
			Kind:    rented.kind,
			Role:    rented.role,
			Booting: true,
			Age:     b.now.Sub(rented.at),
			Free:    jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB},
		})
	}
}

// addHeadroom enters what each role holds, for its headroom.
func (b *planBuilder) addHeadroom() {
	l := b.leader
	l.averageBatch(l.typicalBatch(b.batch), b.now)
	l.batch.Tasks, l.batch.Least = l.batchAvg, 0
	if b.now.Sub(l.batchSeen) < tuning.BatchHeadroomHold {
		l.batch.Least = int(math.Ceil(l.batchSize * tuning.BatchHeadroomJobs))
	}
	b.input.Batch = l.batch
	b.input.Plain = b.node.plain(l, b.now)
}

// averageBatch moves the mean of the batch tasks held towards their present number.
func (l *leading) averageBatch(tasks float64, now time.Time) {
	if l.avgAt.IsZero() {
		l.batchAvg = tasks
	} else {
		alpha := min(1, now.Sub(l.avgAt).Seconds()/tuning.BatchWindow.Seconds())
		l.batchAvg += (tasks - l.batchAvg) * alpha
	}
	l.avgAt = now
}

// addActiveRoles enters which roles have had work lately.
func (b *planBuilder) addActiveRoles() {
	active := b.leader.active
	for _, j := range b.node.table.Open {
		if j.Service() {
			active[place.Service] = b.now
		} else {
			active[place.Batch] = b.now
		}
	}
	b.input.Active = map[place.Role]bool{}
	for _, role := range []place.Role{place.Batch, place.Service} {
		if _, ok := active[role]; !ok {
			active[role] = b.now // a new leader does not know
		}
		b.input.Active[role] = b.now.Sub(active[role]) < tuning.RoleLapse
	}
}

// addUntried enters the tasks that have a place that is not stored yet, and those
// that had no turn in the pass: they take their room first. Guards against renting
// only when the last free machine is taken: with hundreds of jobs that took half
// a minute.
func (b *planBuilder) addUntried() {
	for jobID, j := range b.node.table.Open {
		why := b.node.why[jobID]
		count := j.Counts[jobs.Pending]
		if why != place.NoTurn {
			count -= b.node.unmet[jobID]
		}
		if count > 0 && (why == "" || why == place.NoTurn || why == place.NoRoom) {
			b.input.Wants = append(b.input.Wants, fleet.Want{Job: j, Count: count, Untried: true})
		}
	}
	wants := b.input.Wants
	sort.Slice(wants, func(i, k int) bool { return wants[i].Job.ID < wants[k].Job.ID })
}

// addUnmet enters the tasks that the pass found no room for, those that have
// waited longest first.
func (b *planBuilder) addUnmet() {
	for _, jobID := range b.node.unmetByAge() {
		j := b.node.table.Open[jobID]
		if j == nil || b.node.why[jobID] != place.NoRoom {
			continue
		}
		count := b.node.unmet[jobID]
		if j.Service() {
			// The headroom is for what will run too.
			b.input.Service.Tasks += float64(count)
			b.input.Service.Wait += float64(count)
			b.input.Service.Need, b.input.Service.Spec = j.Need, j.Record.Spec
		}
		b.input.Wants = append(b.input.Wants, fleet.Want{Job: j, Count: count, Waiting: b.now.Sub(b.node.unmetAt[jobID])})
	}
}

// unmetByAge lists the jobs with tasks without a place, the oldest wait first; mu
// is held.
func (n *Node) unmetByAge() []string {
	jobIDs := make([]string, 0, len(n.unmet))
	for jobID := range n.unmet {
		jobIDs = append(jobIDs, jobID)
	}
	sort.Slice(jobIDs, func(i, k int) bool { return n.unmetAt[jobIDs[i]].Before(n.unmetAt[jobIDs[k]]) })
	return jobIDs
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
