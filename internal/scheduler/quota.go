// This file applies the decisions of package quota: it admits the writes of claims, and plans the
// writes of shares and reservations.

package scheduler

import (
	"errors"
	"iter"
	"time"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/placement"
	"wheatspur/internal/quota"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
)

// QuotaView returns the cluster state that quota decisions are based on. The caller holds the lock.
func (sc *Scheduler) QuotaView() quota.View {
	return quota.View{
		Self:         sc.Self.Label,
		Leader:       sc.Membership.Leader.Label,
		Members:      sc.MemberLabels,
		FencingToken: sc.Membership.FencingToken,
		Claimed:      sc.MachineIndex.ClaimTotals(),
		Revision:     sc.Cache.Revision(),
	}
}

// Allowances returns what a pass may still allocate to each team. The caller holds the lock.
func (sc *Scheduler) Allowances() map[string]*quota.Allowance {
	view := sc.QuotaView()
	scale := sc.Quota.GuaranteeScale(sc.TotalCapacity, sc.Now())
	allowances := map[string]*quota.Allowance{}
	for _, ledger := range sc.Quota.Ledgers() {
		ledger.DropResolvedAdmissions(sc.Cache)
		team := ledger.Team().Name
		allowances[team] = ledger.Allowance(view, sc.Table.ResourcesByTeam[team].QuotaAmount(), scale)
	}
	return allowances
}

// TotalCapacity returns the total capacity of the machines that accept tasks. The caller holds the
// lock.
func (sc *Scheduler) TotalCapacity() quota.Amount {
	var sum quota.Amount
	for _, record := range sc.Inventory.Machines {
		if record.Phase == inventory.Active {
			machineType := sc.MachineTypes[record.MachineType]
			sum = sum.Add(quota.Amount{CPUs: machineType.CPUs, GPUs: machineType.GPUs})
		}
	}
	return sum
}

// mayReclaim reports whether a job within its team's guarantee has waited long enough for other
// teams' borrowed work to be preempted for it. The start of the team's wait and the time at which
// the job became ready are both stored, so all controllers come to the same result, even after a
// restart. The caller holds the lock.
func (sc *Scheduler) mayReclaim(job *jobs.Job, now time.Time) bool {
	if since, ok := sc.UnplacedSince[job.ID]; ok && now.Sub(since) > tuning.GuaranteePreemptAfter {
		return true
	}
	return sc.Settings.Operator.QuotaReservations && sc.Quota.MayReclaim(job.Team, now) &&
		now.UnixMilli()-job.ReadyAtMs > tuning.GuaranteePreemptAfter.Milliseconds()
}

// planReservations returns the leader's write of the reservations, which record the teams that
// wait for capacity within their guarantees. shortfall is the missing amount by team. The caller
// holds the lock.
func (sc *Scheduler) planReservations(shortfall map[string]quota.Amount, now time.Time, budget *writeBudget) []*PendingWrite {
	if !sc.IsLeader() || !budget.covers(1) {
		return nil
	}
	next := sc.Quota.PlanReservations(now, shortfall)
	if next == nil {
		return nil
	}
	sc.Log.Info(logging.EventReservationsChanged, logging.KeyTeams, len(next.Teams))
	budget.spend(1)
	write := sc.newWrite(writeReservationsSet)
	sc.compareCurrent(write, quota.ReservationsKey)
	write.put(quota.ReservationsKey, *next)
	write.reservations = true
	return []*PendingWrite{write}
}

// admitClaims admits a write of claims under the team's limit. It adds the compare of the team's
// shares and, for claims on other controllers' machines, the operation that transfers that part of
// this controller's share to the shard owners. It returns false if the share does not cover the
// claims. The caller holds the lock.
func (sc *Scheduler) admitClaims(write *PendingWrite, team string, amount quota.Amount, onOtherShards map[string]quota.Amount) bool {
	ledger := sc.Quota.Ledger(team)
	if ledger == nil {
		return false
	}
	admission, err := ledger.Admit(sc.QuotaView(), amount, onOtherShards)
	if err != nil {
		sc.Log.Debug(logging.EventClaimsRefusedByQuota, logging.KeyTeam, team, logging.KeyJobs, write.subjects, logging.KeyError, err)
		return false
	}
	if admission == nil {
		return true
	}
	key := jobs.TeamKey(team)
	sc.compareCurrent(write, key)
	write.Admission = admission
	if admission.NextRecord != nil {
		write.put(key, *admission.NextRecord)
	}
	return true
}

// ResolveQuota reports the outcome of a write to package quota: of its shares, its reservations and
// its admission, as far as it has them. The caller holds the lock.
func (sc *Scheduler) ResolveQuota(write *PendingWrite, err error) {
	if write.shares != nil {
		sc.Quota.Ledger(write.shares.Team).ResolveWrite(write.shares, outcomeOf(err), write.Compares)
	}
	if write.reservations {
		sc.Quota.ResolveReservationsWrite()
	}
	if write.Admission != nil {
		sc.Quota.Ledger(write.Admission.Team).ResolveAdmission(write.Admission, outcomeOf(err), write.Compares)
	}
}

// outcomeOf returns the outcome of a write that ended with the given error.
func outcomeOf(err error) quota.Outcome {
	switch {
	case err == nil:
		return quota.OutcomeStored
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrRejected), errors.Is(err, store.ErrMalformed):
		return quota.OutcomeNotStored
	}
	return quota.OutcomeUnknown
}

// planRebalances returns the leader's writes that divide the teams' limits among the members. The
// caller holds the lock.
func (sc *Scheduler) planRebalances(now time.Time, budget *writeBudget) []*PendingWrite {
	if !sc.IsLeader() {
		return nil
	}
	var writes []*PendingWrite
	view := sc.QuotaView()
	for _, ledger := range sc.Quota.Ledgers() {
		team := ledger.Team().Name
		blocksClaims := ledger.Phase(view.FencingToken) == quota.Undivided
		shares := ledger.Rebalance(now, view, sc.PendingAmounts(team), budget.covers(1))
		if shares == nil {
			continue
		}
		write := sc.newSharesWrite(shares)
		if blocksClaims {
			write.Class = store.ClassCancel // no claim of the team is admitted before this write
		}
		budget.spend(1)
		writes = append(writes, write)
	}
	return writes
}

// planTransfers returns the writes that transfer unused parts of this controller's shares to the
// leader, for teams whose share at the leader is too small. teams holds what the pass has left of
// each team's allowance, and shortfall what the leader is missing by team. The caller holds the
// lock.
func (sc *Scheduler) planTransfers(teams map[string]*quota.Allowance, shortfall map[string]quota.Amount, now time.Time, budget *writeBudget) []*PendingWrite {
	if !sc.Settings.Operator.QuotaTransfers || sc.IsLeader() {
		return nil
	}
	var writes []*PendingWrite
	view := sc.QuotaView()
	for team, missing := range shortfall {
		if !budget.covers(1) {
			break
		}
		shares := sc.Quota.Ledger(team).Transfer(now, view, view.Leader, missing, teams[team].Remaining[view.Self])
		if shares == nil {
			continue
		}
		budget.spend(1)
		writes = append(writes, sc.newSharesWrite(shares))
	}
	return writes
}

// newSharesWrite returns the write of a team's shares. The caller holds the lock.
func (sc *Scheduler) newSharesWrite(shares *quota.Write) *PendingWrite {
	sc.Log.Info(logging.EventSharesChanged, logging.KeyTeam, shares.Team, logging.KeyEvent, string(shares.Event))
	write := sc.newWrite(writeKind(shares.Event))
	key := jobs.TeamKey(shares.Team)
	sc.compareCurrent(write, key)
	write.put(key, shares.Record)
	write.shares = shares
	return write
}

// PendingAmounts yields, for each open job of a team, the resources that its pending tasks need.
// The caller holds the lock.
func (sc *Scheduler) PendingAmounts(team string) iter.Seq[quota.Amount] {
	return func(yield func(quota.Amount) bool) {
		for _, job := range sc.Table.Open {
			pending := job.TaskCounts[jobs.Pending]
			if job.Team != team || pending == 0 {
				continue
			}
			if !yield(job.TaskResources.QuotaAmount().Mul(float64(pending))) {
				return
			}
		}
	}
}

// recordShortages records in each team's ledger whether the team's tasks wait for a larger share.
// The caller holds the lock.
func (sc *Scheduler) recordShortages(output placement.Output, now time.Time) {
	for _, ledger := range sc.Quota.Ledgers() {
		_, hasShortfall := output.ShareShortfall[ledger.Team().Name]
		ledger.RecordShortage(hasShortfall, now, sc.Membership.FencingToken)
	}
}
