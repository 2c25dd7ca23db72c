// This file holds what a node exchanges with the other nodes: statuses, the
// machines of each and what they attest about cancellations.

package fleet

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/internal/response"
	"wheatspur/internal/timing"
	"wheatspur/internal/tuning"
)

// Sibling is what is known of another node.
type Sibling struct {
	Settings            config.Sibling
	Client              *peer.Client
	Status              peer.Status
	receivedAt          time.Time
	MachinesVersion     peer.MachinesVersion          // the view of its machines that hosts holds
	machinesConfirmedAt time.Time                     // when that was last confirmed
	Machines            map[string]peer.MachineStatus // its machines
	// what it attests about cancellations
	Attestation membership.Attestation
}

// PeerExchange is what this controller and its siblings tell each other.
type PeerExchange struct {
	*cluster.State
	workers      *WorkerManager
	machineIndex *machineIndex
	recovery     *recoveryTracker

	Siblings          map[string]*Sibling
	PublishedMachines map[string]*publishedMachine
	publishedVersion  uint64    // number of the last change in publishedMachines
	PublishedAt       time.Time // when publishedMachines was last refreshed
	// OnSilent is told of a machine that its owner last heard at a time.
	OnSilent      func(machine string, heardAt time.Time)
	attestedUntil time.Time // up to when every cancellation is known here because all siblings attest it
}

func newPeerExchange(state *cluster.State) *PeerExchange {
	px := &PeerExchange{State: state, Siblings: map[string]*Sibling{}, PublishedMachines: map[string]*publishedMachine{}}
	for _, s := range state.Settings.Siblings {
		px.Siblings[s.Label] = &Sibling{Settings: s, Client: peer.NewClient(s.Endpoint), Machines: map[string]peer.MachineStatus{}}
	}
	return px
}

// IsFresh reports whether a sibling's status is recent enough to be believed.
func (px *PeerExchange) IsFresh(s *Sibling) bool {
	return !s.receivedAt.IsZero() && px.Now().Sub(s.receivedAt) < tuning.PeerFresh
}

// RunPeerExchange exchanges statuses with one sibling.
func (px *PeerExchange) RunPeerExchange(ctx context.Context, s *Sibling) error {
	for ctx.Err() == nil {
		px.Lock()
		own := px.OwnStatus(peer.MachinesVersion{})
		own.Known = s.MachinesVersion
		px.Unlock()
		own.Machines, own.AllMachines = nil, false // they come with the answer to the sibling's own
		asked := px.Now()
		st, err := s.Client.Exchange(own.Encode(), tuning.PeerTimeout)
		if err == nil {
			px.ApplyPeerStatus(st, asked)
		}
		timing.Sleep(ctx, tuning.PeerEvery)
	}
	return nil
}

// ServeStatus takes a sibling's status and answers with this controller's.
func (px *PeerExchange) ServeStatus(c *fasthttp.RequestCtx) {
	status, err := peer.DecodeStatus(c.PostBody())
	if err != nil {
		response.Error(c, 400, "malformed status")
		return
	}
	px.ApplyPeerStatus(status, time.Time{})
	px.Lock()
	own := px.OwnStatus(status.Known)
	px.Unlock()
	c.SetBody(own.Encode())
}

// ApplyPeerStatus enters a sibling's status. If it answers one of ours, asked is when
// that was sent, and the changes of its machines since the view that we have
// come with it; else asked is zero.
func (px *PeerExchange) ApplyPeerStatus(st peer.Status, asked time.Time) {
	px.Lock()
	defer px.Unlock()
	s := px.Siblings[st.Label]
	if s == nil {
		return
	}
	now := px.Now()
	seen := peer.MachinesVersion{Number: st.MachinesVersion, FencingToken: st.FencingToken, Incarnation: st.Incarnation}
	answer := !asked.IsZero()
	if answer {
		px.applyAttestation(s, st, asked, now)
	}
	if answer && (st.AllMachines || seen.FencingToken == s.MachinesVersion.FencingToken && seen.Incarnation == s.MachinesVersion.Incarnation) {
		px.applyPeerMachines(s, st, now)
		s.MachinesVersion, s.machinesConfirmedAt = seen, now
	}
	st.Machines = nil
	s.Status, s.receivedAt = st, now
	if px.Membership != nil && st.FencingToken > px.Membership.FencingToken {
		cluster.Wake(px.MembershipWake)
	}
}

// applyPeerMachines enters what has changed of a sibling's machines, or all of them
// in place of those known before; the lock is held.
func (px *PeerExchange) applyPeerMachines(s *Sibling, st peer.Status, now time.Time) {
	if st.AllMachines {
		for host := range s.Machines {
			px.machineIndex.MarkChanged(host)
		}
		clear(s.Machines)
	}
	for _, h := range st.Machines {
		px.machineIndex.MarkChanged(h.Name)
		s.Machines[h.Name] = h
		if h.Silent {
			px.OnSilent(h.Name, now.Add(-h.SinceHeard))
		}
	}
}

// applyAttestation enters what a sibling says of cancellations, and how far all of them
// are known by it; the lock is held.
func (px *PeerExchange) applyAttestation(s *Sibling, st peer.Status, asked, now time.Time) {
	if !st.ReportsCancellations || st.Incarnation == 0 {
		s.Attestation = membership.Attestation{}
		return
	}
	s.Attestation = s.Attestation.Update(st.Incarnation, st.LastCancellation, asked, now)
	all := make([]membership.Attestation, 0, len(px.Siblings))
	for _, o := range px.Siblings {
		all = append(all, o.Attestation)
	}
	if at := membership.CancellationsKnownUntil(px.Syncer.LastReadAt(), px.Cache.Revision(), all); at.After(px.attestedUntil) {
		px.attestedUntil = at
	}
}

// CancellationsKnownUntil is the time up to which every cancellation that a user was told of
// is in the cache; the lock is held.
func (px *PeerExchange) CancellationsKnownUntil() time.Time {
	if fresh := px.Syncer.LastReadAt(); fresh.After(px.attestedUntil) {
		return fresh
	}
	return px.attestedUntil
}

// isFencedOut reports whether a sibling that reads the state service knows a
// newer membership, so that this node should hand its workers over; the lock is held.
func (px *PeerExchange) isFencedOut() bool {
	if px.Membership == nil {
		return false
	}
	for _, s := range px.Siblings {
		if px.IsFresh(s) && s.Status.HasStore && s.Status.FencingToken > px.Membership.FencingToken {
			return true
		}
	}
	return false
}

// SiblingHearsWorkers reports whether any sibling hears a machine of its own; the
// lock is held.
func (px *PeerExchange) SiblingHearsWorkers() bool {
	for _, s := range px.Siblings {
		if !px.IsFresh(s) {
			continue
		}
		for _, h := range s.Machines {
			if !h.Silent {
				return true
			}
		}
	}
	return false
}

// LastHeardByOwners is how long ago each machine was heard by its owner.
func (px *PeerExchange) LastHeardByOwners(now time.Time) map[string]time.Duration {
	out := map[string]time.Duration{}
	for host, w := range px.workers.ByMachine {
		if !w.LastHeard.IsZero() {
			out[host] = now.Sub(w.LastHeard)
		}
	}
	for _, s := range px.Siblings {
		if s.machinesConfirmedAt.IsZero() || now.Sub(s.machinesConfirmedAt) > 5*tuning.PeerFresh {
			continue
		}
		for name, h := range s.Machines {
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
