// Package election keeps the controller's session, takes the leadership and writes
// the membership. What to write is decided by package membership.
package election

import (
	"context"
	"errors"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/fleet"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Election keeps this controller's session, takes the leadership and writes the
// membership.
type Election struct {
	*cluster.State
	*fleet.Fleet

	probes           []string  // workers' addresses to ask while this controller is unreachable
	probeAnsweredAt  time.Time // when one of them last answered
	unreachableSince time.Time
}

func New(state *cluster.State, fleet *fleet.Fleet) *Election {
	return &Election{State: state, Fleet: fleet}
}

// RunSession keeps this node's lease in the state service, and does nothing
// else: a write of the membership that waits, or a busy processor, must not cost
// the session.
func (el *Election) RunSession(ctx context.Context) error {
	var due time.Time // of the next renewal
	for ctx.Err() == nil {
		el.RecordProgress(cluster.SessionLoop)
		el.Lock()
		state, leaseID := el.Session, el.Self.Incarnation
		el.Unlock()
		if state == membership.NoLease {
			if el.Draining() {
				return nil // ended for good
			}
			el.OpenSession(ctx)
			due = el.Now().Add(tuning.SessionRenewEvery)
			continue
		}
		timing.Sleep(ctx, max(due.Sub(el.Now()), time.Millisecond))
		due = el.Now().Add(tuning.SessionRenewEvery)
		if err := el.Store.RenewLease(ctx, leaseID); errors.Is(err, store.ErrLeaseExpired) {
			el.EndSession(leaseID)
		} else if err != nil {
			el.Log.Debug(logging.EventSessionRenewalFailed, logging.KeyError, err)
			due = el.Now().Add(tuning.RetryPause)
		}
	}
	return nil
}

// OpenSession asks for a lease, once.
func (el *Election) OpenSession(ctx context.Context) {
	id, err := el.Store.GrantLease(ctx, tuning.SessionTTL)
	if err != nil {
		el.Log.Info(logging.EventLeaseNotGranted, logging.KeyError, err)
		timing.Sleep(ctx, tuning.RetryPause)
		return
	}
	el.Lock()
	defer el.Unlock()
	el.Self.Incarnation = id
	el.Session = el.Session.Next(membership.LeaseGranted)
	cluster.Wake(el.MembershipWake)
}

// EndSession notes that a lease has ended, unless another has been got since.
func (el *Election) EndSession(leaseID uint64) {
	el.Lock()
	defer el.Unlock()
	if el.Self.Incarnation != leaseID || el.Session == membership.NoLease {
		return
	}
	el.Session = el.Session.Next(membership.LeaseExpired)
	el.Log.Info(logging.EventSessionExpired)
}

// RunMembership stores the session's key, and takes part in the leadership and the
// membership.
func (el *Election) RunMembership(ctx context.Context) error {
	for ctx.Err() == nil {
		el.RecordProgress(cluster.MemberLoop)
		el.Lock()
		leaseID := el.Self.Incarnation
		ready := el.Session != membership.NoLease && el.Cache.Consistent()
		el.Unlock()
		if ready {
			el.tryMembershipStep(ctx, leaseID)
		}
		select {
		case <-ctx.Done():
		case <-el.MembershipWake:
			timing.Sleep(ctx, tuning.MembershipCheckPause)
		case <-time.After(tuning.MembershipCheckEvery):
		}
	}
	return nil
}

// tryMembershipStep takes a step of the membership. Before the next one after a
// failure, what is stored now is read.
func (el *Election) tryMembershipStep(ctx context.Context, leaseID uint64) {
	err := el.MembershipStep(ctx)
	if err == nil {
		return
	}
	el.Log.Debug(logging.EventMembershipStepFailed, logging.KeyError, err)
	if errors.Is(err, store.ErrLeaseExpired) {
		el.EndSession(leaseID)
		return
	}
	_ = el.Syncer.ReadBarrier(tuning.BarrierWait)
}

// membershipWrite is a guarded write of one of the keys that make up the membership.
type membershipWrite struct {
	compares     []wire.Compare
	operation    wire.Operation
	reachability bool // it is about whether this node reaches its workers
}

// MembershipStep stores the session key, takes the lead or writes the membership.
func (el *Election) MembershipStep(ctx context.Context) error {
	el.Lock()
	write, self := el.nextMembershipWrite(), el.Self
	el.Unlock()
	if write == nil {
		return nil
	}
	changes := []wire.Operation{write.operation}
	revision, err := el.Store.CompareAndSwap(ctx, store.ClassLease, write.compares, changes)
	if err != nil {
		return err
	}
	if write.reachability {
		// Not before: a node that is cut off tries again and again.
		el.Log.Info(logging.EventReachabilityChanged, logging.KeyUnreachable, write.operation.Put != "")
	}
	el.Lock()
	defer el.Unlock()
	if write.operation.Put != membership.Key {
		// The membership comes by watch only: everything stored before it must
		// be in the cache before it counts.
		el.Cache.ApplyOwnWrite(changes, revision)
	}
	if write.operation.Put == membership.SessionKey(el.Self.Label) && self == el.Self {
		el.Session = el.Session.Next(membership.SessionStored)
	}
	cluster.Wake(el.MembershipWake)
	return nil
}

// nextMembershipWrite chooses what this node should write about the membership now,
// nil for nothing; the lock is held.
func (el *Election) nextMembershipWrite() *membershipWrite {
	if el.Session == membership.NoLease {
		return nil
	}
	el.reconcileSession()
	if el.Session == membership.Leased {
		return el.sessionWrite()
	}
	now := el.Now()
	unreachable := el.reachability(now).NextUnreachable()
	action := membership.Decide(membership.View{
		Self:                 el.Self,
		Sessions:             el.Sessions,
		Unreachable:          el.Unreachable,
		Leader:               el.Leader,
		Membership:           el.Membership,
		TokenRangesSupported: el.TokenRangesSupported(),
	})
	switch {
	case unreachable != el.Unreachable[el.Self.Label]:
		return el.reachabilityWrite(unreachable, now)
	case action.BecomeLeader:
		return el.leaderWrite()
	case action.WriteMembership != nil:
		return el.membershipRecordWrite(action.WriteMembership)
	}
	return nil
}

// reconcileSession brings the session's state in line with the key that is
// stored; the lock is held.
func (el *Election) reconcileSession() {
	stored := el.Sessions[el.Self.Label] == el.Self
	if el.Session == membership.Registered && !stored {
		// Guards against a late write of a former process of this node.
		el.Session = membership.Leased
	}
	if el.Session == membership.Leased && stored {
		el.Session = el.Session.Next(membership.SessionStored)
	}
}

// sessionWrite stores this node's session key; the lock is held.
func (el *Election) sessionWrite() *membershipWrite {
	key := membership.SessionKey(el.Self.Label)
	session := membership.Session{Node: el.Self, Format: membership.CurrentFormat, ProgramVersion: tuning.Version}
	return &membershipWrite{
		compares:  []wire.Compare{el.Cache.Compare(key)},
		operation: wire.Operation{Put: key, Value: wire.MustMarshal(session), LeaseID: el.Self.Incarnation},
	}
}

// reachabilityWrite stores whether this node reaches its workers, and chooses
// those to ask when it does not; the lock is held.
func (el *Election) reachabilityWrite(unreachable bool, now time.Time) *membershipWrite {
	key := membership.UnreachableKey(el.Self.Label)
	change := wire.Operation{Delete: key}
	if unreachable {
		change = wire.Operation{Put: key, Value: wire.MustMarshal(el.Self), LeaseID: el.Self.Incarnation}
		el.chooseProbes(now)
	}
	return &membershipWrite{
		compares:     []wire.Compare{el.Cache.Compare(membership.SessionKey(el.Self.Label))},
		operation:    change,
		reachability: true,
	}
}

// leaderWrite takes the lead; the lock is held.
func (el *Election) leaderWrite() *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.Cache.Compare(membership.LeaderKey), el.Cache.Compare(membership.SessionKey(el.Self.Label))},
		operation: wire.Operation{Put: membership.LeaderKey, Value: wire.MustMarshal(el.Self), LeaseID: el.Self.Incarnation},
	}
}

// membershipRecordWrite stores the next membership; the lock is held.
func (el *Election) membershipRecordWrite(next *membership.Record) *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.Cache.Compare(membership.LeaderKey), el.Cache.Compare(membership.Key)},
		operation: wire.Operation{Put: membership.Key, Value: wire.MustMarshal(next)},
	}
}

// reachability sums up whether this node hears its workers; the lock is held.
func (el *Election) reachability(now time.Time) membership.Reachability {
	e := membership.Reachability{Unreachable: el.Unreachable[el.Self.Label]}
	if el.Membership == nil || !el.IsMember() {
		return e
	}
	if e.Unreachable {
		if now.Sub(el.unreachableSince) > tuning.UnreachableMin {
			e.Answered = len(el.probes) == 0 || el.probeAnsweredAt.After(el.unreachableSince)
		}
		return e
	}
	e.Heard, e.Silent = el.countHeard(now)
	e.SiblingsReachable = el.Peers.SiblingHearsWorkers()
	return e
}

// countHeard counts this node's machines that are heard, and those with tasks that
// are silent though they had time to report under this membership; the lock is held.
func (el *Election) countHeard(now time.Time) (heard, silent int) {
	silentAfter := el.SilenceTimeout()
	for host, w := range el.Workers.ByMachine {
		if el.ShardOwner(host) != el.Self.Label || w.LastHeard.IsZero() {
			continue
		}
		if now.Sub(w.LastHeard) < silentAfter {
			heard++
		} else if len(el.Table.ClaimsByMachine[host]) > 0 && now.Sub(el.MembershipChangedAt) > silentAfter {
			silent++
		}
	}
	return heard, silent
}

// chooseProbes remembers workers to ask until one answers; the lock is held.
func (el *Election) chooseProbes(now time.Time) {
	el.probes, el.unreachableSince, el.probeAnsweredAt = nil, now, time.Time{}
	for _, w := range el.Workers.ByMachine {
		if w.Address != "" && len(el.probes) < tuning.ReachabilityProbes {
			el.probes = append(el.probes, w.Address)
		}
	}
}

// RunProbes asks workers, while this node is unreachable, whether they reach it again.
func (el *Election) RunProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		timing.Sleep(ctx, el.Settings.HeartbeatInterval())
		el.Lock()
		var ask []string
		if el.Unreachable[el.Self.Label] {
			ask = el.probes
		}
		el.Unlock()
		for _, address := range ask {
			if el.Workers.Client.Probe(address) != nil {
				continue
			}
			el.Lock()
			el.probeAnsweredAt = el.Now()
			el.Unlock()
			cluster.Wake(el.MembershipWake)
			break
		}
	}
	return nil
}
