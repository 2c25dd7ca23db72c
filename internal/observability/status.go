// This file is the status page. Its methods expect the lock to be held, but for
// ServeStatus, which takes it.

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

// statusRows bounds the rows of a kind that the status page shows.
const statusRows = 50

// ServeStatus shows operators, as plain text, what this controller knows: the
// membership with the version of each controller, the role splits with the gate
// that blocks each, the teams, and why jobs wait; with ?job=ID one job, with
// ?team=NAME one team.
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

// writeStatus writes the whole page.
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

// writeControllerStatus shows this controller, its session, and for how long it could
// go on without the store.
func (ob *Observer) writeControllerStatus(page *strings.Builder) {
	fmt.Fprintf(page, "node %s version %s session %s state_service %v\n", ob.Self.Label, tuning.Version, ob.Session, ob.StoreReadRecently())
	if at := ob.Peers.CancellationsKnownUntil(); !at.IsZero() {
		// An outage of the store is survived while this stays below the bound: it is
		// short as long as all siblings attest.
		fmt.Fprintf(page, "cancellations known until %.1f s ago, leases renewed up to %.1f s\n", ob.Now().Sub(at).Seconds(), ob.Settings.RenewalBound().Seconds())
	}
}

// writeMembershipStatus shows the membership and the program of each member.
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

// writeStoreLimits shows the store's limits, and how many stored groups of machine
// records are above them.
func (ob *Observer) writeStoreLimits(page *strings.Builder) {
	oversize := ob.Inventory.OversizeGroups(ob.MaxRecordGroupBytes(), len(ob.Inventory.Machines))
	fmt.Fprintf(page, "state_limits write_rps %g value_kb %g txn_ops %d machine_groups_to_cut %d\n", ob.Limits.WriteRPS, ob.Limits.ValueKB, ob.Limits.TxnOps, len(oversize))
}

// writeJobCounts counts the jobs that have not ended, and their pending tasks.
func (ob *Observer) writeJobCounts(page *strings.Builder) {
	pending := 0
	for _, job := range ob.Table.Open {
		pending += job.TaskCounts[jobs.Pending]
	}
	fmt.Fprintf(page, "jobs open %d waiting_for_others %d tasks_pending %d\n", len(ob.Table.Open), len(ob.Table.Waiting), pending)
}

// writeMachineCounts counts the machines by phase.
func (ob *Observer) writeMachineCounts(page *strings.Builder) {
	phases := map[inventory.Phase]int{}
	for _, machine := range ob.Inventory.Machines {
		phases[machine.Phase]++
	}
	fmt.Fprintf(page, "machines in %d draining %d returned %d\n", phases[inventory.Active], phases[inventory.Draining], phases[inventory.Terminated])
}

// writeRoleSplits shows the last decision on the roles of each machine type, if this
// controller leads.
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

// writeWaitingJobs shows why jobs wait: for machines or for other jobs; and which were
// cancelled because of a job that they depend on.
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

// writeRows writes a line for each key, in order, up to statusRows, and how many more
// there are.
func writeRows[V any](page *strings.Builder, kind string, rows map[string]V, line func(key string) string) {
	keys := slices.Sorted(maps.Keys(rows))
	for _, key := range keys[:min(len(keys), statusRows)] {
		fmt.Fprintln(page, line(key))
	}
	if more := len(keys) - statusRows; more > 0 {
		fmt.Fprintf(page, "%s +%d more\n", kind, more)
	}
}

// writeJobStatus shows one job: why it waits, or with which job it was cancelled.
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
