// This file carries out what package quota decides: it enters the stored shares
// and claims, guards the writes of claims and stores the leader's new shares.

package controller

import (
	"errors"
	"iter"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/quota"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
)

// quotaTeams are the teams of the settings.
func quotaTeams(teams []config.Team) []quota.Team {
	out := make([]quota.Team, len(teams))
	for i, t := range teams {
		out[i] = quota.Team{
			Name:      t.Name,
			Limit:     quota.Amount{CPUs: t.CPUsMax, GPUs: t.GPUsMax},
			Guarantee: quota.Amount{CPUs: t.CPUs, GPUs: t.GPUs},
		}
	}
	return out
}

// quotaOptions are what operators have switched on.
func quotaOptions(set *config.Settings) quota.Options {
	return quota.Options{Transfers: set.Operator.QuotaTransfers, Reservations: set.Operator.QuotaReservations}
}

// quotaView is what decisions about limits start from; mu is held.
func (n *Controller) quotaView() quota.View {
	return quota.View{
		Self:         n.self.Label,
		Leader:       n.membership.Leader.Label,
		Nodes:        n.memberLabels,
		FencingToken: n.membership.FencingToken,
		Claimed:      n.claimedByNode(),
		Revision:     n.cache.Revision(),
	}
}

// claimedByNode is what the claims on each node's machines take; mu is held.
func (n *Controller) claimedByNode() quota.ClaimedByNode {
	for host := range n.machineIndex.changed {
		n.sumClaims(host)
	}
	return n.machineIndex.claimedByNode
}

// allowances are what a pass may still give to each team; mu is held.
func (n *Controller) allowances() map[string]*quota.Allowance {
	view := n.quotaView()
	scale := n.quota.Scale(n.totalCapacity, n.now())
	out := map[string]*quota.Allowance{}
	for _, l := range n.quota.Ledgers() {
		l.Forget(n.cache)
		name := l.Team().Name
		out[name] = l.Allowance(view, n.table.ResourcesByTeam[name].Amount(), scale)
	}
	return out
}

// totalCapacity is what all machines that take tasks hold together; mu is held.
func (n *Controller) totalCapacity() quota.Amount {
	var sum quota.Amount
	for _, r := range n.inventory.Machines {
		if r.Phase == inventory.Active {
			t := n.machineTypes[r.MachineType]
			sum = sum.Add(quota.Amount{CPUs: t.CPUs, GPUs: t.GPUs})
		}
	}
	return sum
}

// mayReclaim reports whether a job within its team's guarantee has waited so long
// for room that others' borrowed work is stopped for it. The team's wait is
// stored, and so is the time since when the job could start, so all nodes come to
// the same answer, also after a restart. mu is held.
func (n *Controller) mayReclaim(j *jobs.Job, now time.Time) bool {
	if at, ok := n.unplacedSince[j.ID]; ok && now.Sub(at) > tuning.GuaranteePreemptAfter {
		return true
	}
	return n.settings.Operator.QuotaReservations && n.quota.MayReclaim(j.Team, now) &&
		now.UnixMilli()-j.ReadyAtMs > tuning.GuaranteePreemptAfter.Milliseconds()
}

// planReservations lets the leader store which teams wait for room within their
// guarantees; mu is held.
func (n *Controller) planReservations(short map[string]quota.Amount, now time.Time, most *float64) []*pendingWrite {
	if !n.isLeader() || *most < 1 {
		return nil
	}
	next := n.quota.Reserve(now, short)
	if next == nil {
		return nil
	}
	n.log.Info("reservations change", "teams", len(next.Teams))
	*most--
	t := n.newWrite("reserve")
	t.compares[quota.ReservationsKey] = n.cache.Version(quota.ReservationsKey)
	t.put(quota.ReservationsKey, *next)
	t.reservations = true
	return []*pendingWrite{t}
}

// admit adds to a write of claims the guard on the shares of the team's limit
// and, for claims on others' machines, the change that hands their owners that
// part of this node's share; false if the share does not cover it. mu is held.
func (n *Controller) admit(t *pendingWrite, team string, amount quota.Amount, others map[string]quota.Amount) bool {
	l := n.quota.Ledger(team)
	if l == nil {
		return false
	}
	admission, err := l.Admit(n.quotaView(), amount, others)
	if err != nil {
		n.log.Debug("claims are not admitted", "team", team, "jobs", t.jobIDs, "err", err)
		return false
	}
	if admission == nil {
		return true
	}
	key := jobs.TeamKey(team)
	t.compares[key] = n.cache.Version(key)
	t.admission = admission
	if admission.Next != nil {
		t.put(key, *admission.Next)
	}
	return true
}

// resolveQuota tells the team's ledger what became of a write; mu is held.
func (n *Controller) resolveQuota(t *pendingWrite, err error) {
	if t.shares != nil {
		n.quota.Ledger(t.shares.Team).ResolveWrite(t.shares, outcomeOf(err), t.compares)
	}
	if t.reservations {
		n.quota.ReservationsWritten()
	}
	if t.admission != nil {
		n.quota.Ledger(t.admission.Team).ResolveAdmission(t.admission, outcomeOf(err), t.compares)
	}
}

// outcomeOf says what is known of a write by the error that it ended with.
func outcomeOf(err error) quota.Outcome {
	switch {
	case err == nil:
		return quota.Stored
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrRejected), errors.Is(err, store.ErrMalformed):
		return quota.Failed
	}
	return quota.Unknown
}

// planRebalances lets the leader share the teams' limits out; most is what the budget
// of changes has room for. mu is held.
func (n *Controller) planRebalances(now time.Time, most *float64) []*pendingWrite {
	if !n.isLeader() {
		return nil
	}
	var out []*pendingWrite
	view := n.quotaView()
	for _, l := range n.quota.Ledgers() {
		team := l.Team().Name
		urgent := l.Phase(view.FencingToken) == quota.Unshared
		w := l.Rebalance(now, view, n.pendingAmounts(team), *most >= 1)
		if w == nil {
			continue
		}
		t := n.shareWrite(w)
		if urgent {
			t.class = store.ClassCancel // all claims wait for it
		}
		*most--
		out = append(out, t)
	}
	return out
}

// planTransfers gives what this node does not need of the teams' limits to the
// leader, where that is short; teams are what the pass has left of each. mu is
// held.
func (n *Controller) planTransfers(teams map[string]*quota.Allowance, short map[string]quota.Amount, now time.Time, most *float64) []*pendingWrite {
	if !n.settings.Operator.QuotaTransfers || n.isLeader() {
		return nil
	}
	var out []*pendingWrite
	view := n.quotaView()
	for team, lack := range short {
		if *most < 1 {
			break
		}
		w := n.quota.Ledger(team).Transfer(now, view, view.Leader, lack, teams[team].Left[view.Self])
		if w == nil {
			continue
		}
		*most--
		out = append(out, n.shareWrite(w))
	}
	return out
}

// shareWrite is the write of a team's shares; mu is held.
func (n *Controller) shareWrite(w *quota.Write) *pendingWrite {
	n.log.Info("team's shares change", "team", w.Team, "event", string(w.Event))
	t := n.newWrite(string(w.Event))
	key := jobs.TeamKey(w.Team)
	t.compares[key] = n.cache.Version(key)
	t.put(key, w.Record)
	t.shares = w
	return t
}

// pendingAmounts is what each waiting job of a team takes; mu is held.
func (n *Controller) pendingAmounts(team string) iter.Seq[quota.Amount] {
	return func(yield func(quota.Amount) bool) {
		for _, j := range n.table.Open {
			pending := j.Counts[jobs.Pending]
			if j.Team != team || pending == 0 {
				continue
			}
			if !yield(j.Need.Amount().Times(float64(pending))) {
				return
			}
		}
	}
}

// recordShortages notes which teams' work waits for other shares; mu is held.
func (n *Controller) recordShortages(out placement.Output, now time.Time) {
	for _, l := range n.quota.Ledgers() {
		_, short := out.ShareShortfall[l.Team().Name]
		l.RecordShortage(short, now, n.membership.FencingToken)
	}
}
