package quota

import (
	"fmt"

	"wheatspur/wire"
)

// Book holds the ledgers of all teams of the settings, in their order.
type Book struct {
	ledgers []*Ledger
	byTeam  map[string]*Ledger
}

// NewBook returns a book of the teams, with nothing stored.
func NewBook(teams []Team) *Book {
	b := &Book{byTeam: map[string]*Ledger{}}
	b.SetTeams(teams)
	return b
}

// SetTeams changes the teams' settings. What is known of the teams that stay is
// kept.
func (b *Book) SetTeams(teams []Team) {
	known := b.byTeam
	b.ledgers, b.byTeam = nil, map[string]*Ledger{}
	for _, t := range teams {
		l := known[t.Name]
		if l == nil {
			l = &Ledger{}
		}
		l.team = t
		b.byTeam[t.Name] = l
		b.ledgers = append(b.ledgers, l)
	}
}

// Ledgers lists the ledgers in the order of the settings.
func (b *Book) Ledgers() []*Ledger { return b.ledgers }

// Of is the ledger of a team; nil if the team is not in the settings.
func (b *Book) Of(team string) *Ledger { return b.byTeam[team] }

// Apply enters a team's stored record; nil says that there is none any more. A
// record that can't be read stops the team's admissions. Guards against
// admitting from the record before it, with the version of the one that could
// not be read as guard. Records of teams that are not in the settings are left
// aside.
func (b *Book) Apply(team string, raw wire.Raw) error {
	l := b.byTeam[team]
	if l == nil {
		return nil
	}
	l.record, l.damage = Record{}, nil
	if raw == nil {
		return nil
	}
	if err := wire.Unmarshal(raw, &l.record); err != nil {
		l.record, l.damage = Record{}, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return l.Damage()
}
