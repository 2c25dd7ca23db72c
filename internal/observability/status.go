// Package observability shows operators the state of a controller: the status page
// and the metrics.
package observability

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/leader"
	"wheatspur/internal/scheduler"
	"wheatspur/internal/tuning"
)

// statusRows bounds the rows of a kind that the status page shows.
const statusRows = 50

// Observer shows operators the state of a controller: the status page and the
// metrics.
type Observer struct {
	*cluster.State
	*fleet.Fleet
	scheduler  *scheduler.Scheduler
	leaderLoop *leader.Loop
}

func New(state *cluster.State, fleet *fleet.Fleet, scheduler *scheduler.Scheduler, leader *leader.Loop) *Observer {
	ob := &Observer{State: state, Fleet: fleet, scheduler: scheduler, leaderLoop: leader}
	state.Metrics.Registry.MustRegister(stateCollector{ob})
	return ob
}

// ServeStatus shows operators, as plain text, what this node knows: the
// membership with the version of each node, the splits with the gate that
// blocks each, the teams, and why jobs wait; with ?job=ID one job, with ?team=NAME
// one team.
func (ob *Observer) ServeStatus(c *fasthttp.RequestCtx) {
	ob.Lock()
	defer ob.Unlock()
	var b strings.Builder
	c.SetContentType("text/plain; charset=utf-8")
	if jobID := string(c.QueryArgs().Peek("job")); jobID != "" {
		ob.writeJobStatus(&b, jobID)
		c.SetBodyString(b.String())
		return
	}
	if team := string(c.QueryArgs().Peek("team")); team != "" {
		ob.writeTeamStatus(&b, team)
		c.SetBodyString(b.String())
		return
	}
	fmt.Fprintf(&b, "node %s version %s session %s state_service %v\n", ob.Self.Label, tuning.Version, ob.Session, ob.HasStore())
	if at := ob.Peers.CancellationsKnownUntil(); !at.IsZero() {
		// What an outage is survived by: it stays short while all siblings attest.
		fmt.Fprintf(&b, "cancellations known until %.1f s ago, leases renewed up to %.1f s\n", ob.Now().Sub(at).Seconds(), ob.Settings.RenewalBound().Seconds())
	}
	if ob.Membership != nil {
		fmt.Fprintf(&b, "membership token %d leader %s nodes", ob.Membership.FencingToken, ob.Membership.Leader.Label)
		for _, m := range ob.Membership.Nodes {
			fmt.Fprintf(&b, " %s", m.Label)
		}
		b.WriteByte('\n')
		for _, m := range ob.Membership.Nodes {
			s := ob.StoredSessions[m.Label]
			fmt.Fprintf(&b, "version %s %s form %d\n", m.Label, cmp.Or(s.ProgramVersion, "not told (0.1.0 or older)"), s.Format)
		}
		fmt.Fprintf(&b, "pipelines taken %v\n", ob.DependenciesSupported())
	}
	fmt.Fprintf(&b, "state_limits write_rps %g value_kb %g txn_ops %d machine_groups_to_cut %d\n", ob.Limits.WriteRPS, ob.Limits.ValueKB, ob.Limits.TxnOps,
		len(ob.Inventory.OversizeGroups(ob.MaxGroupBytes(), len(ob.Inventory.Machines))))
	pending := 0
	for _, j := range ob.Table.Open {
		pending += j.Counts[jobs.Pending]
	}
	fmt.Fprintf(&b, "jobs open %d waiting_for_others %d tasks_pending %d\n", len(ob.Table.Open), len(ob.Table.Waiting), pending)
	phases := map[inventory.Phase]int{}
	for _, h := range ob.Inventory.Machines {
		phases[h.Phase]++
	}
	fmt.Fprintf(&b, "machines in %d draining %d returned %d\n", phases[inventory.Active], phases[inventory.Draining], phases[inventory.Terminated])
	if ob.IsMember() && ob.IsLeader() {
		for _, t := range ob.MachineTypeList {
			if d, ok := ob.leaderLoop.LeaderState.RoleDecisions[t.Label]; ok {
				fmt.Fprintf(&b, "split %s batch %d service %d batch_load %.2f service_load %.2f demand_short %.4f demand_long %.4f evidence_open %v proposal %q rule %q confirmations %d gate %q\n",
					d.Type, d.Batch, d.Service, d.BatchLoad, d.ServiceLoad, d.Short, d.Long, d.EvidenceOpen,
					d.Proposal.Direction, d.Proposal.Rule, d.Confirmations, d.Gate)
			}
		}
	}
	ob.writeRecoveryStatus(&b)
	ob.writeTeamsStatus(&b)
	rows(&b, "waiting", ob.scheduler.Unplaced, func(jobID string) string {
		return fmt.Sprintf("waiting %s tasks %d because %s", jobID, ob.scheduler.Unplaced[jobID], ob.scheduler.PendingReasons[jobID])
	})
	rows(&b, "awaits", ob.Table.Waiting, func(jobID string) string {
		return fmt.Sprintf("awaits %s: %s", jobID, strings.Join(ob.Table.Unfinished(ob.Table.Waiting[jobID]), " "))
	})
	rows(&b, "cancelled with others", ob.Table.Unrecorded, func(jobID string) string {
		return fmt.Sprintf("cancelled %s with %s", jobID, ob.Table.Unrecorded[jobID].CancelledWith)
	})
	c.SetBodyString(b.String())
}

// rows writes a line for each key, in order, up to a bound.
func rows[V any](b *strings.Builder, kind string, m map[string]V, line func(key string) string) {
	keys := slices.Sorted(maps.Keys(m))
	for _, k := range keys[:min(len(keys), statusRows)] {
		fmt.Fprintln(b, line(k))
	}
	if more := len(keys) - statusRows; more > 0 {
		fmt.Fprintf(b, "%s +%d more\n", kind, more)
	}
}

// writeJobStatus shows one job: why it waits, or with which job it was cancelled;
// The lock is held.
func (ob *Observer) writeJobStatus(b *strings.Builder, jobID string) {
	j := ob.Table.Jobs[jobID]
	if j == nil {
		fmt.Fprintf(b, "job %s is not known here\n", jobID)
		return
	}
	fmt.Fprintf(b, "job %s phase %s stored %s tasks %d pending %d claimed %d completed %d\n", jobID, j.Phase, j.Record.Phase, j.Record.Tasks,
		j.Counts[jobs.Pending], j.Counts[jobs.Claimed], j.Counts[jobs.Completed])
	switch {
	case j.Phase == jobs.Waiting:
		fmt.Fprintf(b, "awaits %s\n", strings.Join(ob.Table.Unfinished(j), " "))
	case j.Phase == jobs.Cancelled && j.CancelledWith != "":
		fmt.Fprintf(b, "cancelled with %s\n", j.CancelledWith)
	case ob.scheduler.Unplaced[jobID] > 0:
		fmt.Fprintf(b, "waiting tasks %d because %s\n", ob.scheduler.Unplaced[jobID], ob.scheduler.PendingReasons[jobID])
	}
}
