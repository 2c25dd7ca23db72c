package quota

import (
	"fmt"
	"time"

	"wheatspur/wire"
)

// Options switch what is not in every version.
type Options struct {
	// Transfers lets controllers give what they do not need to one that is short.
	Transfers bool
	// Reservations lets the leader store how long teams have waited for room
	// within their guarantees.
	Reservations bool
}

// Manager holds the ledgers of all teams of the settings, in their order.
type Manager struct {
	options Options
	ledgers []*Ledger
	byTeam  map[string]*Ledger

	reservations             Reservations // as stored
	reservationWriteInFlight bool         // a write of the reservations by this controller is under way
	reservationDecidedAt     time.Time    // of the last decision to write them
}

// NewManager returns a manager of the teams, with nothing stored.
func NewManager(teams []Team, o Options) *Manager {
	m := &Manager{}
	m.Configure(teams, o)
	return m
}

// Configure changes the settings. What is known of the teams that stay is kept.
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

// Ledgers lists the ledgers in the order of the settings.
func (m *Manager) Ledgers() []*Ledger { return m.ledgers }

// Ledger is the ledger of a team; nil if the team is not in the settings.
func (m *Manager) Ledger(team string) *Ledger { return m.byTeam[team] }

// Apply enters a team's stored record and its version; nil says that there is
// none any more. Records of teams that are not in the settings are left aside.
//
// A record that can't be read stops the team's admissions. Guards against
// admitting from the record before it, with a compare on the version of the one
// that could not be read.
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
	return l.Damage()
}
