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

// peerExchange is what this controller and its siblings tell each other.
type peerExchange struct {
	*clusterState
	workers      *workerManager
	machineIndex *machineIndex
	recovery     *recoveryTracker
	leaderLoop   *leaderLoop

	siblings          map[string]*sibling
	publishedMachines map[string]*publishedMachine
	publishedVersion  uint64    // number of the last change in publishedMachines
	publishedAt       time.Time // when publishedMachines was last refreshed
	attestedUntil     time.Time // up to when every cancellation is known here because all siblings attest it
}

func newPeerExchange(state *clusterState) *peerExchange {
	px := &peerExchange{clusterState: state, siblings: map[string]*sibling{}, publishedMachines: map[string]*publishedMachine{}}
	for _, s := range state.settings.Siblings {
		px.siblings[s.Label] = &sibling{settings: s, client: peer.NewClient(s.Endpoint), machines: map[string]peer.MachineStatus{}}
	}
	return px
}

// isFresh reports whether a sibling's status is recent enough to be believed.
func (px *peerExchange) isFresh(s *sibling) bool {
	return !s.receivedAt.IsZero() && px.now().Sub(s.receivedAt) < tuning.PeerFresh
}

// runPeerExchange exchanges statuses with one sibling.
func (px *peerExchange) runPeerExchange(ctx context.Context, s *sibling) error {
	for ctx.Err() == nil {
		px.mu.Lock()
		own := px.ownStatus(peer.MachinesVersion{})
		own.Known = s.machinesVersion
		px.mu.Unlock()
		own.Machines, own.AllMachines = nil, false // they come with the answer to the sibling's own
		asked := px.now()
		st, err := s.client.Exchange(own.Encode(), tuning.PeerTimeout)
		if err == nil {
			px.applyPeerStatus(st, asked)
		}
		sleep(ctx, tuning.PeerEvery)
	}
	return nil
}

// applyPeerStatus enters a sibling's status. If it answers one of ours, asked is when
// that was sent, and the changes of its machines since the view that we have
// come with it; else asked is zero.
func (px *peerExchange) applyPeerStatus(st peer.Status, asked time.Time) {
	px.mu.Lock()
	defer px.mu.Unlock()
	s := px.siblings[st.Label]
	if s == nil {
		return
	}
	now := px.now()
	seen := peer.MachinesVersion{Number: st.MachinesVersion, FencingToken: st.FencingToken, Incarnation: st.Incarnation}
	answer := !asked.IsZero()
	if answer {
		px.applyAttestation(s, st, asked, now)
	}
	if answer && (st.AllMachines || seen.FencingToken == s.machinesVersion.FencingToken && seen.Incarnation == s.machinesVersion.Incarnation) {
		px.applyPeerMachines(s, st, now)
		s.machinesVersion, s.machinesConfirmedAt = seen, now
	}
	st.Machines = nil
	s.status, s.receivedAt = st, now
	if px.membership != nil && st.FencingToken > px.membership.FencingToken {
		wake(px.membershipWake)
	}
}

// applyPeerMachines enters what has changed of a sibling's machines, or all of them
// in place of those known before; mu is held.
func (px *peerExchange) applyPeerMachines(s *sibling, st peer.Status, now time.Time) {
	if st.AllMachines {
		for host := range s.machines {
			px.machineIndex.markChanged(host)
		}
		clear(s.machines)
	}
	for _, h := range st.Machines {
		px.machineIndex.markChanged(h.Name)
		s.machines[h.Name] = h
		if h.Silent && px.leaderLoop.leaderState.lastHeard != nil {
			px.leaderLoop.leaderState.recordHeard(h.Name, now.Add(-h.SinceHeard))
		}
	}
}

// applyAttestation enters what a sibling says of cancellations, and how far all of them
// are known by it; mu is held.
func (px *peerExchange) applyAttestation(s *sibling, st peer.Status, asked, now time.Time) {
	if !st.ReportsCancellations || st.Incarnation == 0 {
		s.attestation = membership.Attestation{}
		return
	}
	s.attestation = s.attestation.Update(st.Incarnation, st.LastCancellation, asked, now)
	all := make([]membership.Attestation, 0, len(px.siblings))
	for _, o := range px.siblings {
		all = append(all, o.attestation)
	}
	if at := membership.CancellationsKnownUntil(px.syncer.LastReadAt(), px.cache.Revision(), all); at.After(px.attestedUntil) {
		px.attestedUntil = at
	}
}

// cancellationsKnownUntil is the time up to which every cancellation that a user was told of
// is in the cache; mu is held.
func (px *peerExchange) cancellationsKnownUntil() time.Time {
	if fresh := px.syncer.LastReadAt(); fresh.After(px.attestedUntil) {
		return fresh
	}
	return px.attestedUntil
}

// ownStatus is this node's status, with what has changed of its machines since
// the view that a sibling has; mu is held.
func (px *peerExchange) ownStatus(seen peer.MachinesVersion) peer.Status {
	now := px.now()
	st := peer.Status{Label: px.self.Label, Incarnation: px.self.Incarnation, Revision: px.cache.Revision(), HasStore: px.hasStore() && px.cache.Consistent()}
	if px.membership != nil {
		st.FencingToken = px.membership.FencingToken
	}
	if px.isMember() && now.Sub(px.publishedAt) >= tuning.MachineStatusEvery {
		px.publishedAt = now
		px.refreshPublished(now)
	}
	st.Recovering = px.recovery.progress.MachinesUnknown()
	st.ReportsCancellations, st.LastCancellation = px.cache.Consistent(), px.lastCancellation
	st.QueuedChanges = uint32(math.Ceil(px.queuedWrites))
	st.MachinesVersion = px.publishedVersion
	st.AllMachines = seen.FencingToken != st.FencingToken || seen.Incarnation != st.Incarnation || seen.Number > px.publishedVersion
	if px.isMember() {
		for _, t := range px.publishedMachines {
			if st.AllMachines || t.version > seen.Number {
				st.Machines = append(st.Machines, t.status)
			}
		}
	}
	return st
}

// refreshPublished notes what has changed of this node's machines; mu is held.
func (px *peerExchange) refreshPublished(now time.Time) {
	silent := px.silenceTimeout()
	for host, w := range px.unpublished(now) {
		if w.LastHeard.IsZero() {
			continue
		}
		h := peer.MachineStatus{Name: host, Incarnation: w.Incarnation, Silent: now.Sub(w.LastHeard) > silent, TokenAcknowledged: w.State == worker.TokenAcknowledged,
			TerminationNotice: -1, Quarantined: px.workers.isQuarantined(w, now)}
		if !w.TerminationAt.IsZero() {
			h.TerminationNotice = 0
		}
		t := px.publishedMachines[host]
		if t == nil {
			t = &publishedMachine{}
			px.publishedMachines[host] = t
		} else if o := t.status; o.Incarnation == h.Incarnation && o.Silent == h.Silent && o.TokenAcknowledged == h.TokenAcknowledged && o.TerminationNotice == h.TerminationNotice &&
			o.Quarantined == h.Quarantined && slices.Equal(o.Images, w.Images) {
			continue
		}
		h.SinceHeard = now.Sub(w.LastHeard)
		h.Images = slices.Clone(w.Images)
		px.publishedVersion++
		t.status, t.version = h, px.publishedVersion
	}
}

// unpublished lists the workers whose machines may differ from what siblings are
// told of them: those that something has changed for, and every so often all, for
// those that have fallen silent; mu is held.
func (px *peerExchange) unpublished(now time.Time) map[string]*worker.Worker {
	v := px.machineIndex
	some := px.workers.byMachine
	if now.Sub(v.fullPublishAt) < tuning.SweepEvery && !now.Before(v.fullPublishAt) {
		some = make(map[string]*worker.Worker, len(v.unpublished))
		for host := range v.unpublished {
			if w := px.workers.byMachine[host]; w != nil {
				some[host] = w
			}
		}
	} else {
		v.fullPublishAt = now
	}
	clear(v.unpublished)
	return some
}
