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
