// This file carries out what package quota decides: it enters the stored shares
// and claims, guards the writes of claims and stores the leader's new shares.

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

// QuotaView is what decisions about limits start from; the lock is held.
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

// Allowances are what a pass may still give to each team; the lock is held.
func (sc *Scheduler) Allowances() map[string]*quota.Allowance {
	view := sc.QuotaView()
	scale := sc.Quota.Scale(sc.TotalCapacity, sc.Now())
	out := map[string]*quota.Allowance{}
	for _, l := range sc.Quota.Ledgers() {
		l.Forget(sc.Cache)
		name := l.Team().Name
		out[name] = l.Allowance(view, sc.Table.ResourcesByTeam[name].Amount(), scale)
	}
	return out
}

// TotalCapacity is what all machines that take tasks hold together; the lock is held.
func (sc *Scheduler) TotalCapacity() quota.Amount {
	var sum quota.Amount
	for _, r := range sc.Inventory.Machines {
		if r.Phase == inventory.Active {
			t := sc.MachineTypes[r.MachineType]
			sum = sum.Add(quota.Amount{CPUs: t.CPUs, GPUs: t.GPUs})
		}
	}
	return sum
}

// mayReclaim reports whether a job within its team's guarantee has waited so long
// for room that others' borrowed work is stopped for it. The team's wait is
// stored, and so is the time since when the job could start, so all nodes come to
// the same answer, also after a restart. The lock is held.
func (sc *Scheduler) mayReclaim(j *jobs.Job, now time.Time) bool {
	if at, ok := sc.UnplacedSince[j.ID]; ok && now.Sub(at) > tuning.GuaranteePreemptAfter {
		return true
	}
	return sc.Settings.Operator.QuotaReservations && sc.Quota.MayReclaim(j.Team, now) &&
		now.UnixMilli()-j.ReadyAtMs > tuning.GuaranteePreemptAfter.Milliseconds()
}

// planReservations lets the leader store which teams wait for room within their
// guarantees; the lock is held.
func (sc *Scheduler) planReservations(short map[string]quota.Amount, now time.Time, most *float64) []*PendingWrite {
	if !sc.IsLeader() || *most < 1 {
		return nil
	}
	next := sc.Quota.Reserve(now, short)
	if next == nil {
		return nil
	}
	sc.Log.Info(logging.EventReservationsChanged, logging.KeyTeams, len(next.Teams))
	*most--
	t := sc.newWrite("reserve")
	t.Compares[quota.ReservationsKey] = sc.Cache.Version(quota.ReservationsKey)
	t.put(quota.ReservationsKey, *next)
	t.reservations = true
	return []*PendingWrite{t}
}

// admit adds to a write of claims the guard on the shares of the team's limit
// and, for claims on others' machines, the change that hands their owners that
// part of this node's share; false if the share does not cover it. The lock is held.
func (sc *Scheduler) admit(t *PendingWrite, team string, amount quota.Amount, others map[string]quota.Amount) bool {
	l := sc.Quota.Ledger(team)
	if l == nil {
		return false
	}
	admission, err := l.Admit(sc.QuotaView(), amount, others)
	if err != nil {
		sc.Log.Debug(logging.EventClaimsNotAdmitted, logging.KeyTeam, team, logging.KeyJobs, t.jobIDs, logging.KeyError, err)
		return false
	}
	if admission == nil {
		return true
	}
	key := jobs.TeamKey(team)
	t.Compares[key] = sc.Cache.Version(key)
	t.Admission = admission
	if admission.Next != nil {
		t.put(key, *admission.Next)
	}
	return true
}

// ResolveQuota tells the team's ledger what became of a write; the lock is held.
func (sc *Scheduler) ResolveQuota(t *PendingWrite, err error) {
	if t.shares != nil {
		sc.Quota.Ledger(t.shares.Team).ResolveWrite(t.shares, outcomeOf(err), t.Compares)
	}
	if t.reservations {
		sc.Quota.ReservationsWritten()
	}
	if t.Admission != nil {
		sc.Quota.Ledger(t.Admission.Team).ResolveAdmission(t.Admission, outcomeOf(err), t.Compares)
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
// of changes has room for. The lock is held.
func (sc *Scheduler) planRebalances(now time.Time, most *float64) []*PendingWrite {
	if !sc.IsLeader() {
		return nil
	}
	var out []*PendingWrite
	view := sc.QuotaView()
	for _, l := range sc.Quota.Ledgers() {
		team := l.Team().Name
		urgent := l.Phase(view.FencingToken) == quota.Unshared
		w := l.Rebalance(now, view, sc.PendingAmounts(team), *most >= 1)
		if w == nil {
			continue
		}
		t := sc.shareWrite(w)
		if urgent {
			t.Class = store.ClassCancel // all claims wait for it
		}
		*most--
		out = append(out, t)
	}
	return out
}

// planTransfers gives what this node does not need of the teams' limits to the
// leader, where that is short; teams are what the pass has left of each. the lock is
// held.
func (sc *Scheduler) planTransfers(teams map[string]*quota.Allowance, short map[string]quota.Amount, now time.Time, most *float64) []*PendingWrite {
	if !sc.Settings.Operator.QuotaTransfers || sc.IsLeader() {
		return nil
	}
	var out []*PendingWrite
	view := sc.QuotaView()
	for team, lack := range short {
		if *most < 1 {
			break
		}
		w := sc.Quota.Ledger(team).Transfer(now, view, view.Leader, lack, teams[team].Left[view.Self])
		if w == nil {
			continue
		}
		*most--
		out = append(out, sc.shareWrite(w))
	}
	return out
}

// shareWrite is the write of a team's shares; the lock is held.
func (sc *Scheduler) shareWrite(w *quota.Write) *PendingWrite {
	sc.Log.Info(logging.EventSharesChanged, logging.KeyTeam, w.Team, logging.KeyEvent, string(w.Event))
	t := sc.newWrite(string(w.Event))
	key := jobs.TeamKey(w.Team)
	t.Compares[key] = sc.Cache.Version(key)
	t.put(key, w.Record)
	t.shares = w
	return t
}

// PendingAmounts is what each waiting job of a team takes; the lock is held.
func (sc *Scheduler) PendingAmounts(team string) iter.Seq[quota.Amount] {
	return func(yield func(quota.Amount) bool) {
		for _, j := range sc.Table.Open {
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

// recordShortages notes which teams' work waits for other shares; the lock is held.
func (sc *Scheduler) recordShortages(out placement.Output, now time.Time) {
	for _, l := range sc.Quota.Ledgers() {
		_, short := out.ShareShortfall[l.Team().Name]
		l.RecordShortage(short, now, sc.Membership.FencingToken)
	}
}
