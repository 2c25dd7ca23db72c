// This file carries out what package quota decides: it admits the writes of claims,
// and plans the writes of shares and reservations.

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

// QuotaView is what decisions about limits start from. The caller holds the lock.
func (sc *Scheduler) QuotaView() quota.View {
	return quota.View{
		Self:         sc.Self.Label,
		Leader:       sc.Membership.Leader.Label,
		Nodes:        sc.MemberLabels,
		FencingToken: sc.Membership.FencingToken,
		Claimed:      sc.MachineIndex.ClaimedByNode(),
		Revision:     sc.Cache.Revision(),
	}
}

// Allowances are what a pass may still give to each team. The caller holds the lock.
func (sc *Scheduler) Allowances() map[string]*quota.Allowance {
	view := sc.QuotaView()
	scale := sc.Quota.Scale(sc.TotalCapacity, sc.Now())
	allowances := map[string]*quota.Allowance{}
	for _, ledger := range sc.Quota.Ledgers() {
		ledger.Forget(sc.Cache)
		team := ledger.Team().Name
		allowances[team] = ledger.Allowance(view, sc.Table.ResourcesByTeam[team].Amount(), scale)
	}
	return allowances
}

// TotalCapacity is what all machines that take tasks hold together. The caller
// holds the lock.
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

// mayReclaim reports whether a job within its team's guarantee has waited so long
// for room that others' borrowed work is preempted for it. The team's wait is
// stored, and so is the time since when the job could start, so all controllers
// come to the same answer, also after a restart. The caller holds the lock.
func (sc *Scheduler) mayReclaim(job *jobs.Job, now time.Time) bool {
	if since, ok := sc.UnplacedSince[job.ID]; ok && now.Sub(since) > tuning.GuaranteePreemptAfter {
		return true
	}
	return sc.Settings.Operator.QuotaReservations && sc.Quota.MayReclaim(job.Team, now) &&
		now.UnixMilli()-job.ReadyAtMs > tuning.GuaranteePreemptAfter.Milliseconds()
}

// planReservations lets the leader store which teams wait for room within their
// guarantees: shortfall is what each lacks. The caller holds the lock.
func (sc *Scheduler) planReservations(shortfall map[string]quota.Amount, now time.Time, budget *writeBudget) []*PendingWrite {
	if !sc.IsLeader() || !budget.covers(1) {
		return nil
	}
	next := sc.Quota.Reserve(now, shortfall)
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

// admit adds to a write of claims the compare of the team's shares and, for claims
// on machines of other shard owners, the change that hands them that part of this
// controller's share; false if the share does not cover the claims. The caller
// holds the lock.
func (sc *Scheduler) admit(write *PendingWrite, team string, amount quota.Amount, onOtherShards map[string]quota.Amount) bool {
	ledger := sc.Quota.Ledger(team)
	if ledger == nil {
		return false
	}
	admission, err := ledger.Admit(sc.QuotaView(), amount, onOtherShards)
	if err != nil {
		sc.Log.Debug(logging.EventClaimsNotAdmitted, logging.KeyTeam, team, logging.KeyJobs, write.inFlight, logging.KeyError, err)
		return false
	}
	if admission == nil {
		return true
	}
	key := jobs.TeamKey(team)
	sc.compareCurrent(write, key)
	write.Admission = admission
	if admission.Next != nil {
		write.put(key, *admission.Next)
	}
	return true
}

// ResolveQuota tells the team's ledger what became of a write. The caller holds the lock.
func (sc *Scheduler) ResolveQuota(write *PendingWrite, err error) {
	if write.shares != nil {
		sc.Quota.Ledger(write.shares.Team).ResolveWrite(write.shares, outcomeOf(err), write.Compares)
	}
	if write.reservations {
		sc.Quota.ReservationsWritten()
	}
	if write.Admission != nil {
		sc.Quota.Ledger(write.Admission.Team).ResolveAdmission(write.Admission, outcomeOf(err), write.Compares)
	}
}

// outcomeOf is what is known of a write by the error that it ended with.
func outcomeOf(err error) quota.Outcome {
	switch {
	case err == nil:
		return quota.Stored
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrRejected), errors.Is(err, store.ErrMalformed):
		return quota.Failed
	}
	return quota.Unknown
}

// planRebalances lets the leader divide the teams' limits among the members. The
// caller holds the lock.
func (sc *Scheduler) planRebalances(now time.Time, budget *writeBudget) []*PendingWrite {
	if !sc.IsLeader() {
		return nil
	}
	var writes []*PendingWrite
	view := sc.QuotaView()
	for _, ledger := range sc.Quota.Ledgers() {
		team := ledger.Team().Name
		urgent := ledger.Phase(view.FencingToken) == quota.Unshared
		shares := ledger.Rebalance(now, view, sc.PendingAmounts(team), budget.covers(1))
		if shares == nil {
			continue
		}
		write := sc.shareWrite(shares)
		if urgent {
			write.Class = store.ClassCancel // all claims of the team wait for it
		}
		budget.spend(1)
		writes = append(writes, write)
	}
	return writes
}

// planTransfers gives what this controller does not need of the teams' limits to
// the leader, where that is short: teams are what the pass has left of each, and
// shortfall is what the leader lacks. The caller holds the lock.
func (sc *Scheduler) planTransfers(teams map[string]*quota.Allowance, shortfall map[string]quota.Amount, now time.Time, budget *writeBudget) []*PendingWrite {
	if !sc.Settings.Operator.QuotaTransfers || sc.IsLeader() {
		return nil
	}
	var writes []*PendingWrite
	view := sc.QuotaView()
	for team, lack := range shortfall {
		if !budget.covers(1) {
			break
		}
		shares := sc.Quota.Ledger(team).Transfer(now, view, view.Leader, lack, teams[team].Left[view.Self])
		if shares == nil {
			continue
		}
		budget.spend(1)
		writes = append(writes, sc.shareWrite(shares))
	}
	return writes
}

// shareWrite is the write of a team's shares. The caller holds the lock.
func (sc *Scheduler) shareWrite(shares *quota.Write) *PendingWrite {
	sc.Log.Info(logging.EventSharesChanged, logging.KeyTeam, shares.Team, logging.KeyEvent, string(shares.Event))
	write := sc.newWrite(writeKind(shares.Event))
	key := jobs.TeamKey(shares.Team)
	sc.compareCurrent(write, key)
	write.put(key, shares.Record)
	write.shares = shares
	return write
}

// PendingAmounts yields what the pending tasks of each job of a team take. The
// caller holds the lock.
func (sc *Scheduler) PendingAmounts(team string) iter.Seq[quota.Amount] {
	return func(yield func(quota.Amount) bool) {
		for _, job := range sc.Table.Open {
			pending := job.Counts[jobs.Pending]
			if job.Team != team || pending == 0 {
				continue
			}
			if !yield(job.Need.Amount().Times(float64(pending))) {
				return
			}
		}
	}
}

// recordShortages notes which teams' tasks wait for other shares. The caller holds
// the lock.
func (sc *Scheduler) recordShortages(output placement.Output, now time.Time) {
	for _, ledger := range sc.Quota.Ledgers() {
		_, short := output.ShareShortfall[ledger.Team().Name]
		ledger.RecordShortage(short, now, sc.Membership.FencingToken)
	}
}
