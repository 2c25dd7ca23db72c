// This file holds what a node exchanges with the other nodes: statuses, the
// machines of each and what they attest about cancellations.

package controller

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

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

	siblings          map[string]*sibling
	publishedMachines map[string]*publishedMachine
	publishedVersion  uint64    // number of the last change in publishedMachines
	publishedAt       time.Time // when publishedMachines was last refreshed
	// onSilent is told of a machine that its owner last heard at a time.
	onSilent      func(machine string, heardAt time.Time)
	attestedUntil time.Time // up to when every cancellation is known here because all siblings attest it
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
		px.Lock()
		own := px.ownStatus(peer.MachinesVersion{})
		own.Known = s.machinesVersion
		px.Unlock()
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

// serveStatus takes a sibling's status and answers with this controller's.
func (px *peerExchange) serveStatus(c *fasthttp.RequestCtx) {
	status, err := peer.DecodeStatus(c.PostBody())
	if err != nil {
		respondError(c, 400, "malformed status")
		return
	}
	px.applyPeerStatus(status, time.Time{})
	px.Lock()
	own := px.ownStatus(status.Known)
	px.Unlock()
	c.SetBody(own.Encode())
}

// applyPeerStatus enters a sibling's status. If it answers one of ours, asked is when
// that was sent, and the changes of its machines since the view that we have
// come with it; else asked is zero.
func (px *peerExchange) applyPeerStatus(st peer.Status, asked time.Time) {
	px.Lock()
	defer px.Unlock()
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
// in place of those known before; the lock is held.
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
		if h.Silent {
			px.onSilent(h.Name, now.Add(-h.SinceHeard))
		}
	}
}

// applyAttestation enters what a sibling says of cancellations, and how far all of them
// are known by it; the lock is held.
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
// is in the cache; the lock is held.
func (px *peerExchange) cancellationsKnownUntil() time.Time {
	if fresh := px.syncer.LastReadAt(); fresh.After(px.attestedUntil) {
		return fresh
	}
	return px.attestedUntil
}

// ownStatus is this node's status, with what has changed of its machines since
// the view that a sibling has; the lock is held.
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

// refreshPublished notes what has changed of this node's machines; the lock is held.
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
// those that have fallen silent; the lock is held.
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

// isFencedOut reports whether a sibling that reads the state service knows a
// newer membership, so that this node should hand its workers over; the lock is held.
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

// siblingHearsWorkers reports whether any sibling hears a machine of its own; the
// lock is held.
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

// lastHeardByOwners is how long ago each machine was heard by its owner.
func (px *peerExchange) lastHeardByOwners(now time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for host, w := range px.workers.byMachine {
		if !w.LastHeard.IsZero() {
			out[host] = now.Sub(w.LastHeard)
		}
	}
	for _, s := range px.siblings {
		if s.machinesConfirmedAt.IsZero() || now.Sub(s.machinesConfirmedAt) > 5*tuning.PeerFresh {
			continue
		}
		for name, h := range s.machines {
			if h.Silent {
				continue // entered when it was told
			}
			age := now.Sub(s.machinesConfirmedAt)
			if old, ok := out[name]; !ok || age < old {
				out[name] = age
			}
		}
	}
	return out
}
