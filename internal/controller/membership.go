// This file holds the session, the leadership and the membership of a node, and
// what follows from them: what it owns and whether it reaches its workers.

package controller

import (
	"context"
	"errors"
	"time"

	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// election keeps this controller's session, takes the leadership and writes the
// membership.
type election struct {
	*clusterState
	*fleet

	probes           []string  // workers' addresses to ask while this controller is unreachable
	probeAnsweredAt  time.Time // when one of them last answered
	unreachableSince time.Time
}

func newElection(state *clusterState, fleet *fleet) *election {
	return &election{clusterState: state, fleet: fleet}
}

// runSession keeps this node's lease in the state service, and does nothing
// else: a write of the membership that waits, or a busy processor, must not cost
// the session.
func (el *election) runSession(ctx context.Context) error {
	var due time.Time // of the next renewal
	for ctx.Err() == nil {
		el.recordProgress(sessionLoop)
		el.Lock()
		state, leaseID := el.session, el.self.Incarnation
		el.Unlock()
		if state == membership.NoLease {
			if el.draining() {
				return nil // ended for good
			}
			el.openSession(ctx)
			due = el.now().Add(tuning.SessionRenewEvery)
			continue
		}
		sleep(ctx, max(due.Sub(el.now()), time.Millisecond))
		due = el.now().Add(tuning.SessionRenewEvery)
		if err := el.store.RenewLease(ctx, leaseID); errors.Is(err, store.ErrLeaseExpired) {
			el.endSession(leaseID)
		} else if err != nil {
			el.log.Debug("session not renewed", "err", err)
			due = el.now().Add(tuning.RetryPause)
		}
	}
	return nil
}

// openSession asks for a lease, once.
func (el *election) openSession(ctx context.Context) {
	id, err := el.store.GrantLease(ctx, tuning.SessionTTL)
	if err != nil {
		el.log.Info("no lease yet", "err", err)
		sleep(ctx, tuning.RetryPause)
		return
	}
	el.Lock()
	defer el.Unlock()
	el.self.Incarnation = id
	el.session = el.session.Next(membership.LeaseGranted)
	wake(el.membershipWake)
}

// endSession notes that a lease has ended, unless another has been got since.
func (el *election) endSession(leaseID uint64) {
	el.Lock()
	defer el.Unlock()
	if el.self.Incarnation != leaseID || el.session == membership.NoLease {
		return
	}
	el.session = el.session.Next(membership.LeaseExpired)
	el.log.Info("session ended")
}

// runMembership stores the session's key, and takes part in the leadership and the
// membership.
func (el *election) runMembership(ctx context.Context) error {
	for ctx.Err() == nil {
		el.recordProgress(memberLoop)
		el.Lock()
		leaseID := el.self.Incarnation
		ready := el.session != membership.NoLease && el.cache.Consistent()
		el.Unlock()
		if ready {
			el.tryMembershipStep(ctx, leaseID)
		}
		select {
		case <-ctx.Done():
		case <-el.membershipWake:
			sleep(ctx, tuning.MembershipCheckPause)
		case <-time.After(tuning.MembershipCheckEvery):
		}
	}
	return nil
}

// tryMembershipStep takes a step of the membership. Before the next one after a
// failure, what is stored now is read.
func (el *election) tryMembershipStep(ctx context.Context, leaseID uint64) {
	err := el.membershipStep(ctx)
	if err == nil {
		return
	}
	el.log.Debug("membership step failed", "err", err)
	if errors.Is(err, store.ErrLeaseExpired) {
		el.endSession(leaseID)
		return
	}
	_ = el.syncer.ReadBarrier(tuning.BarrierWait)
}

// membershipWrite is a guarded write of one of the keys that make up the membership.
type membershipWrite struct {
	compares     []wire.Compare
	operation    wire.Operation
	reachability bool // it is about whether this node reaches its workers
}

// membershipStep stores the session key, takes the lead or writes the membership.
func (el *election) membershipStep(ctx context.Context) error {
	el.Lock()
	write, self := el.nextMembershipWrite(), el.self
	el.Unlock()
	if write == nil {
		return nil
	}
	changes := []wire.Operation{write.operation}
	revision, err := el.store.CompareAndSwap(ctx, store.ClassLease, write.compares, changes)
	if err != nil {
		return err
	}
	if write.reachability {
		// Not before: a node that is cut off tries again and again.
		el.log.Info("reachability of workers changes", "unreachable", write.operation.Put != "")
	}
	el.Lock()
	defer el.Unlock()
	if write.operation.Put != membership.Key {
		// The membership comes by watch only: everything stored before it must
		// be in the cache before it counts.
		el.cache.ApplyOwnWrite(changes, revision)
	}
	if write.operation.Put == membership.SessionKey(el.self.Label) && self == el.self {
		el.session = el.session.Next(membership.SessionStored)
	}
	wake(el.membershipWake)
	return nil
}

// nextMembershipWrite chooses what this node should write about the membership now,
// nil for nothing; the lock is held.
func (el *election) nextMembershipWrite() *membershipWrite {
	if el.session == membership.NoLease {
		return nil
	}
	el.reconcileSession()
	if el.session == membership.Leased {
		return el.sessionWrite()
	}
	now := el.now()
	unreachable := el.reachability(now).NextUnreachable()
	action := membership.Decide(membership.View{
		Self:                 el.self,
		Sessions:             el.sessions,
		Unreachable:          el.unreachable,
		Leader:               el.leader,
		Membership:           el.membership,
		TokenRangesSupported: el.tokenRangesSupported(),
	})
	switch {
	case unreachable != el.unreachable[el.self.Label]:
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
func (el *election) reconcileSession() {
	stored := el.sessions[el.self.Label] == el.self
	if el.session == membership.Registered && !stored {
		// Guards against a late write of a former process of this node.
		el.session = membership.Leased
	}
	if el.session == membership.Leased && stored {
		el.session = el.session.Next(membership.SessionStored)
	}
}

// sessionWrite stores this node's session key; the lock is held.
func (el *election) sessionWrite() *membershipWrite {
	key := membership.SessionKey(el.self.Label)
	session := membership.Session{Node: el.self, Format: membership.CurrentFormat, ProgramVersion: tuning.Version}
	return &membershipWrite{
		compares:  []wire.Compare{el.cache.Compare(key)},
		operation: wire.Operation{Put: key, Value: wire.MustMarshal(session), LeaseID: el.self.Incarnation},
	}
}

// reachabilityWrite stores whether this node reaches its workers, and chooses
// those to ask when it does not; the lock is held.
func (el *election) reachabilityWrite(unreachable bool, now time.Time) *membershipWrite {
	key := membership.UnreachableKey(el.self.Label)
	change := wire.Operation{Delete: key}
	if unreachable {
		change = wire.Operation{Put: key, Value: wire.MustMarshal(el.self), LeaseID: el.self.Incarnation}
		el.chooseProbes(now)
	}
	return &membershipWrite{
		compares:     []wire.Compare{el.cache.Compare(membership.SessionKey(el.self.Label))},
		operation:    change,
		reachability: true,
	}
}

// leaderWrite takes the lead; the lock is held.
func (el *election) leaderWrite() *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.cache.Compare(membership.LeaderKey), el.cache.Compare(membership.SessionKey(el.self.Label))},
		operation: wire.Operation{Put: membership.LeaderKey, Value: wire.MustMarshal(el.self), LeaseID: el.self.Incarnation},
	}
}

// membershipRecordWrite stores the next membership; the lock is held.
func (el *election) membershipRecordWrite(next *membership.Record) *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.cache.Compare(membership.LeaderKey), el.cache.Compare(membership.Key)},
		operation: wire.Operation{Put: membership.Key, Value: wire.MustMarshal(next)},
	}
}

// reachability sums up whether this node hears its workers; the lock is held.
func (el *election) reachability(now time.Time) membership.Reachability {
	e := membership.Reachability{Unreachable: el.unreachable[el.self.Label]}
	if el.membership == nil || !el.isMember() {
		return e
	}
	if e.Unreachable {
		if now.Sub(el.unreachableSince) > tuning.UnreachableMin {
			e.Answered = len(el.probes) == 0 || el.probeAnsweredAt.After(el.unreachableSince)
		}
		return e
	}
	e.Heard, e.Silent = el.countHeard(now)
	e.SiblingsReachable = el.peers.siblingHearsWorkers()
	return e
}

// countHeard counts this node's machines that are heard, and those with tasks that
// are silent though they had time to report under this membership; the lock is held.
func (el *election) countHeard(now time.Time) (heard, silent int) {
	silentAfter := el.silenceTimeout()
	for host, w := range el.workers.byMachine {
		if el.shardOwner(host) != el.self.Label || w.LastHeard.IsZero() {
			continue
		}
		if now.Sub(w.LastHeard) < silentAfter {
			heard++
		} else if len(el.table.ClaimsByMachine[host]) > 0 && now.Sub(el.membershipChangedAt) > silentAfter {
			silent++
		}
	}
	return heard, silent
}

// chooseProbes remembers workers to ask until one answers; the lock is held.
func (el *election) chooseProbes(now time.Time) {
	el.probes, el.unreachableSince, el.probeAnsweredAt = nil, now, time.Time{}
	for _, w := range el.workers.byMachine {
		if w.Address != "" && len(el.probes) < tuning.ReachabilityProbes {
			el.probes = append(el.probes, w.Address)
		}
	}
}

// runProbes asks workers, while this node is unreachable, whether they reach it again.
func (el *election) runProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, el.settings.HeartbeatInterval())
		el.Lock()
		var ask []string
		if el.unreachable[el.self.Label] {
			ask = el.probes
		}
		el.Unlock()
		for _, address := range ask {
			if el.workers.client.Probe(address) != nil {
				continue
			}
			el.Lock()
			el.probeAnsweredAt = el.now()
			el.Unlock()
			wake(el.membershipWake)
			break
		}
	}
	return nil
}
