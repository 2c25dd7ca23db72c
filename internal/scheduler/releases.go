// This file stores the ends of tasks and of jobs.

package scheduler

import (
	"sort"
	"time"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// earlyReleaseBudget is the part of the changes that may be written now which ends may
// take before claims: half. If that is less than one each, they take turns:
// with passes that come often, a single change is due at a time, and ends took
// every one. The lock is held.
func (sc *Scheduler) earlyReleaseBudget(changes float64) float64 {
	if changes < 2 && sc.claimsDeferred {
		return 0
	}
	return (changes + 1) / 2
}

// pendingRelease is what may be stored of the ends of one chunk's tasks.
type pendingRelease struct {
	*chunkChange
	key      string
	dueSince time.Time
	priority releasePriority
}

// releasePriority orders the ends of tasks.
type releasePriority int

const (
	releaseJobEnd  releasePriority = iota // the job is over: its user and what depends on it wait for that
	releaseRestart                        // a task waits for a new start, or this node's part of the job is over
	releaseRoutine                        // the rest
)

// dueReleases lists the ends of tasks on this node's machines that may be stored now,
// by chunk; what matters most comes first. workers are those that may have any.
// The lock is held.
func (sc *Scheduler) dueReleases(workers map[string]*worker.Worker, now time.Time) []pendingRelease {
	changes := sc.provenEnds(workers, now)
	for key := range sc.releaseDueSince {
		if changes[key] == nil {
			delete(sc.releaseDueSince, key)
		}
	}
	var out []pendingRelease
	for key, c := range changes {
		since, ok := sc.releaseDueSince[key]
		if !ok {
			since = now
			sc.releaseDueSince[key] = now
		}
		if priority, ok := sc.releasePriority(c, changes, now.Sub(since)); ok {
			out = append(out, pendingRelease{c, key, since, priority})
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].before(&out[b]) })
	return out
}

// provenEnds collects the claims whose end is proven on this node's machines, by
// chunk.
func (sc *Scheduler) provenEnds(workers map[string]*worker.Worker, now time.Time) map[string]*chunkChange {
	changes := map[string]*chunkChange{}
	add := func(id jobs.TaskID, kind jobs.TaskEventKind) {
		j := sc.Table.Jobs[id.Job]
		chunk := id.Task / j.Record.ChunkSize
		key := jobs.ChunkKey(id.Job, chunk)
		if changes[key] == nil {
			changes[key] = &chunkChange{job: j, chunk: chunk, events: map[int]jobs.TaskEvent{}}
		}
		changes[key].events[id.Task] = jobs.TaskEvent{Kind: kind}
	}
	first := map[string]bool{} // jobs whose first node this is
	for host := range sc.MachineIndex.Terminated {
		// The proof is stored, so any node may release: the job's first
		// does, in one write for the machines of all owners.
		for id := range sc.Table.ClaimsByMachine[host] {
			mine, ok := first[id.Job]
			if !ok {
				mine = sc.Membership.RankNodes(id.Job)[0] == sc.Self.Label
				first[id.Job] = mine
			}
			if mine {
				add(id, jobs.Release)
			}
		}
	}
	lease := sc.Settings.WorkerLease()
	for host, w := range workers {
		if w.NothingToReconcile(now, lease) || sc.ShardOwner(host) != sc.Self.Label || sc.Inventory.Machines[host].Phase == inventory.Terminated {
			continue
		}
		for _, r := range w.ProvenEnds(sc.Table.ClaimsByMachine[host], now, lease) {
			add(r.Task, r.Kind)
		}
	}
	return changes
}

// releasePriority says how urgent the ends of a chunk's tasks are that have waited
// so long; false if they are gathered, or can't be stored, for now.
func (sc *Scheduler) releasePriority(c *chunkChange, changes map[string]*chunkChange, wait time.Duration) (releasePriority, bool) {
	over, again := 0, false
	for _, e := range c.events {
		if e.Kind == jobs.Complete {
			over++
		} else {
			again = true // it waits for a new start
		}
	}
	j := c.job
	last := j.Counts[jobs.Completed]+over == j.Record.Tasks
	if sc.WritesInFlight[j.ID] || sc.Now().Before(sc.BackoffUntil[j.ID]) || !last && len(c.events) < len(j.Claims) && wait < tuning.ReleaseGather {
		return releaseRoutine, false
	}
	switch {
	case last:
		return releaseJobEnd, true
	case j.Service() || again || wait > tuning.ReleaseOverdue || sc.lastOnThisNode(j, changes):
		return releaseRestart, true
	}
	return releaseRoutine, true
}

// before orders ends by priority; routine ones by how many there are of the chunk;
// then by age.
func (r *pendingRelease) before(o *pendingRelease) bool {
	if r.priority != o.priority {
		return r.priority < o.priority
	}
	if len(r.events) != len(o.events) && r.priority == releaseRoutine {
		return len(r.events) > len(o.events)
	}
	if !r.dueSince.Equal(o.dueSince) {
		return r.dueSince.Before(o.dueSince)
	}
	return r.key < o.key
}

// lastOnThisNode reports whether the ends that are due leave no task of the job on
// this node's machines, and none waits: the node that stores the job's end
// waits for these. Guards against jobs whose last end came 12 s late because
// the ends on other nodes' machines were thought to free room only.
func (sc *Scheduler) lastOnThisNode(j *jobs.Job, due map[string]*chunkChange) bool {
	if j.Counts[jobs.Pending] > 0 {
		return false
	}
	for i, t := range j.Claims {
		if sc.ShardOwner(t.Machine) != sc.Self.Label {
			continue
		}
		c := due[jobs.ChunkKey(j.ID, i/j.Record.ChunkSize)]
		if c == nil {
			return false
		}
		if _, ends := c.events[i]; !ends {
			return false
		}
	}
	return true
}

// planRelease adds the write of one chunk's ends, if the budget has room for it.
func (sc *Scheduler) planRelease(txns []*PendingWrite, d pendingRelease, most *float64) []*PendingWrite {
	if *most < 1 || sc.WritesInFlight[d.job.ID] {
		return txns
	}
	tasks, ok := d.apply()
	if !ok {
		return txns
	}
	t := sc.newWrite("release")
	t.Compares[d.key] = sc.Cache.Version(d.key)
	t.Compares[jobs.JobKey(d.job.ID)] = sc.Cache.Version(jobs.JobKey(d.job.ID))
	sc.putChunk(t, d.chunkChange, d.key, tasks)
	for id, e := range d.events {
		t.logWhenStored(logging.EventTaskReleased, logging.KeyTask, jobs.TaskID{Job: d.job.ID, Task: id}, logging.KeyOutcome, string(e.Kind), logging.KeyMachine, d.job.Claims[id].Machine)
	}
	return sc.addWrite(txns, t, d.job.ID, most)
}
