// This file shows operators the limits and guarantees of teams: on the status
// page and in the metrics.

package observability

import (
	"fmt"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wheatspur/internal/quota"
)

// quotaSummaries describe all teams, in the order of the settings; the lock is held.
func (ob *Observer) quotaSummaries() []*quota.Summary {
	if ob.Membership == nil {
		return nil
	}
	view := ob.scheduler.QuotaView()
	var out []*quota.Summary
	for _, l := range ob.Quota.Ledgers() {
		name := l.Team().Name
		out = append(out, ob.Quota.Summary(view, name, ob.Table.ResourcesByTeam[name].Amount()))
	}
	return out
}

// waitingAmount is what the pending tasks of a team's open jobs take; the lock is held.
func (ob *Observer) waitingAmount(team string) quota.Amount {
	var sum quota.Amount
	for amount := range ob.scheduler.PendingAmounts(team) {
		sum = sum.Add(amount)
	}
	return sum
}

// amountText writes an amount.
func amountText(a quota.Amount) string { return fmt.Sprintf("%.4g/%.4g", a.CPUs, a.GPUs) }

// teamLine is a team's line of the status page; amounts are CPUs/GPUs. The lock is held.
func (ob *Observer) teamLine(s *quota.Summary) string {
	var b strings.Builder
	fmt.Fprintf(&b, "team %s shares %q limit %s guarantee %s used %s borrowed %s waiting %s", s.Team.Name, s.Phase, amountText(s.Team.Limit),
		amountText(s.Team.Guarantee), amountText(s.Used), amountText(s.Borrowed), amountText(ob.waitingAmount(s.Team.Name)))
	if !s.InFlight.IsZero() || !s.InDoubt.IsZero() {
		fmt.Fprintf(&b, " in_flight %s in_doubt %s", amountText(s.InFlight), amountText(s.InDoubt))
	}
	if s.Reserved != nil {
		since := ob.Now().Sub(time.UnixMilli(s.Reserved.Since))
		fmt.Fprintf(&b, " reserved %s for %.0f s", amountText(s.Reserved.Amount()), since.Seconds())
	}
	if s.Damage != nil {
		fmt.Fprintf(&b, " damage %q", s.Damage.Error())
	}
	return b.String()
}

// writeTeamsStatus shows all teams, and whether their guarantees fit the fleet; the lock is
// held.
func (ob *Observer) writeTeamsStatus(b *strings.Builder) {
	all := map[string]*quota.Summary{}
	for _, s := range ob.quotaSummaries() {
		all[s.Team.Name] = s
	}
	promised, fleet := ob.Quota.TotalGuarantees(), ob.scheduler.TotalCapacity()
	fmt.Fprintf(b, "guarantees %s machines_hold %s fit %v\n", amountText(promised), amountText(fleet), promised.Sub(fleet).Max(quota.Amount{}).IsZero())
	writeRows(b, "team", all, func(team string) string { return ob.teamLine(all[team]) })
}

// writeTeamStatus shows one team with the share of each node; the lock is held.
func (ob *Observer) writeTeamStatus(b *strings.Builder, team string) {
	for _, s := range ob.quotaSummaries() {
		if s.Team.Name != team {
			continue
		}
		fmt.Fprintln(b, ob.teamLine(s))
		for _, share := range s.Shares {
			fmt.Fprintf(b, "share %s of %s held %s\n", share.Node, amountText(share.Share), amountText(share.Claimed))
		}
		return
	}
	fmt.Fprintf(b, "team %s is not known here\n", team)
}

var (
	descTeam      = desc("team", "Amount of a resource of a team, by kind: limit, guarantee, used, borrowed, reserved, in_flight, in_doubt, waiting.", "team", "resource", "kind")
	descTeamShare = desc("team_share", "A node's part of a team's limit, and what the claims on its machines hold of it.", "team", "node", "resource", "kind")
	descTeamPhase = desc("team_shares_phase", "1 for the phase of a team's shares.", "team", "phase")
)

// collectTeams gathers the metrics of all teams; the lock is held.
func (ob *Observer) collectTeams(gauge func(d *prometheus.Desc, v float64, labels ...string)) {
	for _, s := range ob.quotaSummaries() {
		team := s.Team.Name
		var reserved quota.Amount
		if s.Reserved != nil {
			reserved = s.Reserved.Amount()
		}
		for kind, amount := range map[string]quota.Amount{
			"limit": s.Team.Limit, "guarantee": s.Team.Guarantee, "used": s.Used, "borrowed": s.Borrowed, "reserved": reserved,
			"in_flight": s.InFlight, "in_doubt": s.InDoubt, "waiting": ob.waitingAmount(team),
		} {
			gauge(descTeam, amount.CPUs, team, "cpus", kind)
			gauge(descTeam, amount.GPUs, team, "gpus", kind)
		}
		for _, share := range s.Shares {
			for kind, amount := range map[string]quota.Amount{"share": share.Share, "held": share.Claimed} {
				gauge(descTeamShare, amount.CPUs, team, share.Node, "cpus", kind)
				gauge(descTeamShare, amount.GPUs, team, share.Node, "gpus", kind)
			}
		}
		gauge(descTeamPhase, 1, team, string(s.Phase))
	}
}
