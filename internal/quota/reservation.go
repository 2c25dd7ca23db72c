package quota

import (
	"fmt"
	"maps"
	"time"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// ReservationsKey is the key of the record of all reservations.
const ReservationsKey = "w/reserved"

// Reservations is the stored form of the room that teams wait for within their
// guarantees. It is written by the leader alone and read by every node, so that
// neither a restart of a node nor a new leader begins the wait anew. It belongs
// to no membership.
type Reservations struct {
	Teams map[string]Reservation `cbor:"t,omitempty"`
}

// Reservation is the stored form of one team's: the room that it waits for, and
// since when, in Unix milliseconds.
type Reservation struct {
	_     struct{} `cbor:",toarray"`
	CPUs  float64
	GPUs  float64
	Since int64
}

// Amount is the room that is waited for.
func (r Reservation) Amount() Amount { return Amount{r.CPUs, r.GPUs} }

// waitTimes is what the leader remembers of a team between two decisions.
type waitTimes struct {
	lackingSince   time.Time // since when work within the guarantee lacks room; zero: it does not
	satisfiedSince time.Time // since when none does, while a reservation is stored
}

// ApplyReservations enters the stored record; nil says that there is none. One
// that can't be read counts as none: guarantees are then pressed as by a node
// that has just begun.
func (b *Manager) ApplyReservations(raw wire.Raw) error {
	b.reservations = Reservations{}
	if raw == nil {
		return nil
	}
	var read Reservations
	if err := wire.Unmarshal(raw, &read); err != nil {
		return fmt.Errorf("reservations: %w", err)
	}
	for team, r := range read.Teams {
		if !r.Amount().finite() || r.CPUs < 0 || r.GPUs < 0 {
			return fmt.Errorf("reservations: %w: %s waits for %+v", ErrDamaged, team, r.Amount())
		}
	}
	b.reservations = read
	return nil
}

// Reserved is a team's stored reservation.
func (b *Manager) Reserved(team string) (Reservation, bool) {
	r, ok := b.reservations.Teams[team]
	return r, ok
}

// MayReclaim reports whether a team has waited so long for room within its
// guarantee that others' borrowed work is stopped for it: by then the cloud has
// had the time to bring room.
func (b *Manager) MayReclaim(team string, now time.Time) bool {
	r, ok := b.reservations.Teams[team]
	return ok && now.Sub(time.UnixMilli(r.Since)) > tuning.GuaranteePreemptAfter
}

// Reserve lets the leader decide what is stored next: short is the room that each
// team's work lacks within its guarantee. It is nil while the stored record
// will do. After a result that is not nil, nothing is decided until
// ReservationsWritten.
func (b *Manager) Reserve(now time.Time, short map[string]Amount) *Reservations {
	if !b.options.Reservations || b.reservationWriteInFlight || now.Sub(b.reservationDecidedAt) < tuning.ReservePause {
		return nil
	}
	next := Reservations{Teams: maps.Clone(b.reservations.Teams)}
	if next.Teams == nil {
		next.Teams = map[string]Reservation{}
	}
	changed := false
	for _, l := range b.ledgers {
		if l.team.Guaranteed() {
			changed = l.updateReservation(now, short[l.team.Name], next.Teams) || changed
		}
	}
	for team := range next.Teams {
		if l := b.byTeam[team]; l == nil || !l.team.Guaranteed() {
			delete(next.Teams, team) // the operators have taken the guarantee away
			changed = true
		}
	}
	if !changed {
		return nil
	}
	b.reservationWriteInFlight, b.reservationDecidedAt = true, now
	return &next
}

// ReservationsWritten ends a write of the reservations.
func (b *Manager) ReservationsWritten() { b.reservationWriteInFlight = false }

// updateReservation makes, changes or drops the team's reservation; false if it stays as
// it is. A wait that has just begun or ended is not stored: most are over in a
// moment.
func (l *Ledger) updateReservation(now time.Time, lack Amount, teams map[string]Reservation) bool {
	name, r := l.team.Name, &l.waitTimes
	stored, ok := teams[name]
	if lack.IsZero() {
		r.lackingSince = time.Time{}
		if ok && r.satisfiedSince.IsZero() {
			r.satisfiedSince = now
		}
		if !ok || now.Sub(r.satisfiedSince) < tuning.ReserveHold {
			return false
		}
		r.satisfiedSince = time.Time{}
		delete(teams, name)
		return true
	}
	r.satisfiedSince = time.Time{}
	if r.lackingSince.IsZero() {
		r.lackingSince = now
	}
	if ok {
		if !lack.differsTwofold(stored.Amount()) {
			return false
		}
		teams[name] = Reservation{CPUs: lack.CPUs, GPUs: lack.GPUs, Since: stored.Since}
		return true
	}
	if now.Sub(r.lackingSince) < tuning.ReserveAfter {
		return false
	}
	teams[name] = Reservation{CPUs: lack.CPUs, GPUs: lack.GPUs, Since: r.lackingSince.UnixMilli()}
	return true
}

// differsTwofold reports whether an amount is twice another or half of it, in any
// resource: smaller changes are not worth a write.
func (a Amount) differsTwofold(b Amount) bool {
	far := func(x, y float64) bool { return max(x, y) > epsilon && max(x, y) >= 2*min(x, y) }
	return far(a.CPUs, b.CPUs) || far(a.GPUs, b.GPUs)
}
