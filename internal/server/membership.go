// This file holds the session, the leadership and the membership of a node, and
// what follows from them: what it owns and whether it reaches its workers.

package server

import (
	"context"
	"errors"
	"time"

	"wheatspur/internal/member"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

func (n *Node) applyMembership(v wire.Raw) error {
	if v == nil {
		n.member = nil
		return nil
	}
	var r member.Record
	if err := wire.Unmarshal(v, &r); err != nil {
		return err
	}
	last := n.member
	n.member = &r
	n.memberLabels = r.Labels()
	n.raisedAt = n.now()
	clear(n.owners)
	clear(n.published)
	// Who takes a machine over knows its images from what its former owner
	// told. Guards against fetches beside machines that hold the image.
	clear(n.held)
	for _, s := range n.siblings {
		for host, h := range s.hosts {
			n.held[host] = h.Images
		}
	}
	// A machine that was ours under the last membership and is under this one
	// has had no other owner: what it has proven stands. Guards against a
	// fleet that takes nothing until each machine has reported, with every node
	// that comes or goes, and against tasks behind a cut that nobody may release.
	next := last != nil && r.Follows(last) && last.Contains(n.self) && r.Contains(n.self)
	for host, w := range n.workers {
		n.held[host] = w.Images
		if n.ownerOf(host) != n.self.Label {
			// What another owner does meanwhile makes this view worthless.
			delete(n.workers, host)
		} else if !next || last.Owner(host) != n.self.Label {
			w.RaiseToken()
		}
	}
	n.resetView()
	n.shareBudget()
	n.log.Info("membership", "token", r.FencingToken, "leader", r.Leader.Label, "nodes", len(r.Nodes))
	return nil
}

// ownerOf is the member that a machine is hashed to; mu is held.
func (n *Node) ownerOf(host string) string {
	o, ok := n.owners[host]
	if !ok {
		o = n.member.Owner(host)
		if n.reg.KeyOf(host) != "" {
			n.owners[host] = o // bounded by what is stored
		}
	}
	return o
}

// entitled reports whether this node is a member of the newest membership it
// knows; mu is held.
func (n *Node) entitled() bool {
	return n.member != nil && n.session == member.Registered && n.member.Contains(n.self) && n.cache.Consistent()
}

// leads reports whether this node is the leader; mu is held.
func (n *Node) leads() bool {
	return n.entitled() && n.member.Leader == n.self && n.lead != nil && *n.lead == n.self
}

// pipelines reports whether every member reads jobs that are stored waiting; mu
// is held. A node that does not would run such a job at once if it took it in,
// and would stop its tasks on its machines.
func (n *Node) pipelines() bool {
	return n.member != nil && n.member.AllSupport(member.FormatDependencies, n.versions)
}

// spans reports whether every node with a session knows of memberships that
// span several tokens; mu is held.
func (n *Node) spans() bool {
	for label, s := range n.sessions {
		if v := n.versions[label]; v.Node != s || v.Format < member.FormatTokenRanges {
			return false
		}
	}
	return true
}

// superseded reports whether a sibling that reads the state service knows a
// newer membership, so that this node should hand its workers over; mu is held.
func (n *Node) superseded() bool {
	if n.member == nil {
		return false
	}
	for _, s := range n.siblings {
		if n.freshSibling(s) && s.status.HasStore && s.status.FencingToken > n.member.FencingToken {
			return true
		}
	}
	return false
}

// runSession keeps this node's lease in the state service, and does nothing
// else: a write of the membership that waits, or a busy processor, must not cost
// the session.
func (n *Node) runSession(ctx context.Context) error {
	var due time.Time // of the next renewal
	for ctx.Err() == nil {
		n.beat(sessionLoop)
		n.mu.Lock()
		state, leaseID := n.session, n.self.Incarnation
		n.mu.Unlock()
		if state == member.NoLease {
			if n.draining() {
				return nil // ended for good
			}
			n.openSession(ctx)
			due = n.now().Add(tuning.SessionRenewEvery)
			continue
		}
		sleep(ctx, max(due.Sub(n.now()), time.Millisecond))
		due = n.now().Add(tuning.SessionRenewEvery)
		if err := n.svc.RenewLease(ctx, leaseID); errors.Is(err, store.ErrLeaseExpired) {
			n.endSession(leaseID)
		} else if err != nil {
			n.log.Debug("session not renewed", "err", err)
			due = n.now().Add(tuning.RetryPause)
		}
	}
	return nil
}

// openSession asks for a lease, once.
func (n *Node) openSession(ctx context.Context) {
	id, err := n.svc.GrantLease(ctx, tuning.SessionTTL)
	if err != nil {
		n.log.Info("no lease yet", "err", err)
		sleep(ctx, tuning.RetryPause)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.self.Incarnation = id
	n.session = n.session.Next(member.LeaseGranted)
	wake(n.memberWake)
}

// endSession notes that a lease has ended, unless another has been got since.
func (n *Node) endSession(leaseID uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.self.Incarnation != leaseID || n.session == member.NoLease {
		return
	}
	n.session = n.session.Next(member.LeaseExpired)
	n.log.Info("session ended")
}

// runMember stores the session's key, and takes part in the leadership and the
// membership.
func (n *Node) runMember(ctx context.Context) error {
	for ctx.Err() == nil {
		n.beat(memberLoop)
		n.mu.Lock()
		leaseID := n.self.Incarnation
		ready := n.session != member.NoLease && n.cache.Consistent()
		n.mu.Unlock()
		if ready {
			n.tryMemberStep(ctx, leaseID)
		}
		select {
		case <-ctx.Done():
		case <-n.memberWake:
			sleep(ctx, tuning.MembershipCheckPause)
		case <-time.After(tuning.MembershipCheckEvery):
		}
	}
	return nil
}

// tryMemberStep takes a step of the membership. Before the next one after a
// failure, what is stored now is read.
func (n *Node) tryMemberStep(ctx context.Context, leaseID uint64) {
	err := n.memberStep(ctx)
	if err == nil {
		return
	}
	n.log.Debug("membership step failed", "err", err)
	if errors.Is(err, store.ErrLeaseExpired) {
		n.endSession(leaseID)
		return
	}
	_ = n.sync.ReadBarrier(tuning.BarrierWait)
}

// memberWrite is a guarded write of one of the keys that make up the membership.
type memberWrite struct {
	guards       []wire.Compare
	change       wire.Operation
	reachability bool // it is about whether this node reaches its workers
}

// memberStep stores the session key, takes the lead or writes the membership.
func (n *Node) memberStep(ctx context.Context) error {
	n.mu.Lock()
	write, self := n.nextMemberWrite(), n.self
	n.mu.Unlock()
	if write == nil {
		return nil
	}
	changes := []wire.Operation{write.change}
	revision, err := n.svc.CompareAndSwap(ctx, store.ClassLease, write.guards, changes)
	if err != nil {
		return err
	}
	if write.reachability {
		// Not before: a node that is cut off tries again and again.
		n.log.Info("reachability of workers changes", "unreachable", write.change.Put != "")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if write.change.Put != member.Key {
		// The membership comes by watch only: everything stored before it must
		// be in the cache before it counts.
		n.cache.ApplyOwnWrite(changes, revision)
	}
	if write.change.Put == member.SessionKey(n.self.Label) && self == n.self {
		n.session = n.session.Next(member.SessionStored)
	}
	wake(n.memberWake)
	return nil
}

// nextMemberWrite chooses what this node should write about the membership now,
// nil for nothing; mu is held.
func (n *Node) nextMemberWrite() *memberWrite {
	if n.session == member.NoLease {
		return nil
	}
	n.noteStoredSession()
	if n.session == member.Leased {
		return n.sessionWrite()
	}
	now := n.now()
	unreachable := n.reachability(now).NextUnreachable()
	action := member.Decide(member.View{
		Self:                 n.self,
		Sessions:             n.sessions,
		Unreachable:          n.unreachable,
		Leader:               n.lead,
		Membership:           n.member,
		TokenRangesSupported: n.spans(),
	})
	switch {
	case unreachable != n.unreachable[n.self.Label]:
		return n.reachabilityWrite(unreachable, now)
	case action.BecomeLeader:
		return n.leadWrite()
	case action.WriteMembership != nil:
		return n.membershipWrite(action.WriteMembership)
	}
	return nil
}

// noteStoredSession brings the session's state in line with the key that is
// stored; mu is held.
func (n *Node) noteStoredSession() {
	stored := n.sessions[n.self.Label] == n.self
	if n.session == member.Registered && !stored {
		// Guards against a late write of a former process of this node.
		n.session = member.Leased
	}
	if n.session == member.Leased && stored {
		n.session = n.session.Next(member.SessionStored)
	}
}

// sessionWrite stores this node's session key; mu is held.
func (n *Node) sessionWrite() *memberWrite {
	key := member.SessionKey(n.self.Label)
	session := member.Session{Node: n.self, Format: member.CurrentFormat, ProgramVersion: tuning.Version}
	return &memberWrite{
		guards: []wire.Compare{n.cache.Compare(key)},
		change: wire.Operation{Put: key, Value: wire.MustMarshal(session), LeaseID: n.self.Incarnation},
	}
}

// reachabilityWrite stores whether this node reaches its workers, and chooses
// those to ask when it does not; mu is held.
func (n *Node) reachabilityWrite(unreachable bool, now time.Time) *memberWrite {
	key := member.UnreachableKey(n.self.Label)
	change := wire.Operation{Delete: key}
	if unreachable {
		change = wire.Operation{Put: key, Value: wire.MustMarshal(n.self), LeaseID: n.self.Incarnation}
		n.chooseProbes(now)
	}
	return &memberWrite{
		guards:       []wire.Compare{n.cache.Compare(member.SessionKey(n.self.Label))},
		change:       change,
		reachability: true,
	}
}

// leadWrite takes the lead; mu is held.
func (n *Node) leadWrite() *memberWrite {
	return &memberWrite{
		guards: []wire.Compare{n.cache.Compare(member.LeaderKey), n.cache.Compare(member.SessionKey(n.self.Label))},
		change: wire.Operation{Put: member.LeaderKey, Value: wire.MustMarshal(n.self), LeaseID: n.self.Incarnation},
	}
}

// membershipWrite stores the next membership; mu is held.
func (n *Node) membershipWrite(next *member.Record) *memberWrite {
	return &memberWrite{
		guards: []wire.Compare{n.cache.Compare(member.LeaderKey), n.cache.Compare(member.Key)},
		change: wire.Operation{Put: member.Key, Value: wire.MustMarshal(next)},
	}
}

// reachability sums up whether this node hears its workers; mu is held.
func (n *Node) reachability(now time.Time) member.Reachability {
	e := member.Reachability{Unreachable: n.unreachable[n.self.Label]}
	if n.member == nil || !n.entitled() {
		return e
	}
	if e.Unreachable {
		if now.Sub(n.unreachableAt) > tuning.UnreachableMin {
			e.Answered = len(n.probes) == 0 || n.probed.After(n.unreachableAt)
		}
		return e
	}
	e.Heard, e.Silent = n.countHeard(now)
	e.SiblingsReachable = n.siblingHearsWorkers()
	return e
}

// countHeard counts this node's machines that are heard, and those with tasks that
// are silent though they had time to report under this membership; mu is held.
func (n *Node) countHeard(now time.Time) (heard, silent int) {
	silentAfter := n.silentAfter()
	for host, w := range n.workers {
		if n.ownerOf(host) != n.self.Label || w.LastHeard.IsZero() {
			continue
		}
		if now.Sub(w.LastHeard) < silentAfter {
			heard++
		} else if len(n.table.ClaimsByMachine[host]) > 0 && now.Sub(n.raisedAt) > silentAfter {
			silent++
		}
	}
	return heard, silent
}

// siblingHearsWorkers reports whether any sibling hears a machine of its own; mu
// is held.
func (n *Node) siblingHearsWorkers() bool {
	for _, s := range n.siblings {
		if !n.freshSibling(s) {
			continue
		}
		for _, h := range s.hosts {
			if !h.Silent {
				return true
			}
		}
	}
	return false
}

// chooseProbes remembers workers to ask until one answers; mu is held.
func (n *Node) chooseProbes(now time.Time) {
	n.probes, n.unreachableAt, n.probed = nil, now, time.Time{}
	for _, w := range n.workers {
		if w.Address != "" && len(n.probes) < tuning.ReachabilityProbes {
			n.probes = append(n.probes, w.Address)
		}
	}
}

// runProbes asks workers, while this node is unreachable, whether they reach it again.
func (n *Node) runProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, n.set.Report())
		n.mu.Lock()
		var ask []string
		if n.unreachable[n.self.Label] {
			ask = n.probes
		}
		n.mu.Unlock()
		for _, address := range ask {
			if n.call.show(address) != nil {
				continue
			}
			n.mu.Lock()
			n.probed = n.now()
			n.mu.Unlock()
			wake(n.memberWake)
			break
		}
	}
	return nil
}
