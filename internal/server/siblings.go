// This file holds what a node exchanges with the other nodes: statuses, the
// machines of each and what they attest about cancellations.

package server

import (
	"context"
	"math"
	"slices"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/fleet"
	"wheatspur/internal/member"
	"wheatspur/internal/peer"
	"wheatspur/internal/tuning"
)

// sibling is what is known of another node.
type sibling struct {
	cfg    config.Sibling
	client *peer.Client
	status peer.Status
	at     time.Time
	seen   peer.MachinesVersion          // the view of its machines that hosts holds
	seenAt time.Time                     // when that was last confirmed
	hosts  map[string]peer.MachineStatus // its machines
	// what it attests about cancellations
	attestation member.Attestation
}

// publishedHost is what siblings are told of one of this node's machines.
type publishedHost struct {
	host peer.MachineStatus
	view uint64 // of its last change
}

func (n *Node) freshSibling(s *sibling) bool {
	return !s.at.IsZero() && n.now().Sub(s.at) < tuning.PeerFresh
}

// runPeer exchanges statuses with one sibling.
func (n *Node) runPeer(ctx context.Context, s *sibling) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		own := n.ownStatus(peer.MachinesVersion{})
		own.Known = s.seen
		n.mu.Unlock()
		own.Machines, own.AllMachines = nil, false // they come with the answer to the sibling's own
		asked := n.now()
		st, err := s.client.Exchange(own.Encode(), tuning.PeerTimeout)
		if err == nil {
			n.notePeer(st, asked)
		}
		sleep(ctx, tuning.PeerEvery)
	}
	return nil
}

// notePeer enters a sibling's status. If it answers one of ours, asked is when
// that was sent, and the changes of its machines since the view that we have
// come with it; else asked is zero.
func (n *Node) notePeer(st peer.Status, asked time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.siblings[st.Label]
	if s == nil {
		return
	}
	now := n.now()
	seen := peer.MachinesVersion{Number: st.MachinesVersion, FencingToken: st.FencingToken, Incarnation: st.Incarnation}
	answer := !asked.IsZero()
	if answer {
		n.applyAttestation(s, st, asked, now)
	}
	if answer && (st.AllMachines || seen.FencingToken == s.seen.FencingToken && seen.Incarnation == s.seen.Incarnation) {
		n.applySiblingHosts(s, st, now)
		s.seen, s.seenAt = seen, now
	}
	st.Machines = nil
	s.status, s.at = st, now
	if n.member != nil && st.FencingToken > n.member.FencingToken {
		wake(n.memberWake)
	}
}

// applySiblingHosts enters what has changed of a sibling's machines, or all of them
// in place of those known before; mu is held.
func (n *Node) applySiblingHosts(s *sibling, st peer.Status, now time.Time) {
	if st.AllMachines {
		for host := range s.hosts {
			n.view.touch(host)
		}
		clear(s.hosts)
	}
	for _, h := range st.Machines {
		n.view.touch(h.Name)
		s.hosts[h.Name] = h
		if h.Silent && n.leading.heard != nil {
			n.leading.hear(h.Name, now.Add(-h.SinceHeard))
		}
	}
}

// applyAttestation enters what a sibling says of cancellations, and how far all of them
// are known by it; mu is held.
func (n *Node) applyAttestation(s *sibling, st peer.Status, asked, now time.Time) {
	if !st.ReportsCancellations || st.Incarnation == 0 {
		s.attestation = member.Attestation{}
		return
	}
	s.attestation = s.attestation.Update(st.Incarnation, st.LastCancellation, asked, now)
	all := make([]member.Attestation, 0, len(n.siblings))
	for _, o := range n.siblings {
		all = append(all, o.attestation)
	}
	if at := member.CancellationsKnownUntil(n.sync.LastReadAt(), n.cache.Revision(), all); at.After(n.certain) {
		n.certain = at
	}
}

// knownUntil is the time up to which every cancellation that a user was told of
// is in the cache; mu is held.
func (n *Node) knownUntil() time.Time {
	if fresh := n.sync.LastReadAt(); fresh.After(n.certain) {
		return fresh
	}
	return n.certain
}

// ownStatus is this node's status, with what has changed of its machines since
// the view that a sibling has; mu is held.
func (n *Node) ownStatus(seen peer.MachinesVersion) peer.Status {
	now := n.now()
	st := peer.Status{Label: n.self.Label, Incarnation: n.self.Incarnation, Revision: n.cache.Revision(), HasStore: n.hasState() && n.cache.Consistent()}
	if n.member != nil {
		st.FencingToken = n.member.FencingToken
	}
	if n.entitled() && now.Sub(n.viewAt) >= tuning.MachineStatusEvery {
		n.viewAt = now
		n.refreshPublished(now)
	}
	st.Recovering = n.recovery.MachinesUnknown()
	st.ReportsCancellations, st.LastCancellation = n.cache.Consistent(), n.cancelled
	st.QueuedChanges = uint32(math.Ceil(n.queuedChanges))
	st.MachinesVersion = n.publishedView
	st.AllMachines = seen.FencingToken != st.FencingToken || seen.Incarnation != st.Incarnation || seen.Number > n.publishedView
	if n.entitled() {
		for _, t := range n.published {
			if st.AllMachines || t.view > seen.Number {
				st.Machines = append(st.Machines, t.host)
			}
		}
	}
	return st
}

// refreshPublished notes what has changed of this node's machines; mu is held.
func (n *Node) refreshPublished(now time.Time) {
	silent := n.silentAfter()
	for host, w := range n.unpublished(now) {
		if w.LastHeard.IsZero() {
			continue
		}
		h := peer.MachineStatus{Name: host, Incarnation: w.Incarnation, Silent: now.Sub(w.LastHeard) > silent, TokenAcknowledged: w.State == fleet.TokenAcknowledged,
			TerminationNotice: -1, Quarantined: n.unfit(w, now)}
		if !w.TerminationAt.IsZero() {
			h.TerminationNotice = 0
		}
		t := n.published[host]
		if t == nil {
			t = &publishedHost{}
			n.published[host] = t
		} else if o := t.host; o.Incarnation == h.Incarnation && o.Silent == h.Silent && o.TokenAcknowledged == h.TokenAcknowledged && o.TerminationNotice == h.TerminationNotice &&
			o.Quarantined == h.Quarantined && slices.Equal(o.Images, w.Images) {
			continue
		}
		h.SinceHeard = now.Sub(w.LastHeard)
		h.Images = slices.Clone(w.Images)
		n.publishedView++
		t.host, t.view = h, n.publishedView
	}
}

// unpublished lists the workers whose machines may differ from what siblings are
// told of them: those that something has changed for, and every so often all, for
// those that have fallen silent; mu is held.
func (n *Node) unpublished(now time.Time) map[string]*fleet.Worker {
	v := &n.view
	some := n.workers
	if now.Sub(v.publishedAll) < tuning.SweepEvery && !now.Before(v.publishedAll) {
		some = make(map[string]*fleet.Worker, len(v.unpublished))
		for host := range v.unpublished {
			if w := n.workers[host]; w != nil {
				some[host] = w
			}
		}
	} else {
		v.publishedAll = now
	}
	clear(v.unpublished)
	return some
}
