package quota

import (
	"fmt"
	"time"

	"wheatspur/wire"
)

// Options enables optional features.
type Options struct {
	// Transfers lets controllers give share that they do not need to one that needs more.
	Transfers bool
	// Reservations lets the leader store since when teams have waited for capacity
	// within their guarantees.
	Reservations bool
}

// Manager holds the ledgers of all configured teams, in the order of the settings.
type Manager struct {
	options Options
	ledgers []*Ledger
	byTeam  map[string]*Ledger

	reservations             Reservations // as stored
	reservationWriteInFlight bool         // a write of the reservations by this controller is in flight
	reservationDecidedAt     time.Time    // when this controller last decided to write them
}

// NewManager returns a manager of the teams, without any stored records.
func NewManager(teams []Team, o Options) *Manager {
	m := &Manager{}
	m.Configure(teams, o)
	return m
}

// Configure replaces the settings. Teams that remain keep their state.
func (m *Manager) Configure(teams []Team, o Options) {
	known := m.byTeam
	m.options = o
	m.ledgers, m.byTeam = nil, map[string]*Ledger{}
	for _, t := range teams {
		l := known[t.Name]
		if l == nil {
			l = &Ledger{}
		}
		l.team, l.options = t, o
		l.checkErr = l.record.Check(t)
		m.byTeam[t.Name] = l
		m.ledgers = append(m.ledgers, l)
	}
}

// Ledgers returns the ledgers in the order of the settings.
func (m *Manager) Ledgers() []*Ledger { return m.ledgers }

// Ledger returns the ledger of a team, or nil if the team is not configured.
func (m *Manager) Ledger(team string) *Ledger { return m.byTeam[team] }

// Apply updates a team's stored record and its version; a nil raw means that the
// record does not exist. Records of teams that are not configured are ignored.
//
// A record that can't be decoded stops the team's admissions. Otherwise the
// controller would admit work from the previous record while its writes compare
// the version of the one that it could not decode, and would succeed.
func (m *Manager) Apply(team string, raw wire.Raw, version uint64) error {
	l := m.byTeam[team]
	if l == nil {
		return nil
	}
	l.record, l.decodeErr, l.checkErr, l.version = Record{}, nil, nil, version
	if raw == nil {
		return nil
	}
	if err := wire.Unmarshal(raw, &l.record); err != nil {
		l.record, l.decodeErr = Record{}, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	l.checkErr = l.record.Check(l.team)
	return l.DamageError()
}
