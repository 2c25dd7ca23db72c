// This file holds what a node exchanges with the other nodes: statuses, the
// machines of each and what they attest about cancellations.

package controller

import (
	"context"
	"math"
	"slices"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// sibling is what is known of another node.
type sibling struct {
	settings            config.Sibling
	client              *peer.Client
	status              peer.Status
	receivedAt          time.Time
	machinesVersion     peer.MachinesVersion          // the view of its machines that hosts holds
	machinesConfirmedAt time.Time                     // when that was last confirmed
	machines            map[string]peer.MachineStatus // its machines
	// what it attests about cancellations
	attestation membership.Attestation
}

// publishedMachine is what siblings are told of one of this node's machines.
type publishedMachine struct {
	status  peer.MachineStatus
	version uint64 // of its last change
}

func (n *Controller) isFresh(s *sibling) bool {
	return !s.receivedAt.IsZero() && n.now().Sub(s.receivedAt) < tuning.PeerFresh
}

// runPeerExchange exchanges statuses with one sibling.
func (n *Controller) runPeerExchange(ctx context.Context, s *sibling) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		own := n.ownStatus(peer.MachinesVersion{})
		own.Known = s.machinesVersion
		n.mu.Unlock()
		own.Machines, own.AllMachines = nil, false // they come with the answer to the sibling's own
		asked := n.now()
		st, err := s.client.Exchange(own.Encode(), tuning.PeerTimeout)
		if err == nil {
			n.applyPeerStatus(st, asked)
		}
		sleep(ctx, tuning.PeerEvery)
	}
	return nil
}

// applyPeerStatus enters a sibling's status. If it answers one of ours, asked is when
// that was sent, and the changes of its machines since the view that we have
// come with it; else asked is zero.
func (n *Controller) applyPeerStatus(st peer.Status, asked time.Time) {
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
	if answer && (st.AllMachines || seen.FencingToken == s.machinesVersion.FencingToken && seen.Incarnation == s.machinesVersion.Incarnation) {
		n.applyPeerMachines(s, st, now)
		s.machinesVersion, s.machinesConfirmedAt = seen, now
	}
	st.Machines = nil
	s.status, s.receivedAt = st, now
	if n.membership != nil && st.FencingToken > n.membership.FencingToken {
		wake(n.membershipWake)
	}
}

// applyPeerMachines enters what has changed of a sibling's machines, or all of them
// in place of those known before; mu is held.
func (n *Controller) applyPeerMachines(s *sibling, st peer.Status, now time.Time) {
	if st.AllMachines {
		for host := range s.machines {
			n.machineIndex.markChanged(host)
		}
		clear(s.machines)
	}
	for _, h := range st.Machines {
		n.machineIndex.markChanged(h.Name)
		s.machines[h.Name] = h
		if h.Silent && n.leaderState.lastHeard != nil {
			n.leaderState.recordHeard(h.Name, now.Add(-h.SinceHeard))
		}
	}
}

// applyAttestation enters what a sibling says of cancellations, and how far all of them
// are known by it; mu is held.
func (n *Controller) applyAttestation(s *sibling, st peer.Status, asked, now time.Time) {
	if !st.ReportsCancellations || st.Incarnation == 0 {
		s.attestation = membership.Attestation{}
		return
	}
	s.attestation = s.attestation.Update(st.Incarnation, st.LastCancellation, asked, now)
	all := make([]membership.Attestation, 0, len(n.siblings))
	for _, o := range n.siblings {
		all = append(all, o.attestation)
	}
	if at := membership.CancellationsKnownUntil(n.syncer.LastReadAt(), n.cache.Revision(), all); at.After(n.attestedUntil) {
		n.attestedUntil = at
	}
}

// cancellationsKnownUntil is the time up to which every cancellation that a user was told of
// is in the cache; mu is held.
func (n *Controller) cancellationsKnownUntil() time.Time {
	if fresh := n.syncer.LastReadAt(); fresh.After(n.attestedUntil) {
		return fresh
	}
	return n.attestedUntil
}

// ownStatus is this node's status, with what has changed of its machines since
// the view that a sibling has; mu is held.
func (n *Controller) ownStatus(seen peer.MachinesVersion) peer.Status {
	now := n.now()
	st := peer.Status{Label: n.self.Label, Incarnation: n.self.Incarnation, Revision: n.cache.Revision(), HasStore: n.hasStore() && n.cache.Consistent()}
	if n.membership != nil {
		st.FencingToken = n.membership.FencingToken
	}
	if n.isMember() && now.Sub(n.publishedAt) >= tuning.MachineStatusEvery {
		n.publishedAt = now
		n.refreshPublished(now)
	}
	st.Recovering = n.recoveryProgress.MachinesUnknown()
	st.ReportsCancellations, st.LastCancellation = n.cache.Consistent(), n.lastCancellation
	st.QueuedChanges = uint32(math.Ceil(n.queuedWrites))
	st.MachinesVersion = n.publishedVersion
	st.AllMachines = seen.FencingToken != st.FencingToken || seen.Incarnation != st.Incarnation || seen.Number > n.publishedVersion
	if n.isMember() {
		for _, t := range n.publishedMachines {
			if st.AllMachines || t.version > seen.Number {
				st.Machines = append(st.Machines, t.status)
			}
		}
	}
	return st
}

// refreshPublished notes what has changed of this node's machines; mu is held.
func (n *Controller) refreshPublished(now time.Time) {
	silent := n.silenceTimeout()
	for host, w := range n.unpublished(now) {
		if w.LastHeard.IsZero() {
			continue
		}
		h := peer.MachineStatus{Name: host, Incarnation: w.Incarnation, Silent: now.Sub(w.LastHeard) > silent, TokenAcknowledged: w.State == worker.TokenAcknowledged,
			TerminationNotice: -1, Quarantined: n.isQuarantined(w, now)}
		if !w.TerminationAt.IsZero() {
			h.TerminationNotice = 0
		}
		t := n.publishedMachines[host]
		if t == nil {
			t = &publishedMachine{}
			n.publishedMachines[host] = t
		} else if o := t.status; o.Incarnation == h.Incarnation && o.Silent == h.Silent && o.TokenAcknowledged == h.TokenAcknowledged && o.TerminationNotice == h.TerminationNotice &&
			o.Quarantined == h.Quarantined && slices.Equal(o.Images, w.Images) {
			continue
		}
		h.SinceHeard = now.Sub(w.LastHeard)
		h.Images = slices.Clone(w.Images)
		n.publishedVersion++
		t.status, t.version = h, n.publishedVersion
	}
}

// unpublished lists the workers whose machines may differ from what siblings are
// told of them: those that something has changed for, and every so often all, for
// those that have fallen silent; mu is held.
func (n *Controller) unpublished(now time.Time) map[string]*worker.Worker {
	v := &n.machineIndex
	some := n.workers
	if now.Sub(v.fullPublishAt) < tuning.SweepEvery && !now.Before(v.fullPublishAt) {
		some = make(map[string]*worker.Worker, len(v.unpublished))
		for host := range v.unpublished {
			if w := n.workers[host]; w != nil {
				some[host] = w
			}
		}
	} else {
		v.fullPublishAt = now
	}
	clear(v.unpublished)
	return some
}
