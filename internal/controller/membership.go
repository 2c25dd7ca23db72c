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

func (n *Controller) applyMembership(v wire.Raw) error {
	if v == nil {
		n.membership = nil
		return nil
	}
	var r membership.Record
	if err := wire.Unmarshal(v, &r); err != nil {
		return err
	}
	last := n.membership
	n.membership = &r
	n.memberLabels = r.Labels()
	n.membershipChangedAt = n.now()
	clear(n.shardOwners)
	clear(n.publishedMachines)
	// Who takes a machine over knows its images from what its former owner
	// told. Guards against fetches beside machines that hold the image.
	clear(n.inheritedImages)
	for _, s := range n.siblings {
		for host, h := range s.machines {
			n.inheritedImages[host] = h.Images
		}
	}
	// A machine that was ours under the last membership and is under this one
	// has had no other owner: what it has proven stands. Guards against a
	// fleet that takes nothing until each machine has reported, with every node
	// that comes or goes, and against tasks behind a cut that nobody may release.
	next := last != nil && r.Follows(last) && last.Contains(n.self) && r.Contains(n.self)
	for host, w := range n.workers {
		n.inheritedImages[host] = w.Images
		if n.shardOwner(host) != n.self.Label {
			// What another owner does meanwhile makes this view worthless.
			delete(n.workers, host)
		} else if !next || last.Owner(host) != n.self.Label {
			w.RaiseToken()
		}
	}
	n.resetMachineIndex()
	n.updateBudgetShare()
	n.log.Info("membership", "token", r.FencingToken, "leader", r.Leader.Label, "nodes", len(r.Nodes))
	return nil
}

// shardOwner is the member that a machine is hashed to; mu is held.
func (n *Controller) shardOwner(host string) string {
	o, ok := n.shardOwners[host]
	if !ok {
		o = n.membership.Owner(host)
		if n.inventory.KeyOf(host) != "" {
			n.shardOwners[host] = o // bounded by what is stored
		}
	}
	return o
}

// isMember reports whether this node is a member of the newest membership it
// knows; mu is held.
func (n *Controller) isMember() bool {
	return n.membership != nil && n.session == membership.Registered && n.membership.Contains(n.self) && n.cache.Consistent()
}

// isLeader reports whether this node is the leader; mu is held.
func (n *Controller) isLeader() bool {
	return n.isMember() && n.membership.Leader == n.self && n.leader != nil && *n.leader == n.self
}

// dependenciesSupported reports whether every member reads jobs that are stored waiting; mu
// is held. A node that does not would run such a job at once if it took it in,
// and would stop its tasks on its machines.
func (n *Controller) dependenciesSupported() bool {
	return n.membership != nil && n.membership.AllSupport(membership.FormatDependencies, n.storedSessions)
}

// tokenRangesSupported reports whether every node with a session knows of memberships that
// span several tokens; mu is held.
func (n *Controller) tokenRangesSupported() bool {
	for label, s := range n.sessions {
		if v := n.storedSessions[label]; v.Node != s || v.Format < membership.FormatTokenRanges {
			return false
		}
	}
	return true
}

// isFencedOut reports whether a sibling that reads the state service knows a
// newer membership, so that this node should hand its workers over; mu is held.
func (n *Controller) isFencedOut() bool {
	if n.membership == nil {
		return false
	}
	for _, s := range n.siblings {
		if n.isFresh(s) && s.status.HasStore && s.status.FencingToken > n.membership.FencingToken {
			return true
		}
	}
	return false
}

// runSession keeps this node's lease in the state service, and does nothing
// else: a write of the membership that waits, or a busy processor, must not cost
// the session.
func (n *Controller) runSession(ctx context.Context) error {
	var due time.Time // of the next renewal
	for ctx.Err() == nil {
		n.recordProgress(sessionLoop)
		n.mu.Lock()
		state, leaseID := n.session, n.self.Incarnation
		n.mu.Unlock()
		if state == membership.NoLease {
			if n.draining() {
				return nil // ended for good
			}
			n.openSession(ctx)
			due = n.now().Add(tuning.SessionRenewEvery)
			continue
		}
		sleep(ctx, max(due.Sub(n.now()), time.Millisecond))
		due = n.now().Add(tuning.SessionRenewEvery)
		if err := n.store.RenewLease(ctx, leaseID); errors.Is(err, store.ErrLeaseExpired) {
			n.endSession(leaseID)
		} else if err != nil {
			n.log.Debug("session not renewed", "err", err)
			due = n.now().Add(tuning.RetryPause)
		}
	}
	return nil
}

// openSession asks for a lease, once.
func (n *Controller) openSession(ctx context.Context) {
	id, err := n.store.GrantLease(ctx, tuning.SessionTTL)
	if err != nil {
		n.log.Info("no lease yet", "err", err)
		sleep(ctx, tuning.RetryPause)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Incarnation = id
	n.session = n.session.Next(membership.LeaseGranted)
	wake(n.membershipWake)
}

// endSession notes that a lease has ended, unless another has been got since.
func (n *Controller) endSession(leaseID uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.self.Incarnation != leaseID || n.session == membership.NoLease {
		return
	}
	n.session = n.session.Next(membership.LeaseExpired)
	n.log.Info("session ended")
}

// runMembership stores the session's key, and takes part in the leadership and the
// membership.
func (n *Controller) runMembership(ctx context.Context) error {
	for ctx.Err() == nil {
		n.recordProgress(memberLoop)
		n.mu.Lock()
		leaseID := n.self.Incarnation
		ready := n.session != membership.NoLease && n.cache.Consistent()
		n.mu.Unlock()
		if ready {
			n.tryMembershipStep(ctx, leaseID)
		}
		select {
		case <-ctx.Done():
		case <-n.membershipWake:
			sleep(ctx, tuning.MembershipCheckPause)
		case <-time.After(tuning.MembershipCheckEvery):
		}
	}
	return nil
}

// tryMembershipStep takes a step of the membership. Before the next one after a
// failure, what is stored now is read.
func (n *Controller) tryMembershipStep(ctx context.Context, leaseID uint64) {
	err := n.membershipStep(ctx)
	if err == nil {
		return
	}
	n.log.Debug("membership step failed", "err", err)
	if errors.Is(err, store.ErrLeaseExpired) {
		n.endSession(leaseID)
		return
	}
	_ = n.syncer.ReadBarrier(tuning.BarrierWait)
}

// membershipWrite is a guarded write of one of the keys that make up the membership.
type membershipWrite struct {
	compares     []wire.Compare
	operation    wire.Operation
	reachability bool // it is about whether this node reaches its workers
}

// membershipStep stores the session key, takes the lead or writes the membership.
func (n *Controller) membershipStep(ctx context.Context) error {
	n.mu.Lock()
	write, self := n.nextMembershipWrite(), n.self
	n.mu.Unlock()
	if write == nil {
		return nil
	}
	changes := []wire.Operation{write.operation}
	revision, err := n.store.CompareAndSwap(ctx, store.ClassLease, write.compares, changes)
	if err != nil {
		return err
	}
	if write.reachability {
		// Not before: a node that is cut off tries again and again.
		n.log.Info("reachability of workers changes", "unreachable", write.operation.Put != "")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if write.operation.Put != membership.Key {
		// The membership comes by watch only: everything stored before it must
		// be in the cache before it counts.
		n.cache.ApplyOwnWrite(changes, revision)
	}
	if write.operation.Put == membership.SessionKey(n.self.Label) && self == n.self {
		n.session = n.session.Next(membership.SessionStored)
	}
	wake(n.membershipWake)
	return nil
}

// nextMembershipWrite chooses what this node should write about the membership now,
// nil for nothing; mu is held.
func (n *Controller) nextMembershipWrite() *membershipWrite {
	if n.session == membership.NoLease {
		return nil
	}
	n.reconcileSession()
	if n.session == membership.Leased {
		return n.sessionWrite()
	}
	now := n.now()
	unreachable := n.reachability(now).NextUnreachable()
	action := membership.Decide(membership.View{
		Self:                 n.self,
		Sessions:             n.sessions,
		Unreachable:          n.unreachable,
		Leader:               n.leader,
		Membership:           n.membership,
		TokenRangesSupported: n.tokenRangesSupported(),
	})
	switch {
	case unreachable != n.unreachable[n.self.Label]:
		return n.reachabilityWrite(unreachable, now)
	case action.BecomeLeader:
		return n.leaderWrite()
	case action.WriteMembership != nil:
		return n.membershipRecordWrite(action.WriteMembership)
	}
	return nil
}

// reconcileSession brings the session's state in line with the key that is
// stored; mu is held.
func (n *Controller) reconcileSession() {
	stored := n.sessions[n.self.Label] == n.self
	if n.session == membership.Registered && !stored {
		// Guards against a late write of a former process of this node.
		n.session = membership.Leased
	}
	if n.session == membership.Leased && stored {
		n.session = n.session.Next(membership.SessionStored)
	}
}

// sessionWrite stores this node's session key; mu is held.
func (n *Controller) sessionWrite() *membershipWrite {
	key := membership.SessionKey(n.self.Label)
	session := membership.Session{Node: n.self, Format: membership.CurrentFormat, ProgramVersion: tuning.Version}
	return &membershipWrite{
		compares:  []wire.Compare{n.cache.Compare(key)},
		operation: wire.Operation{Put: key, Value: wire.MustMarshal(session), LeaseID: n.self.Incarnation},
	}
}

// reachabilityWrite stores whether this node reaches its workers, and chooses
// those to ask when it does not; mu is held.
func (n *Controller) reachabilityWrite(unreachable bool, now time.Time) *membershipWrite {
	key := membership.UnreachableKey(n.self.Label)
	change := wire.Operation{Delete: key}
	if unreachable {
		change = wire.Operation{Put: key, Value: wire.MustMarshal(n.self), LeaseID: n.self.Incarnation}
		n.chooseProbes(now)
	}
	return &membershipWrite{
		compares:     []wire.Compare{n.cache.Compare(membership.SessionKey(n.self.Label))},
		operation:    change,
		reachability: true,
	}
}

// leaderWrite takes the lead; mu is held.
func (n *Controller) leaderWrite() *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{n.cache.Compare(membership.LeaderKey), n.cache.Compare(membership.SessionKey(n.self.Label))},
		operation: wire.Operation{Put: membership.LeaderKey, Value: wire.MustMarshal(n.self), LeaseID: n.self.Incarnation},
	}
}

// membershipRecordWrite stores the next membership; mu is held.
func (n *Controller) membershipRecordWrite(next *membership.Record) *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{n.cache.Compare(membership.LeaderKey), n.cache.Compare(membership.Key)},
		operation: wire.Operation{Put: membership.Key, Value: wire.MustMarshal(next)},
	}
}

// reachability sums up whether this node hears its workers; mu is held.
func (n *Controller) reachability(now time.Time) membership.Reachability {
	e := membership.Reachability{Unreachable: n.unreachable[n.self.Label]}
	if n.membership == nil || !n.isMember() {
		return e
	}
	if e.Unreachable {
		if now.Sub(n.unreachableSince) > tuning.UnreachableMin {
			e.Answered = len(n.probes) == 0 || n.probeAnsweredAt.After(n.unreachableSince)
		}
		return e
	}
	e.Heard, e.Silent = n.countHeard(now)
	e.SiblingsReachable = n.siblingHearsWorkers()
	return e
}

// countHeard counts this node's machines that are heard, and those with tasks that
// are silent though they had time to report under this membership; mu is held.
func (n *Controller) countHeard(now time.Time) (heard, silent int) {
	silentAfter := n.silenceTimeout()
	for host, w := range n.workers {
		if n.shardOwner(host) != n.self.Label || w.LastHeard.IsZero() {
			continue
		}
		if now.Sub(w.LastHeard) < silentAfter {
			heard++
		} else if len(n.table.ClaimsByMachine[host]) > 0 && now.Sub(n.membershipChangedAt) > silentAfter {
			silent++
		}
	}
	return heard, silent
}

// siblingHearsWorkers reports whether any sibling hears a machine of its own; mu
// is held.
func (n *Controller) siblingHearsWorkers() bool {
	for _, s := range n.siblings {
		if !n.isFresh(s) {
			continue
		}
		for _, h := range s.machines {
			if !h.Silent {
				return true
			}
		}
	}
	return false
}

// chooseProbes remembers workers to ask until one answers; mu is held.
func (n *Controller) chooseProbes(now time.Time) {
	n.probes, n.unreachableSince, n.probeAnsweredAt = nil, now, time.Time{}
	for _, w := range n.workers {
		if w.Address != "" && len(n.probes) < tuning.ReachabilityProbes {
			n.probes = append(n.probes, w.Address)
		}
	}
}

// runProbes asks workers, while this node is unreachable, whether they reach it again.
func (n *Controller) runProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, n.settings.HeartbeatInterval())
		n.mu.Lock()
		var ask []string
		if n.unreachable[n.self.Label] {
			ask = n.probes
		}
		n.mu.Unlock()
		for _, address := range ask {
			if n.workerClient.probe(address) != nil {
				continue
			}
			n.mu.Lock()
			n.probeAnsweredAt = n.now()
			n.mu.Unlock()
			wake(n.membershipWake)
			break
		}
	}
	return nil
}
