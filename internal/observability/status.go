// This file serves the status page.

package observability

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
)

// maxStatusRows is the maximum number of rows of each kind on the status page.
const maxStatusRows = 50

// ServeStatus serves, as plain text for operators, what this controller knows. This includes the
// membership with the program version of each member, the split of the machines between the roles
// with the gate that blocks a change, the teams, and why jobs wait. With ?job=ID it shows one job,
// and with ?team=NAME one team. It takes the lock.
func (ob *Observer) ServeStatus(request *fasthttp.RequestCtx) {
	ob.Lock()
	defer ob.Unlock()
	var page strings.Builder
	if jobID := string(request.QueryArgs().Peek("job")); jobID != "" {
		ob.writeJobStatus(&page, jobID)
	} else if team := string(request.QueryArgs().Peek("team")); team != "" {
		ob.writeTeamStatus(&page, team)
	} else {
		ob.writeStatus(&page)
	}
	request.SetContentType("text/plain; charset=utf-8")
	request.SetBodyString(page.String())
}

// writeStatus writes the whole page. The lock is held.
func (ob *Observer) writeStatus(page *strings.Builder) {
	ob.writeControllerStatus(page)
	ob.writeMembershipStatus(page)
	ob.writeStoreLimits(page)
	ob.writeJobCounts(page)
	ob.writeMachineCounts(page)
	ob.writeRoleSplits(page)
	ob.writeRecoveryStatus(page)
	ob.writeTeamsStatus(page)
	ob.writeWaitingJobs(page)
}

// writeControllerStatus writes this controller, its session, whether it has read the store
// recently, and up to which time it knows every cancellation. The lock is held.
func (ob *Observer) writeControllerStatus(page *strings.Builder) {
	fmt.Fprintf(page, "node %s version %s session %s state_service %v\n", ob.Self.Label, tuning.Version, ob.Session, ob.StoreReadRecently())
	if knownUntil := ob.Peers.CancellationsKnownUntil(); !knownUntil.IsZero() {
		// Workers' leases are renewed, even during an outage of the store, while this age is
		// below the bound. It stays low during an outage as long as all siblings attest.
		fmt.Fprintf(page, "cancellations known until %.1f s ago, leases renewed up to %.1f s\n", ob.Now().Sub(knownUntil).Seconds(), ob.Settings.RenewalBound().Seconds())
	}
}

// writeMembershipStatus writes the membership, the program version and format version of each
// member, and whether all members support dependencies between jobs. The lock is held.
func (ob *Observer) writeMembershipStatus(page *strings.Builder) {
	if ob.Membership == nil {
		return
	}
	fmt.Fprintf(page, "membership token %d leader %s nodes", ob.Membership.FencingToken, ob.Membership.Leader.Label)
	for _, member := range ob.Membership.Members {
		fmt.Fprintf(page, " %s", member.Label)
	}
	page.WriteByte('\n')
	for _, member := range ob.Membership.Members {
		session := ob.StoredSessions[member.Label]
		fmt.Fprintf(page, "version %s %s form %d\n", member.Label, cmp.Or(session.ProgramVersion, "not told (0.1.0 or older)"), session.Format)
	}
	fmt.Fprintf(page, "pipelines taken %v\n", ob.DependenciesSupported())
}

// writeStoreLimits writes the store's limits, and the number of stored groups of machine records
// that are too large for them. The lock is held.
func (ob *Observer) writeStoreLimits(page *strings.Builder) {
	oversize := ob.Inventory.OversizeGroups(ob.MaxRecordGroupBytes(), len(ob.Inventory.Machines))
	fmt.Fprintf(page, "state_limits write_rps %g value_kb %g txn_ops %d machine_groups_to_cut %d\n", ob.Limits.WriteRPS, ob.Limits.ValueKB, ob.Limits.TxnOps, len(oversize))
}

// writeJobCounts writes the numbers of open jobs, of jobs that wait for their dependencies, and of
// the open jobs' pending tasks. The lock is held.
func (ob *Observer) writeJobCounts(page *strings.Builder) {
	pending := 0
	for _, job := range ob.Table.Open {
		pending += job.TaskCounts[jobs.Pending]
	}
	fmt.Fprintf(page, "jobs open %d waiting_for_others %d tasks_pending %d\n", len(ob.Table.Open), len(ob.Table.Waiting), pending)
}

// writeMachineCounts writes the number of machines by phase. The lock is held.
func (ob *Observer) writeMachineCounts(page *strings.Builder) {
	countByPhase := map[inventory.Phase]int{}
	for _, machine := range ob.Inventory.Machines {
		countByPhase[machine.Phase]++
	}
	fmt.Fprintf(page, "machines in %d draining %d returned %d\n", countByPhase[inventory.Active], countByPhase[inventory.Draining], countByPhase[inventory.Terminated])
}

// writeRoleSplits writes the last decision on the roles of each machine type, if this controller is
// the leader. The lock is held.
func (ob *Observer) writeRoleSplits(page *strings.Builder) {
	if !ob.IsLeader() {
		return
	}
	for _, machineType := range ob.MachineTypeList {
		decision, ok := ob.leaderLoop.Term.RoleDecisions[machineType.Label]
		if !ok {
			continue
		}
		fmt.Fprintf(page, "split %s batch %d service %d batch_load %.2f service_load %.2f demand_short %.4f demand_long %.4f evidence_open %v proposal %q rule %q confirmations %d gate %q\n",
			decision.MachineType, decision.Batch, decision.Service, decision.BatchLoad, decision.ServiceLoad, decision.ShortRate, decision.LongRate, decision.EvidenceOpen,
			decision.Proposal.Direction, decision.Proposal.Rule, decision.Confirmations, decision.Gate)
	}
}

// writeWaitingJobs writes why jobs wait, which is for machines or for their dependencies, and which
// jobs are cancelled because a dependency was cancelled but have no final record yet. The lock is
// held.
func (ob *Observer) writeWaitingJobs(page *strings.Builder) {
	writeRows(page, "waiting", ob.scheduler.Unplaced, func(jobID string) string {
		return fmt.Sprintf("waiting %s tasks %d because %s", jobID, ob.scheduler.Unplaced[jobID], ob.scheduler.UnplacedReasons[jobID])
	})
	writeRows(page, "awaits", ob.Table.Waiting, func(jobID string) string {
		return fmt.Sprintf("awaits %s: %s", jobID, strings.Join(ob.Table.UnfinishedDependencies(ob.Table.Waiting[jobID]), " "))
	})
	writeRows(page, "cancelled with others", ob.Table.AwaitingFinalRecord, func(jobID string) string {
		return fmt.Sprintf("cancelled %s with %s", jobID, ob.Table.AwaitingFinalRecord[jobID].CancelledByDependency)
	})
}

// writeRows writes a line for each key, sorted by key. Only the first maxStatusRows lines are
// written, followed by the number of omitted ones.
func writeRows[V any](page *strings.Builder, kind string, rows map[string]V, line func(key string) string) {
	keys := slices.Sorted(maps.Keys(rows))
	for _, key := range keys[:min(len(keys), maxStatusRows)] {
		fmt.Fprintln(page, line(key))
	}
	if omitted := len(keys) - maxStatusRows; omitted > 0 {
		fmt.Fprintf(page, "%s +%d more\n", kind, omitted)
	}
}

// writeJobStatus writes one job, and why it waits or with which dependency it was cancelled. The
// lock is held.
func (ob *Observer) writeJobStatus(page *strings.Builder, jobID string) {
	job := ob.Table.Jobs[jobID]
	if job == nil {
		fmt.Fprintf(page, "job %s is not known here\n", jobID)
		return
	}
	fmt.Fprintf(page, "job %s phase %s stored %s tasks %d pending %d claimed %d completed %d\n", jobID, job.Phase, job.Record.Phase, job.Record.Tasks,
		job.TaskCounts[jobs.Pending], job.TaskCounts[jobs.Claimed], job.TaskCounts[jobs.Completed])
	switch {
	case job.Phase == jobs.Waiting:
		fmt.Fprintf(page, "awaits %s\n", strings.Join(ob.Table.UnfinishedDependencies(job), " "))
	case job.Phase == jobs.Cancelled && job.CancelledByDependency != "":
		fmt.Fprintf(page, "cancelled with %s\n", job.CancelledByDependency)
	case ob.scheduler.Unplaced[jobID] > 0:
		fmt.Fprintf(page, "waiting tasks %d because %s\n", ob.scheduler.Unplaced[jobID], ob.scheduler.UnplacedReasons[jobID])
	}
}
