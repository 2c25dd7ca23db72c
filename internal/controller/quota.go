// This file carries out what package quota decides: it enters the stored shares
// and claims, guards the writes of claims and stores the leader's new shares.

package controller

import (
	"errors"
	"iter"
	"time"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/quota"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
)

// quotaView is what decisions about limits start from; the lock is held.
func (sc *scheduler) quotaView() quota.View {
	return quota.View{
		Self:         sc.self.Label,
		Leader:       sc.membership.Leader.Label,
		Nodes:        sc.memberLabels,
		FencingToken: sc.membership.FencingToken,
		Claimed:      sc.machineIndex.claimedByNode(),
		Revision:     sc.cache.Revision(),
	}
}

// allowances are what a pass may still give to each team; the lock is held.
func (sc *scheduler) allowances() map[string]*quota.Allowance {
	view := sc.quotaView()
	scale := sc.quota.Scale(sc.totalCapacity, sc.now())
	out := map[string]*quota.Allowance{}
	for _, l := range sc.quota.Ledgers() {
		l.Forget(sc.cache)
		name := l.Team().Name
		out[name] = l.Allowance(view, sc.table.ResourcesByTeam[name].Amount(), scale)
	}
	return out
}

// totalCapacity is what all machines that take tasks hold together; the lock is held.
func (sc *scheduler) totalCapacity() quota.Amount {
	var sum quota.Amount
	for _, r := range sc.inventory.Machines {
		if r.Phase == inventory.Active {
			t := sc.machineTypes[r.MachineType]
			sum = sum.Add(quota.Amount{CPUs: t.CPUs, GPUs: t.GPUs})
		}
	}
	return sum
}

// mayReclaim reports whether a job within its team's guarantee has waited so long
// for room that others' borrowed work is stopped for it. The team's wait is
// stored, and so is the time since when the job could start, so all nodes come to
// the same answer, also after a restart. The lock is held.
func (sc *scheduler) mayReclaim(j *jobs.Job, now time.Time) bool {
	if at, ok := sc.unplacedSince[j.ID]; ok && now.Sub(at) > tuning.GuaranteePreemptAfter {
		return true
	}
	return sc.settings.Operator.QuotaReservations && sc.quota.MayReclaim(j.Team, now) &&
		now.UnixMilli()-j.ReadyAtMs > tuning.GuaranteePreemptAfter.Milliseconds()
}

// planReservations lets the leader store which teams wait for room within their
// guarantees; the lock is held.
func (sc *scheduler) planReservations(short map[string]quota.Amount, now time.Time, most *float64) []*pendingWrite {
	if !sc.isLeader() || *most < 1 {
		return nil
	}
	next := sc.quota.Reserve(now, short)
	if next == nil {
		return nil
	}
	sc.log.Info("reservations change", "teams", len(next.Teams))
	*most--
	t := sc.newWrite("reserve")
	t.compares[quota.ReservationsKey] = sc.cache.Version(quota.ReservationsKey)
	t.put(quota.ReservationsKey, *next)
	t.reservations = true
	return []*pendingWrite{t}
}

// admit adds to a write of claims the guard on the shares of the team's limit
// and, for claims on others' machines, the change that hands their owners that
// part of this node's share; false if the share does not cover it. The lock is held.
func (sc *scheduler) admit(t *pendingWrite, team string, amount quota.Amount, others map[string]quota.Amount) bool {
	l := sc.quota.Ledger(team)
	if l == nil {
		return false
	}
	admission, err := l.Admit(sc.quotaView(), amount, others)
	if err != nil {
		sc.log.Debug("claims are not admitted", "team", team, "jobs", t.jobIDs, "err", err)
		return false
	}
	if admission == nil {
		return true
	}
	key := jobs.TeamKey(team)
	t.compares[key] = sc.cache.Version(key)
	t.admission = admission
	if admission.Next != nil {
		t.put(key, *admission.Next)
	}
	return true
}

// resolveQuota tells the team's ledger what became of a write; the lock is held.
func (sc *scheduler) resolveQuota(t *pendingWrite, err error) {
	if t.shares != nil {
		sc.quota.Ledger(t.shares.Team).ResolveWrite(t.shares, outcomeOf(err), t.compares)
	}
	if t.reservations {
		sc.quota.ReservationsWritten()
	}
	if t.admission != nil {
		sc.quota.Ledger(t.admission.Team).ResolveAdmission(t.admission, outcomeOf(err), t.compares)
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
func (sc *scheduler) planRebalances(now time.Time, most *float64) []*pendingWrite {
	if !sc.isLeader() {
		return nil
	}
	var out []*pendingWrite
	view := sc.quotaView()
	for _, l := range sc.quota.Ledgers() {
		team := l.Team().Name
		urgent := l.Phase(view.FencingToken) == quota.Unshared
		w := l.Rebalance(now, view, sc.pendingAmounts(team), *most >= 1)
		if w == nil {
			continue
		}
		t := sc.shareWrite(w)
		if urgent {
			t.class = store.ClassCancel // all claims wait for it
		}
		*most--
		out = append(out, t)
	}
	return out
}

// planTransfers gives what this node does not need of the teams' limits to the
// leader, where that is short; teams are what the pass has left of each. the lock is
// held.
func (sc *scheduler) planTransfers(teams map[string]*quota.Allowance, short map[string]quota.Amount, now time.Time, most *float64) []*pendingWrite {
	if !sc.settings.Operator.QuotaTransfers || sc.isLeader() {
		return nil
	}
	var out []*pendingWrite
	view := sc.quotaView()
	for team, lack := range short {
		if *most < 1 {
			break
		}
		w := sc.quota.Ledger(team).Transfer(now, view, view.Leader, lack, teams[team].Left[view.Self])
		if w == nil {
			continue
		}
		*most--
		out = append(out, sc.shareWrite(w))
	}
	return out
}

// shareWrite is the write of a team's shares; the lock is held.
func (sc *scheduler) shareWrite(w *quota.Write) *pendingWrite {
	sc.log.Info("team's shares change", "team", w.Team, "event", string(w.Event))
	t := sc.newWrite(string(w.Event))
	key := jobs.TeamKey(w.Team)
	t.compares[key] = sc.cache.Version(key)
	t.put(key, w.Record)
	t.shares = w
	return t
}

// pendingAmounts is what each waiting job of a team takes; the lock is held.
func (sc *scheduler) pendingAmounts(team string) iter.Seq[quota.Amount] {
	return func(yield func(quota.Amount) bool) {
		for _, j := range sc.table.Open {
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
func (sc *scheduler) recordShortages(out placement.Output, now time.Time) {
	for _, l := range sc.quota.Ledgers() {
		_, short := out.ShareShortfall[l.Team().Name]
		l.RecordShortage(short, now, sc.membership.FencingToken)
	}
}
