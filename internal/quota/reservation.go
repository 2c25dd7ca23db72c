package quota

import (
	"fmt"
	"maps"
	"time"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// ReservationsKey is the key of the record that holds all reservations.
const ReservationsKey = "w/reserved"

// Reservations stores how much guaranteed capacity each team lacks, and since when. No
// capacity is set aside. Only the leader writes it, and every controller reads it, so that
// neither a restart of a controller nor a failover resets the waiting time. It does
// not belong to a membership.
type Reservations struct {
	Teams map[string]Reservation `cbor:"t,omitempty"` // by team name
}

// Reservation stores how much guaranteed capacity one team lacks, and since when, in
// Unix milliseconds.
type Reservation struct {
	_     struct{} `cbor:",toarray"`
	CPUs  float64
	GPUs  float64
	Since int64
}

// Amount returns the capacity that the team waits for.
func (r Reservation) Amount() Amount { return Amount{r.CPUs, r.GPUs} }

// waitTimes holds the leader's state of a team between two calls of PlanReservations.
type waitTimes struct {
	shortfallSince time.Time // since when work within the guarantee lacks capacity; zero: it does not
	satisfiedSince time.Time // since when no work lacks capacity while a reservation is stored
}

// ApplyReservations updates the stored record; a nil raw means that there is none.
// A record that can't be decoded or is invalid counts as none; guarantees are then
// reclaimed as if this controller had just started.
func (m *Manager) ApplyReservations(raw wire.Raw) error {
	m.reservations = Reservations{}
	if raw == nil {
		return nil
	}
	var decoded Reservations
	if err := wire.Unmarshal(raw, &decoded); err != nil {
		return fmt.Errorf("decoding reservations: %w", err)
	}
	for team, r := range decoded.Teams {
		if !r.Amount().finite() || r.CPUs < 0 || r.GPUs < 0 {
			return fmt.Errorf("invalid reservation: %w: team %s reserves %+v", ErrDamaged, team, r.Amount())
		}
	}
	m.reservations = decoded
	return nil
}

// Reserved returns a team's stored reservation.
func (m *Manager) Reserved(team string) (Reservation, bool) {
	r, ok := m.reservations.Teams[team]
	return r, ok
}

// MayReclaim reports whether a team has waited long enough for capacity within its
// guarantee for other teams' borrowed work to be preempted for it. By then the
// cloud has had time to provide machines.
func (m *Manager) MayReclaim(team string, now time.Time) bool {
	r, ok := m.Reserved(team)
	return ok && now.Sub(time.UnixMilli(r.Since)) > tuning.GuaranteePreemptAfter
}

// PlanReservations lets the leader decide which reservations to store next. shortfalls
// is the capacity that each team's work lacks within its guarantee. The result is nil if
// the stored record needs no change. After a result that is not nil, PlanReservations returns
// nil until ResolveReservationsWrite is called.
func (m *Manager) PlanReservations(now time.Time, shortfalls map[string]Amount) *Reservations {
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
			changed = l.updateReservation(now, shortfalls[l.team.Name], next.Teams) || changed
		}
	}
	for team := range next.Teams {
		if l := m.byTeam[team]; l == nil || !l.team.Guaranteed() {
			delete(next.Teams, team) // the operators have removed the guarantee
			changed = true
		}
	}
	if !changed {
		return nil
	}
	m.reservationWriteInFlight, m.reservationDecidedAt = true, now
	return &next
}

// ResolveReservationsWrite ends a write of the reservations, whatever its outcome.
func (m *Manager) ResolveReservationsWrite() { m.reservationWriteInFlight = false }

// updateReservation adds, changes or drops the team's reservation in byTeam and
// reports whether anything changed.
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
			return false // smaller changes do not justify a write
		}
		sinceMs = stored.Since
	} else if now.Sub(w.shortfallSince) < tuning.ReserveAfter {
		return false // most waits end before this and need no reservation
	}
	byTeam[l.team.Name] = Reservation{CPUs: shortfall.CPUs, GPUs: shortfall.GPUs, Since: sinceMs}
	return true
}

// dropReservation drops the team's reservation from byTeam once its work has not
// lacked capacity for tuning.ReserveHold. It reports whether anything changed.
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
