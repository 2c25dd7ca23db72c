// This file holds the part of the capacity plan's input that says which tasks need room.

package leader

import (
	"sort"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
)

// addUntried enters the tasks that have a place that is not stored yet, and those
// that had no turn in the pass: they take their room first. Guards against renting
// only when the last free machine is taken: with hundreds of jobs that took half
// a minute.
func (b *planBuilder) addUntried() {
	for jobID, j := range b.leader.Table.Open {
		why := b.leader.scheduler.PendingReasons[jobID]
		count := j.Counts[jobs.Pending]
		if why != placement.ReasonNoTurn {
			count -= b.leader.scheduler.Unplaced[jobID]
		}
		if count > 0 && (why == "" || why == placement.ReasonNoTurn || why == placement.ReasonNoRoom) {
			b.input.Demands = append(b.input.Demands, autoscale.Demand{Job: j, Count: count, NotScheduledYet: true})
		}
	}
	wants := b.input.Demands
	sort.Slice(wants, func(i, k int) bool { return wants[i].Job.ID < wants[k].Job.ID })
}

// addUnmet enters the tasks that the pass found no room for, those that have
// waited longest first.
func (b *planBuilder) addUnmet() {
	for _, jobID := range b.leader.unplacedByAge() {
		j := b.leader.Table.Open[jobID]
		if j == nil || b.leader.scheduler.PendingReasons[jobID] != placement.ReasonNoRoom {
			continue
		}
		count := b.leader.scheduler.Unplaced[jobID]
		if j.Service() {
			// The headroom is for what will run too.
			b.input.Service.Tasks += float64(count)
			b.input.Service.AwaitingBoot += float64(count)
			b.input.Service.Need, b.input.Service.Spec = j.Need, j.Record.Spec
		}
		b.input.Demands = append(b.input.Demands, autoscale.Demand{Job: j, Count: count, Waiting: b.now.Sub(b.leader.scheduler.UnplacedSince[jobID])})
	}
}

// unplacedByAge lists the jobs with tasks without a place, the oldest wait first; the
// lock is held.
func (ld *Loop) unplacedByAge() []string {
	jobIDs := make([]string, 0, len(ld.scheduler.Unplaced))
	for jobID := range ld.scheduler.Unplaced {
		jobIDs = append(jobIDs, jobID)
	}
	sort.Slice(jobIDs, func(i, k int) bool {
		return ld.scheduler.UnplacedSince[jobIDs[i]].Before(ld.scheduler.UnplacedSince[jobIDs[k]])
	})
	return jobIDs
}

// tasksAtRisk lists the service tasks on machines that have fallen silent beside
// others of their owner that are heard. Their room is rented before there is
// proof that they are gone, since a boot takes longer than that: after a hundred
// machines had died, services waited for their replacements for 45 s. A node
// that hears hardly any of its machines has trouble of its own. up is how long
// ago each machine was heard; the lock is held.
func (ld *Loop) tasksAtRisk(machines *placement.Fleet, up map[string]time.Duration, now time.Time) []autoscale.Demand {
	heard, quiet := map[string]int{}, map[string]int{}
	var list []*placement.Machine
	for _, m := range machines.Machines {
		age, ok := up[m.Name]
		if ok && age < ld.SilenceTimeout() {
			heard[m.Owner]++
		} else if at, wasUp := ld.LeaderState.LastHeard[m.Name]; wasUp && now.Sub(at) > ld.SilenceTimeout() {
			quiet[m.Owner]++
			if m.Role == placement.Service {
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
	out := make([]autoscale.Demand, 0, len(count))
	for j, k := range count {
		out = append(out, autoscale.Demand{Job: j, Count: k, NotScheduledYet: true})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Job.ID < out[b].Job.ID })
	return out
}
