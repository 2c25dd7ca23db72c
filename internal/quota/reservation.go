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
// guarantees. It is written by the leader alone and read by every controller, so
// that neither a restart of a controller nor a failover begins the wait anew. It
// belongs to no membership.
type Reservations struct {
	Teams map[string]Reservation `cbor:"t,omitempty"` // by name
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
	shortfallSince time.Time // since when work within the guarantee lacks room; zero: it does not
	satisfiedSince time.Time // since when none does, while a reservation is stored
}

// ApplyReservations enters the stored record; nil says that there is none. One
// that can't be read counts as none: guarantees are then reclaimed as by a
// controller that has just begun.
func (m *Manager) ApplyReservations(raw wire.Raw) error {
	m.reservations = Reservations{}
	if raw == nil {
		return nil
	}
	var decoded Reservations
	if err := wire.Unmarshal(raw, &decoded); err != nil {
		return fmt.Errorf("reservations: %w", err)
	}
	for team, r := range decoded.Teams {
		if !r.Amount().finite() || r.CPUs < 0 || r.GPUs < 0 {
			return fmt.Errorf("reservations: %w: %s waits for %+v", ErrDamaged, team, r.Amount())
		}
	}
	m.reservations = decoded
	return nil
}

// Reserved is a team's stored reservation.
func (m *Manager) Reserved(team string) (Reservation, bool) {
	r, ok := m.reservations.Teams[team]
	return r, ok
}

// MayReclaim reports whether a team has waited so long for room within its
// guarantee that others' borrowed work is preempted for it: by then the cloud has
// had the time to bring room.
func (m *Manager) MayReclaim(team string, now time.Time) bool {
	r, ok := m.Reserved(team)
	return ok && now.Sub(time.UnixMilli(r.Since)) > tuning.GuaranteePreemptAfter
}

// Reserve lets the leader decide what is stored next: short is the room that each
// team's work lacks within its guarantee. It is nil while the stored record
// will do. After a result that is not nil, nothing is decided until
// ReservationsWritten.
func (m *Manager) Reserve(now time.Time, short map[string]Amount) *Reservations {
	if !m.options.Reservations || m.reservationWriteInFlight || now.Sub(m.reservationDecidedAt) < tuning.ReservePause {
		return nil
	}
	next := Reservations{Teams: maps.Clone(m.reservations.Teams)}
	if next.Teams == nil {
		next.Teams = map[string]Reservation{}
	}
	changed := false
	for _, l := range m.ledgers {
		if l.team.Guaranteed() {
			changed = l.updateReservation(now, short[l.team.Name], next.Teams) || changed
		}
	}
	for team := range next.Teams {
		if l := m.byTeam[team]; l == nil || !l.team.Guaranteed() {
			delete(next.Teams, team) // the operators have taken the guarantee away
			changed = true
		}
	}
	if !changed {
		return nil
	}
	m.reservationWriteInFlight, m.reservationDecidedAt = true, now
	return &next
}

// ReservationsWritten ends a write of the reservations.
func (m *Manager) ReservationsWritten() { m.reservationWriteInFlight = false }

// updateReservation makes, changes or drops the team's reservation; false if it
// stays as it is.
func (l *Ledger) updateReservation(now time.Time, shortfall Amount, byTeam map[string]Reservation) bool {
	if shortfall.IsZero() {
		return l.dropReservation(now, byTeam)
	}
	w := &l.waitTimes
	w.satisfiedSince = time.Time{}
	if w.shortfallSince.IsZero() {
		w.shortfallSince = now
	}
	sinceMs := w.shortfallSince.UnixMilli()
	if stored, ok := byTeam[l.team.Name]; ok {
		if !shortfall.differsByFactorOfTwo(stored.Amount()) {
			return false // smaller changes are not worth a write
		}
		sinceMs = stored.Since
	} else if now.Sub(w.shortfallSince) < tuning.ReserveAfter {
		return false // most waits are over in a moment
	}
	byTeam[l.team.Name] = Reservation{CPUs: shortfall.CPUs, GPUs: shortfall.GPUs, Since: sinceMs}
	return true
}

// dropReservation drops the team's reservation once no work of it has lacked room
// for a time; false if it stays as it is.
func (l *Ledger) dropReservation(now time.Time, byTeam map[string]Reservation) bool {
	w := &l.waitTimes
	w.shortfallSince = time.Time{}
	_, stored := byTeam[l.team.Name]
	if stored && w.satisfiedSince.IsZero() {
		w.satisfiedSince = now
	}
	if !stored || now.Sub(w.satisfiedSince) < tuning.ReserveHold {
		return false
	}
	w.satisfiedSince = time.Time{}
	delete(byTeam, l.team.Name)
	return true
}
