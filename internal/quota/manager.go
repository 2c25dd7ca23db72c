package quota

import (
	"fmt"
	"time"

	"wheatspur/wire"
)

// Options switch what is not in every version.
type Options struct {
	// Transfers lets nodes give what they do not need to one that is short.
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
	reservationWriteInFlight bool         // a write of the reservations by this node is under way
	reservationDecidedAt     time.Time    // of the last decision to write them
}

// NewManager returns a book of the teams, with nothing stored.
func NewManager(teams []Team, o Options) *Manager {
	b := &Manager{}
	b.Configure(teams, o)
	return b
}

// Configure changes the settings. What is known of the teams that stay is kept.
func (b *Manager) Configure(teams []Team, o Options) {
	known := b.byTeam
	b.options = o
	b.ledgers, b.byTeam = nil, map[string]*Ledger{}
	for _, t := range teams {
		l := known[t.Name]
		if l == nil {
			l = &Ledger{}
		}
		l.team, l.options = t, o
		l.checkErr = l.record.Check(t)
		b.byTeam[t.Name] = l
		b.ledgers = append(b.ledgers, l)
	}
}

// Ledgers lists the ledgers in the order of the settings.
func (b *Manager) Ledgers() []*Ledger { return b.ledgers }

// Ledger is the ledger of a team; nil if the team is not in the settings.
func (b *Manager) Ledger(team string) *Ledger { return b.byTeam[team] }

// Apply enters a team's stored record and its version; nil says that there is
// none any more. A
// record that can't be read stops the team's admissions. Guards against
// admitting from the record before it, with the version of the one that could
// not be read as guard. Records of teams that are not in the settings are left
// aside.
func (b *Manager) Apply(team string, raw wire.Raw, version uint64) error {
	l := b.byTeam[team]
	if l == nil {
		return nil
	}
	l.record, l.decodeErr, l.checkErr, l.version = Record{}, nil, nil, version
	if raw == nil {
		return nil
	}
	if err := wire.Unmarshal(raw, &l.record); err != nil {
		l.record, l.decodeErr = Record{}, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	l.checkErr = l.record.Check(l.team)
	return l.Damage()
}
