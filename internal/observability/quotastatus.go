// This file shows operators the limits and guarantees of teams: on the status
// page and in the metrics. Its methods expect the lock to be held.

package observability

import (
	"fmt"
	"strings"
	"time"

	"wheatspur/internal/quota"
)

// quotaSummaries describe all teams, in the order of the settings.
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

// pendingAmount is what the pending tasks of a team's open jobs take.
func (ob *Observer) pendingAmount(team string) quota.Amount {
	var sum quota.Amount
	for amount := range ob.scheduler.PendingAmounts(team) {
		sum = sum.Add(amount)
	}
	return sum
}

// amountText writes an amount as CPUs/GPUs.
func amountText(amount quota.Amount) string {
	return fmt.Sprintf("%.4g/%.4g", amount.CPUs, amount.GPUs)
}

// teamLine is a team's line of the status page.
func (ob *Observer) teamLine(summary *quota.Summary) string {
	var line strings.Builder
	team := summary.Team
	fmt.Fprintf(&line, "team %s shares %q limit %s guarantee %s used %s borrowed %s waiting %s", team.Name, summary.Phase, amountText(team.Limit),
		amountText(team.Guarantee), amountText(summary.Used), amountText(summary.Borrowed), amountText(ob.pendingAmount(team.Name)))
	if !summary.InFlight.IsZero() || !summary.Uncertain.IsZero() {
		fmt.Fprintf(&line, " in_flight %s in_doubt %s", amountText(summary.InFlight), amountText(summary.Uncertain))
	}
	if reservation := summary.Reserved; reservation != nil {
		since := ob.Now().Sub(time.UnixMilli(reservation.Since))
		fmt.Fprintf(&line, " reserved %s for %.0f s", amountText(reservation.Amount()), since.Seconds())
	}
	if summary.Damage != nil {
		fmt.Fprintf(&line, " damage %q", summary.Damage.Error())
	}
	return line.String()
}

// writeTeamsStatus shows all teams, and whether their guarantees fit the fleet.
func (ob *Observer) writeTeamsStatus(page *strings.Builder) {
	summaries := map[string]*quota.Summary{}
	for _, summary := range ob.quotaSummaries() {
		summaries[summary.Team.Name] = summary
	}
	guaranteed, capacity := ob.Quota.TotalGuarantees(), ob.scheduler.TotalCapacity()
	fit := guaranteed.Sub(capacity).Max(quota.Amount{}).IsZero()
	fmt.Fprintf(page, "guarantees %s machines_hold %s fit %v\n", amountText(guaranteed), amountText(capacity), fit)
	writeRows(page, "team", summaries, func(team string) string { return ob.teamLine(summaries[team]) })
}

// writeTeamStatus shows one team with the share of each controller.
func (ob *Observer) writeTeamStatus(page *strings.Builder, team string) {
	for _, summary := range ob.quotaSummaries() {
		if summary.Team.Name != team {
			continue
		}
		fmt.Fprintln(page, ob.teamLine(summary))
		for _, share := range summary.Shares {
			fmt.Fprintf(page, "share %s of %s held %s\n", share.Controller, amountText(share.Share), amountText(share.Claimed))
		}
		return
	}
	fmt.Fprintf(page, "team %s is not known here\n", team)
}

// collectTeams gathers the metrics of all teams.
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
			gauge(descTeam, amount.CPUs, team, "cpus", kind)
			gauge(descTeam, amount.GPUs, team, "gpus", kind)
		}
		for _, share := range summary.Shares {
			for kind, amount := range map[string]quota.Amount{"share": share.Share, "held": share.Claimed} {
				gauge(descTeamShare, amount.CPUs, team, share.Controller, "cpus", kind)
				gauge(descTeamShare, amount.GPUs, team, share.Controller, "gpus", kind)
			}
		}
		gauge(descTeamPhase, 1, team, string(summary.Phase))
	}
}
