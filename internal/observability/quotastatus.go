// This file shows the limits and guarantees of teams on the status page and in the metrics.

package observability

import (
	"fmt"
	"strings"
	"time"

	"wheatspur/internal/quota"
)

// quotaSummaries returns the quota summaries of all teams, in the order of the settings. It returns
// nil while no membership is known. The lock is held.
func (ob *Observer) quotaSummaries() []*quota.Summary {
	if ob.Membership == nil {
		return nil
	}
	view := ob.scheduler.QuotaView()
	var summaries []*quota.Summary
	for _, ledger := range ob.Quota.Ledgers() {
		team := ledger.Team().Name
		summaries = append(summaries, ob.Quota.Summary(view, team, ob.Table.ResourcesByTeam[team].QuotaAmount()))
	}
	return summaries
}

// pendingAmount returns the resources that the pending tasks of a team's open jobs need. The lock
// is held.
func (ob *Observer) pendingAmount(team string) quota.Amount {
	var sum quota.Amount
	for amount := range ob.scheduler.PendingAmounts(team) {
		sum = sum.Add(amount)
	}
	return sum
}

// formatAmount formats an amount as CPUs/GPUs.
func formatAmount(amount quota.Amount) string {
	return fmt.Sprintf("%.4g/%.4g", amount.CPUs, amount.GPUs)
}

// formatTeam returns a team's line of the status page. The lock is held.
func (ob *Observer) formatTeam(summary *quota.Summary) string {
	var line strings.Builder
	team := summary.Team
	fmt.Fprintf(&line, "team %s shares %q limit %s guarantee %s used %s borrowed %s waiting %s", team.Name, summary.Phase, formatAmount(team.Limit),
		formatAmount(team.Guarantee), formatAmount(summary.Used), formatAmount(summary.Borrowed), formatAmount(ob.pendingAmount(team.Name)))
	if !summary.InFlight.IsZero() || !summary.Uncertain.IsZero() {
		fmt.Fprintf(&line, " in_flight %s in_doubt %s", formatAmount(summary.InFlight), formatAmount(summary.Uncertain))
	}
	if reservation := summary.Reserved; reservation != nil {
		since := ob.Now().Sub(time.UnixMilli(reservation.Since))
		fmt.Fprintf(&line, " reserved %s for %.0f s", formatAmount(reservation.Amount()), since.Seconds())
	}
	if summary.Damage != nil {
		fmt.Fprintf(&line, " damage %q", summary.Damage.Error())
	}
	return line.String()
}

// writeTeamsStatus writes whether the capacity of the machines that accept tasks covers the sum of
// all guarantees, and then a line for each team. The lock is held.
func (ob *Observer) writeTeamsStatus(page *strings.Builder) {
	summaries := map[string]*quota.Summary{}
	for _, summary := range ob.quotaSummaries() {
		summaries[summary.Team.Name] = summary
	}
	guaranteed, capacity := ob.Quota.TotalGuarantees(), ob.scheduler.TotalCapacity()
	fit := guaranteed.Sub(capacity).Max(quota.Amount{}).IsZero()
	fmt.Fprintf(page, "guarantees %s machines_hold %s fit %v\n", formatAmount(guaranteed), formatAmount(capacity), fit)
	writeRows(page, "team", summaries, func(team string) string { return ob.formatTeam(summaries[team]) })
}

// writeTeamStatus writes one team and the share that each controller has of its limit. The lock is
// held.
func (ob *Observer) writeTeamStatus(page *strings.Builder, team string) {
	for _, summary := range ob.quotaSummaries() {
		if summary.Team.Name != team {
			continue
		}
		fmt.Fprintln(page, ob.formatTeam(summary))
		for _, share := range summary.Shares {
			fmt.Fprintf(page, "share %s of %s held %s\n", share.Controller, formatAmount(share.Share), formatAmount(share.Claimed))
		}
		return
	}
	fmt.Fprintf(page, "team %s is not known here\n", team)
}

// collectTeams emits the metrics of all teams. The lock is held.
func (ob *Observer) collectTeams(gauge gaugeFunc) {
	for _, summary := range ob.quotaSummaries() {
		team := summary.Team.Name
		var reserved quota.Amount
		if summary.Reserved != nil {
			reserved = summary.Reserved.Amount()
		}
		for kind, amount := range map[string]quota.Amount{
			"limit":     summary.Team.Limit,
			"guarantee": summary.Team.Guarantee,
			"used":      summary.Used,
			"borrowed":  summary.Borrowed,
			"reserved":  reserved,
			"in_flight": summary.InFlight,
			"in_doubt":  summary.Uncertain,
			"waiting":   ob.pendingAmount(team),
		} {
			gauge(descTeamAmount, amount.CPUs, team, "cpus", kind)
			gauge(descTeamAmount, amount.GPUs, team, "gpus", kind)
		}
		for _, share := range summary.Shares {
			for kind, amount := range map[string]quota.Amount{"share": share.Share, "held": share.Claimed} {
				gauge(descTeamShare, amount.CPUs, team, share.Controller, "cpus", kind)
				gauge(descTeamShare, amount.GPUs, team, share.Controller, "gpus", kind)
			}
		}
		gauge(descTeamSharesPhase, 1, team, string(summary.Phase))
	}
}
