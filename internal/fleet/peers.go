// This file holds the exchange of status with the sibling controllers: what they know about
// their machines, and what they attest about cancellations.

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

// Sibling is what is known about another controller.
type Sibling struct {
	Settings            config.Sibling                // immutable, like Client; neither needs the lock
	Client              *peer.Client                  // client for its peer server
	Status              peer.Status                   // its newest status, without machines
	receivedAt          time.Time                     // when Status arrived; zero before the first status
	MachinesVersion     peer.MachinesVersion          // version of its machines that Machines holds
	machinesConfirmedAt time.Time                     // when the sibling last confirmed Machines
	Machines            map[string]peer.MachineStatus // its machines, by name
	Attestation         membership.Attestation        // what it attests about cancellations
}

// PeerExchange exchanges status between this controller and its siblings. The siblings' status
// is only a hint about liveness, except for the attestations about cancellations, which allow
// this controller to renew leases while it can't read the store.
type PeerExchange struct {
	*cluster.State
	workers      *WorkerManager
	machineIndex *MachineIndex
	recovery     *RecoveryTracker

	Siblings          map[string]*Sibling          // by label; the map is immutable, and reading it does not need the lock
	PublishedMachines map[string]*publishedMachine // what siblings are sent about this controller's machines, by name
	publishedVersion  uint64                       // incremented with every change of PublishedMachines
	PublishedAt       time.Time                    // when PublishedMachines was last updated
	// OnMachineSilent is called with the lock held when the owner of a machine reports that the
	// machine is silent and was last heard at heardAt. It is set when the controller is built.
	OnMachineSilent func(machine string, heardAt time.Time)
	attestedUntil   time.Time // all siblings attest that every cancellation up to this time is known here
}

func newPeerExchange(state *cluster.State) *PeerExchange {
	px := &PeerExchange{State: state, Siblings: map[string]*Sibling{}, PublishedMachines: map[string]*publishedMachine{}}
	for _, sibling := range state.Settings.Siblings {
		px.Siblings[sibling.Label] = &Sibling{Settings: sibling, Client: peer.NewClient(sibling.Endpoint), Machines: map[string]peer.MachineStatus{}}
	}
	return px
}

// IsFresh reports whether a sibling's status is recent enough to be used. The lock is held.
func (px *PeerExchange) IsFresh(s *Sibling) bool {
	return !s.receivedAt.IsZero() && px.Now().Sub(s.receivedAt) < tuning.PeerFresh
}

// statusOf returns the status of a member. It returns nil if there is no fresh status of this
// incarnation, or if the member is this controller. The lock is held, and the result is valid
// only while it is.
func (px *PeerExchange) statusOf(node membership.Controller) *peer.Status {
	sibling := px.Siblings[node.Label]
	if sibling == nil || !px.IsFresh(sibling) || sibling.Status.Incarnation != node.Incarnation {
		return nil
	}
	return &sibling.Status
}

// RunPeerExchange exchanges status with one sibling until ctx ends. It takes the lock.
func (px *PeerExchange) RunPeerExchange(ctx context.Context, s *Sibling) error {
	for ctx.Err() == nil {
		ownStatus := px.statusToSend(s)
		sentAt := px.Now()
		if status, err := s.Client.Exchange(ownStatus.Encode(), tuning.PeerTimeout); err == nil {
			px.ApplyPeerStatus(status, sentAt)
		}
		timing.Sleep(ctx, tuning.PeerEvery)
	}
	return nil
}

// statusToSend returns this controller's status, with the version of the sibling's machines
// that this controller knows. It does not contain this controller's machines, which are sent
// in the response to the sibling's status. It takes the lock.
func (px *PeerExchange) statusToSend(s *Sibling) peer.Status {
	px.Lock()
	defer px.Unlock()
	status := px.ownSummary()
	status.KnownMachines = s.MachinesVersion
	return status
}

// ServeStatus applies a sibling's status and responds with this controller's status. It takes
// the lock.
func (px *PeerExchange) ServeStatus(c *fasthttp.RequestCtx) {
	status, err := peer.DecodeStatus(c.PostBody())
	if err != nil {
		response.Error(c, fasthttp.StatusBadRequest, "malformed status")
		return
	}
	px.ApplyPeerStatus(status, time.Time{})
	ownStatus := px.lockAndReadOwnStatus(status.KnownMachines)
	c.SetBody(ownStatus.Encode())
}

// lockAndReadOwnStatus takes the lock and calls OwnStatus.
func (px *PeerExchange) lockAndReadOwnStatus(known peer.MachinesVersion) peer.Status {
	px.Lock()
	defer px.Unlock()
	return px.OwnStatus(known)
}

// ApplyPeerStatus applies a sibling's status. If the status is the response to this
// controller's own, sentAt is when that was sent, and the status contains the machines that
// have changed since the version that this controller knows. Otherwise sentAt is zero. It
// takes the lock.
func (px *PeerExchange) ApplyPeerStatus(status peer.Status, sentAt time.Time) {
	px.Lock()
	defer px.Unlock()
	s := px.Siblings[status.Label]
	if s == nil {
		return
	}
	now := px.Now()
	if !sentAt.IsZero() {
		px.applyAttestation(s, &status, sentAt, now)
		px.applyPeerMachines(s, &status, now)
	}
	status.Machines = nil
	s.Status, s.receivedAt = status, now
	if px.Membership != nil && status.FencingToken > px.Membership.FencingToken {
		cluster.Wake(px.MembershipWake)
	}
}

// applyPeerMachines applies the changed machines of a sibling, or replaces all of its known
// machines. Changes since a version of another membership or incarnation can't be applied to
// the known machines and are ignored. The lock is held.
func (px *PeerExchange) applyPeerMachines(s *Sibling, status *peer.Status, now time.Time) {
	version := peer.MachinesVersion{Number: status.MachinesVersionNumber, FencingToken: status.FencingToken, Incarnation: status.Incarnation}
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
			px.OnMachineSilent(machine.Name, now.Add(-machine.SilentFor))
		}
	}
	s.MachinesVersion, s.machinesConfirmedAt = version, now
}

// applyAttestation records what a sibling attests about cancellations, and updates the time up
// to which all cancellations are known by the attestations of all siblings. The lock is held.
func (px *PeerExchange) applyAttestation(s *Sibling, status *peer.Status, sentAt, now time.Time) {
	if !status.ReportsCancellations || status.Incarnation == 0 {
		s.Attestation = membership.Attestation{}
		return
	}
	s.Attestation = s.Attestation.Update(status.Incarnation, status.LastCancellation, sentAt, now)
	attestations := make([]membership.Attestation, 0, len(px.Siblings))
	for _, sibling := range px.Siblings {
		attestations = append(attestations, sibling.Attestation)
	}
	if until := membership.CancellationsKnownUntil(px.Syncer.LastReadAt(), px.Cache.Revision(), attestations); until.After(px.attestedUntil) {
		px.attestedUntil = until
	}
}

// CancellationsKnownUntil returns the time up to which every cancellation that was confirmed
// to a user is in the cache: the time of the last read of the store or the time that the
// siblings attest, whichever is later. The lock is held.
func (px *PeerExchange) CancellationsKnownUntil() time.Time {
	if lastRead := px.Syncer.LastReadAt(); lastRead.After(px.attestedUntil) {
		return lastRead
	}
	return px.attestedUntil
}

// isFencedOut reports whether a sibling that can read the store knows a newer membership. If
// so, this controller should redirect its workers. The lock is held.
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

// SiblingReceivesHeartbeats reports whether any sibling receives messages from one of its machines.
// The lock is held.
func (px *PeerExchange) SiblingReceivesHeartbeats() bool {
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

// TimeSinceHeard returns how long ago each machine was last heard by this controller, or
// confirmed as not silent by a sibling that owns it, whichever was later. A sibling's report of
// a silent machine does not count: OnMachineSilent was called for it. The lock is held.
func (px *PeerExchange) TimeSinceHeard(now time.Time) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for machine, w := range px.workers.ByMachine {
		if !w.LastHeardAt.IsZero() {
			ages[machine] = now.Sub(w.LastHeardAt)
		}
	}
	for _, sibling := range px.Siblings {
		age := now.Sub(sibling.machinesConfirmedAt)
		if sibling.machinesConfirmedAt.IsZero() || age > tuning.PeerViewMaxAgeFactor*tuning.PeerFresh {
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
