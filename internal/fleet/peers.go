// This file holds the exchange with the sibling controllers: their statuses and
// machines, and what they attest about cancellations.

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

// Sibling is what is known of another controller.
type Sibling struct {
	Settings            config.Sibling                // never changes, like Client; neither needs the lock
	Client              *peer.Client                  // of its peer server
	Status              peer.Status                   // the newest, without machines
	receivedAt          time.Time                     // when that arrived; zero before the first
	MachinesVersion     peer.MachinesVersion          // of its view of its machines, as Machines holds it
	machinesConfirmedAt time.Time                     // when that was last confirmed
	Machines            map[string]peer.MachineStatus // its machines, by name
	Attestation         membership.Attestation        // what it attests about cancellations
}

// PeerExchange is what this controller and its siblings tell each other. But for the
// attestations about cancellations, which let this controller renew leases while it
// can't read the store, it is advice about liveness.
type PeerExchange struct {
	*cluster.State
	workers      *WorkerManager
	machineIndex *MachineIndex
	recovery     *RecoveryTracker

	Siblings          map[string]*Sibling          // by label; the map never changes, so that reading it does not need the lock
	PublishedMachines map[string]*publishedMachine // what siblings are sent about this controller's machines
	publishedVersion  uint64                       // number of the last change of PublishedMachines
	PublishedAt       time.Time                    // when PublishedMachines was last brought up to date
	// OnSilent is called when the owner of a machine says that the machine is silent,
	// and was last heard at heardAt. It is set when the controller is built, and called with the lock held.
	OnSilent      func(machine string, heardAt time.Time)
	attestedUntil time.Time // up to when every cancellation is known here because all siblings attest it
}

func newPeerExchange(state *cluster.State) *PeerExchange {
	px := &PeerExchange{State: state, Siblings: map[string]*Sibling{}, PublishedMachines: map[string]*publishedMachine{}}
	for _, sibling := range state.Settings.Siblings {
		px.Siblings[sibling.Label] = &Sibling{Settings: sibling, Client: peer.NewClient(sibling.Endpoint), Machines: map[string]peer.MachineStatus{}}
	}
	return px
}

// IsFresh reports whether a sibling's status is recent enough to be believed. The lock
// is held.
func (px *PeerExchange) IsFresh(s *Sibling) bool {
	return !s.receivedAt.IsZero() && px.Now().Sub(s.receivedAt) < tuning.PeerFresh
}

// statusOf returns the status of a member, nil if there is none of this incarnation
// that is recent enough, or if the member is this controller. The lock is held, and the
// result is valid for as long.
func (px *PeerExchange) statusOf(node membership.Node) *peer.Status {
	sibling := px.Siblings[node.Label]
	if sibling == nil || !px.IsFresh(sibling) || sibling.Status.Incarnation != node.Incarnation {
		return nil
	}
	return &sibling.Status
}

// RunPeerExchange exchanges statuses with one sibling until ctx ends. It takes the
// lock.
func (px *PeerExchange) RunPeerExchange(ctx context.Context, s *Sibling) error {
	for ctx.Err() == nil {
		own := px.statusToSend(s)
		asked := px.Now()
		if status, err := s.Client.Exchange(own.Encode(), tuning.PeerTimeout); err == nil {
			px.ApplyPeerStatus(status, asked)
		}
		timing.Sleep(ctx, tuning.PeerEvery)
	}
	return nil
}

// statusToSend is this controller's status and the version of the sibling's machines
// that it knows. Its own machines go with the answer to the sibling's status. It takes
// the lock.
func (px *PeerExchange) statusToSend(s *Sibling) peer.Status {
	px.Lock()
	defer px.Unlock()
	status := px.ownSummary()
	status.KnownMachines = s.MachinesVersion
	return status
}

// ServeStatus enters a sibling's status, and answers with this controller's. It takes
// the lock.
func (px *PeerExchange) ServeStatus(c *fasthttp.RequestCtx) {
	status, err := peer.DecodeStatus(c.PostBody())
	if err != nil {
		response.Error(c, fasthttp.StatusBadRequest, "malformed status")
		return
	}
	px.ApplyPeerStatus(status, time.Time{})
	own := px.lockAndReadOwnStatus(status.KnownMachines)
	c.SetBody(own.Encode())
}

// lockAndReadOwnStatus takes the lock for OwnStatus.
func (px *PeerExchange) lockAndReadOwnStatus(known peer.MachinesVersion) peer.Status {
	px.Lock()
	defer px.Unlock()
	return px.OwnStatus(known)
}

// ApplyPeerStatus enters a sibling's status. If it answers this controller's own, asked
// is when that was sent, and it holds the machines that have changed since the version
// that this controller knows; else asked is zero. It takes the lock.
func (px *PeerExchange) ApplyPeerStatus(status peer.Status, asked time.Time) {
	px.Lock()
	defer px.Unlock()
	s := px.Siblings[status.Label]
	if s == nil {
		return
	}
	now := px.Now()
	if !asked.IsZero() {
		px.applyAttestation(s, &status, asked, now)
		px.applyPeerMachines(s, &status, now)
	}
	status.Machines = nil
	s.Status, s.receivedAt = status, now
	if px.Membership != nil && status.FencingToken > px.Membership.FencingToken {
		cluster.Wake(px.MembershipWake)
	}
}

// applyPeerMachines enters the machines of a sibling that have changed, or all of them
// in place of those known before. Changes since a version of another membership or
// incarnation fit nothing that is known here, and are left out. The lock is held.
func (px *PeerExchange) applyPeerMachines(s *Sibling, status *peer.Status, now time.Time) {
	version := peer.MachinesVersion{Number: status.MachinesVersion, FencingToken: status.FencingToken, Incarnation: status.Incarnation}
	if !status.AllMachines && (version.FencingToken != s.MachinesVersion.FencingToken || version.Incarnation != s.MachinesVersion.Incarnation) {
		return
	}
	if status.AllMachines {
		for machine := range s.Machines {
			px.machineIndex.MarkChanged(machine)
		}
		clear(s.Machines)
	}
	for _, machine := range status.Machines {
		px.machineIndex.MarkChanged(machine.Name)
		s.Machines[machine.Name] = machine
		if machine.Silent {
			px.OnSilent(machine.Name, now.Add(-machine.SilentFor))
		}
	}
	s.MachinesVersion, s.machinesConfirmedAt = version, now
}

// applyAttestation enters what a sibling attests about cancellations, and how far all
// of them are known by what all siblings attest. The lock is held.
func (px *PeerExchange) applyAttestation(s *Sibling, status *peer.Status, asked, now time.Time) {
	if !status.ReportsCancellations || status.Incarnation == 0 {
		s.Attestation = membership.Attestation{}
		return
	}
	s.Attestation = s.Attestation.Update(status.Incarnation, status.LastCancellation, asked, now)
	attestations := make([]membership.Attestation, 0, len(px.Siblings))
	for _, sibling := range px.Siblings {
		attestations = append(attestations, sibling.Attestation)
	}
	if until := membership.CancellationsKnownUntil(px.Syncer.LastReadAt(), px.Cache.Revision(), attestations); until.After(px.attestedUntil) {
		px.attestedUntil = until
	}
}

// CancellationsKnownUntil is the time up to which every cancellation that was confirmed
// to a user is in the cache: that of the last read of the store, or what the siblings
// attest. The lock is held.
func (px *PeerExchange) CancellationsKnownUntil() time.Time {
	if read := px.Syncer.LastReadAt(); read.After(px.attestedUntil) {
		return read
	}
	return px.attestedUntil
}

// isFencedOut reports whether a sibling that reads the store knows a newer membership,
// so that this controller should redirect its workers. The lock is held.
func (px *PeerExchange) isFencedOut() bool {
	if px.Membership == nil {
		return false
	}
	for _, sibling := range px.Siblings {
		if px.IsFresh(sibling) && sibling.Status.HasStore && sibling.Status.FencingToken > px.Membership.FencingToken {
			return true
		}
	}
	return false
}

// SiblingHearsWorkers reports whether any sibling hears a machine of its own. The lock
// is held.
func (px *PeerExchange) SiblingHearsWorkers() bool {
	for _, sibling := range px.Siblings {
		if !px.IsFresh(sibling) {
			continue
		}
		for _, machine := range sibling.Machines {
			if !machine.Silent {
				return true
			}
		}
	}
	return false
}

// LastHeardByOwners is how long ago each machine was heard by its owner, without those
// that siblings hold to be silent: OnSilent was called for these. The lock is held.
func (px *PeerExchange) LastHeardByOwners(now time.Time) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for machine, w := range px.workers.ByMachine {
		if !w.LastHeard.IsZero() {
			ages[machine] = now.Sub(w.LastHeard)
		}
	}
	for _, sibling := range px.Siblings {
		age := now.Sub(sibling.machinesConfirmedAt)
		if sibling.machinesConfirmedAt.IsZero() || age > tuning.PeerViewLifetimes*tuning.PeerFresh {
			continue
		}
		for machine, status := range sibling.Machines {
			if status.Silent {
				continue
			}
			if known, ok := ages[machine]; !ok || age < known {
				ages[machine] = age
			}
		}
	}
	return ages
}
