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
	workers *workerManager
	peers   *peerExchange

	probes           []string  // workers' addresses to ask while this controller is unreachable
	probeAnsweredAt  time.Time // when one of them last answered
	unreachableSince time.Time
}

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
	clear(n.peers.publishedMachines)
	// Who takes a machine over knows its images from what its former owner
	// told. Guards against fetches beside machines that hold the image.
	clear(n.workers.inheritedImages)
	for _, s := range n.peers.siblings {
		for host, h := range s.machines {
			n.workers.inheritedImages[host] = h.Images
		}
	}
	// A machine that was ours under the last membership and is under this one
	// has had no other owner: what it has proven stands. Guards against a
	// fleet that takes nothing until each machine has reported, with every node
	// that comes or goes, and against tasks behind a cut that nobody may release.
	next := last != nil && r.Follows(last) && last.Contains(n.self) && r.Contains(n.self)
	for host, w := range n.workers.byMachine {
		n.workers.inheritedImages[host] = w.Images
		if n.shardOwner(host) != n.self.Label {
			// What another owner does meanwhile makes this view worthless.
			delete(n.workers.byMachine, host)
		} else if !next || last.Owner(host) != n.self.Label {
			w.RaiseToken()
		}
	}
	n.machineIndex.resetMachineIndex()
	n.peers.updateBudgetShare()
	n.log.Info("membership", "token", r.FencingToken, "leader", r.Leader.Label, "nodes", len(r.Nodes))
	return nil
}

// shardOwner is the member that a machine is hashed to; mu is held.
func (cs *clusterState) shardOwner(host string) string {
	o, ok := cs.shardOwners[host]
	if !ok {
		o = cs.membership.Owner(host)
		if cs.inventory.KeyOf(host) != "" {
			cs.shardOwners[host] = o // bounded by what is stored
		}
	}
	return o
}

// isMember reports whether this node is a member of the newest membership it
// knows; mu is held.
func (cs *clusterState) isMember() bool {
	return cs.membership != nil && cs.session == membership.Registered && cs.membership.Contains(cs.self) && cs.cache.Consistent()
}

// isLeader reports whether this node is the leader; mu is held.
func (cs *clusterState) isLeader() bool {
	return cs.isMember() && cs.membership.Leader == cs.self && cs.leader != nil && *cs.leader == cs.self
}

// dependenciesSupported reports whether every member reads jobs that are stored waiting; mu
// is held. A node that does not would run such a job at once if it took it in,
// and would stop its tasks on its machines.
func (cs *clusterState) dependenciesSupported() bool {
	return cs.membership != nil && cs.membership.AllSupport(membership.FormatDependencies, cs.storedSessions)
}

// tokenRangesSupported reports whether every node with a session knows of memberships that
// span several tokens; mu is held.
func (cs *clusterState) tokenRangesSupported() bool {
	for label, s := range cs.sessions {
		if v := cs.storedSessions[label]; v.Node != s || v.Format < membership.FormatTokenRanges {
			return false
		}
	}
	return true
}

// isFencedOut reports whether a sibling that reads the state service knows a
// newer membership, so that this node should hand its workers over; mu is held.
func (px *peerExchange) isFencedOut() bool {
	if px.membership == nil {
		return false
	}
	for _, s := range px.siblings {
		if px.isFresh(s) && s.status.HasStore && s.status.FencingToken > px.membership.FencingToken {
			return true
		}
	}
	return false
}

// runSession keeps this node's lease in the state service, and does nothing
// else: a write of the membership that waits, or a busy processor, must not cost
// the session.
func (el *election) runSession(ctx context.Context) error {
	var due time.Time // of the next renewal
	for ctx.Err() == nil {
		el.recordProgress(sessionLoop)
		el.mu.Lock()
		state, leaseID := el.session, el.self.Incarnation
		el.mu.Unlock()
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
	el.mu.Lock()
	defer el.mu.Unlock()
	el.self.Incarnation = id
	el.session = el.session.Next(membership.LeaseGranted)
	wake(el.membershipWake)
}

// endSession notes that a lease has ended, unless another has been got since.
func (el *election) endSession(leaseID uint64) {
	el.mu.Lock()
	defer el.mu.Unlock()
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
		el.mu.Lock()
		leaseID := el.self.Incarnation
		ready := el.session != membership.NoLease && el.cache.Consistent()
		el.mu.Unlock()
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
	el.mu.Lock()
	write, self := el.nextMembershipWrite(), el.self
	el.mu.Unlock()
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
	el.mu.Lock()
	defer el.mu.Unlock()
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
// nil for nothing; mu is held.
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
// stored; mu is held.
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

// sessionWrite stores this node's session key; mu is held.
func (el *election) sessionWrite() *membershipWrite {
	key := membership.SessionKey(el.self.Label)
	session := membership.Session{Node: el.self, Format: membership.CurrentFormat, ProgramVersion: tuning.Version}
	return &membershipWrite{
		compares:  []wire.Compare{el.cache.Compare(key)},
		operation: wire.Operation{Put: key, Value: wire.MustMarshal(session), LeaseID: el.self.Incarnation},
	}
}

// reachabilityWrite stores whether this node reaches its workers, and chooses
// those to ask when it does not; mu is held.
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

// leaderWrite takes the lead; mu is held.
func (el *election) leaderWrite() *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.cache.Compare(membership.LeaderKey), el.cache.Compare(membership.SessionKey(el.self.Label))},
		operation: wire.Operation{Put: membership.LeaderKey, Value: wire.MustMarshal(el.self), LeaseID: el.self.Incarnation},
	}
}

// membershipRecordWrite stores the next membership; mu is held.
func (el *election) membershipRecordWrite(next *membership.Record) *membershipWrite {
	return &membershipWrite{
		compares:  []wire.Compare{el.cache.Compare(membership.LeaderKey), el.cache.Compare(membership.Key)},
		operation: wire.Operation{Put: membership.Key, Value: wire.MustMarshal(next)},
	}
}

// reachability sums up whether this node hears its workers; mu is held.
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
// are silent though they had time to report under this membership; mu is held.
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

// siblingHearsWorkers reports whether any sibling hears a machine of its own; mu
// is held.
func (px *peerExchange) siblingHearsWorkers() bool {
	for _, s := range px.siblings {
		if !px.isFresh(s) {
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
		el.mu.Lock()
		var ask []string
		if el.unreachable[el.self.Label] {
			ask = el.probes
		}
		el.mu.Unlock()
		for _, address := range ask {
			if el.workers.client.probe(address) != nil {
				continue
			}
			el.mu.Lock()
			el.probeAnsweredAt = el.now()
			el.mu.Unlock()
			wake(el.membershipWake)
			break
		}
	}
	return nil
}
