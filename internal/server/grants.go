package server

import (
	"errors"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
)

// A team's limit is shared out to the members as grants. A node claims on its
// own machines within its grant and guards the claim by the team's key without
// writing it, so claims of different nodes do not race. The safety argument is
// in docs/protocol-notes.md.

// inDoubtWrite is a write of claims whose answer was lost: it may yet be applied, so
// it counts until one of its guards has changed.
type inDoubtWrite struct {
	guards map[string]uint64
	team   string
	need   jobs.Resources
}

// limited reports whether a team has a limit at all.
func limited(t config.Team) bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// teams sums up limits, use and what each node may still claim; mu is held.
func (n *Node) teams() map[string]*place.Team {
	for i := 0; i < len(n.inDoubt); {
		dead := false
		for key, version := range n.inDoubt[i].guards {
			dead = dead || n.cache.Version(key) != version
		}
		if dead {
			n.inDoubt = append(n.inDoubt[:i], n.inDoubt[i+1:]...)
		} else {
			i++
		}
	}
	held := n.heldByOwner()
	out := map[string]*place.Team{}
	for _, t := range n.set.Params.Teams {
		team := &place.Team{Used: n.table.Used[t.Name], Max: jobs.Resources{CPUs: t.CPUsMax, GPUs: t.GPUsMax},
			Guaranteed: jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs}}
		out[t.Name] = team
		if !limited(t) {
			continue
		}
		team.Left = map[string]jobs.Resources{}
		rec := n.table.Team[t.Name]
		if rec.Token != n.member.Token || rec.Frozen {
			continue
		}
		for label, g := range rec.Grants {
			team.Left[label] = g.Resources().Sub(held[label][t.Name])
		}
		mine := team.Left[n.self.Label].Sub(n.inFlightClaims[t.Name])
		for _, d := range n.inDoubt {
			if d.team == t.Name {
				mine = mine.Sub(d.need)
			}
		}
		team.Left[n.self.Label] = mine
	}
	return out
}

// heldByOwner is what the claims on each node's machines take; mu is held.
func (n *Node) heldByOwner() heldByOwner {
	for host := range n.view.touched {
		n.sumClaims(host)
	}
	return n.view.held
}

// charge adds to a write of claims the guard on the team's key and, for claims
// on others' machines, the change that hands their owners that part of this
// node's grant; false if the grant does not cover it. mu is held.
func (n *Node) charge(t *txn, team string, moved map[string]jobs.Resources) bool {
	cfg, _ := n.set.Team(team)
	if !limited(cfg) {
		return true
	}
	key := jobs.TeamKey(team)
	rec := n.table.Team[team]
	if rec.Token != n.member.Token || rec.Frozen {
		return false
	}
	t.guards[key] = n.cache.Version(key)
	t.claims = team
	if len(moved) > 0 {
		next := jobs.TeamRecord{Token: rec.Token, Grants: map[string]jobs.Grant{}}
		for label, g := range rec.Grants {
			next.Grants[label] = g
		}
		add := func(label string, r jobs.Resources) {
			next.Grants[label] = jobs.GrantOf(next.Grants[label].Resources().Add(r))
		}
		for label, r := range moved {
			add(label, r)
			add(n.self.Label, jobs.Resources{}.Sub(r))
		}
		t.set(key, next)
		t.team = team
		n.busyTeam[team] = true
	}
	n.inFlightClaims[team] = n.inFlightClaims[team].Add(t.need)
	return true
}

// settled takes the claims of a write out of those in flight; mu is held.
func (n *Node) settled(t *txn, err error) {
	if t.claims == "" {
		return
	}
	n.inFlightClaims[t.claims] = n.inFlightClaims[t.claims].Sub(t.need)
	if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrRefused) && !errors.Is(err, store.ErrBad) {
		// Guards against a late application beside claims that took its place.
		n.inDoubt = append(n.inDoubt, inDoubtWrite{t.guards, t.claims, t.need})
	}
}

// shareOut lets the leader share out the teams' limits: at once under a new
// membership; and in two steps when work waits while the limit is not used up.
// The first step freezes the claims of the team; what every node holds is then
// known, and the second shares out the rest. mu is held.
func (n *Node) shareOut(now time.Time, most *float64) []*txn {
	if !n.leads() {
		return nil
	}
	var out []*txn
	var held heldByOwner
	for _, cfg := range n.set.Params.Teams {
		key := jobs.TeamKey(cfg.Name)
		rec := n.table.Team[cfg.Name]
		fresh := rec.Token != n.member.Token
		if !limited(cfg) || n.busyTeam[cfg.Name] || *most < 1 && !fresh {
			continue
		}
		next := jobs.TeamRecord{Token: n.member.Token}
		switch {
		case fresh, rec.Frozen && n.cache.Revision() >= n.cache.Version(key):
			// Nobody claims before this is stored, and every claim before is
			// in the cache.
			if held == nil {
				held = n.heldByOwner()
			}
			next.Grants = n.grants(cfg, held)
			delete(n.shortSince, cfg.Name)
		case !rec.Frozen && !n.shortSince[cfg.Name].IsZero() && now.Sub(n.sharedAt[cfg.Name]) > tuning.ShareOutPause:
			next.Frozen = true
			n.sharedAt[cfg.Name] = now
			n.log.Info("team's limit is shared out anew", "team", cfg.Name)
		default:
			continue
		}
		t := n.newTxn("share")
		if fresh {
			t.class = store.ClassCancel // all claims wait for it
		}
		t.guards[key] = n.cache.Version(key)
		t.set(key, next)
		t.team = cfg.Name
		n.busyTeam[cfg.Name] = true
		*most--
		out = append(out, t)
	}
	return out
}

// grants shares a team's limit out: what each node holds, and the rest in
// equal parts, two of them to the leader, which claims for jobs too large for
// one node. Where a part would not hold the largest waiting job, the leader
// gets all the rest and claims for all. mu is held.
func (n *Node) grants(cfg config.Team, held heldByOwner) map[string]jobs.Grant {
	rest := jobs.Resources{CPUs: cfg.CPUsMax, GPUs: cfg.GPUsMax}
	for _, by := range held {
		rest = rest.Sub(by[cfg.Name])
	}
	rest = rest.Max(jobs.Resources{})
	part := rest.Times(1 / float64(len(n.member.Nodes)+1))
	for _, j := range n.table.Open {
		if j.Team != cfg.Name || j.Counts[jobs.Pending] == 0 {
			continue
		}
		need := j.Need.Times(float64(j.Counts[jobs.Pending]))
		if cfg.CPUsMax > 0 && need.CPUs > part.CPUs || cfg.GPUsMax > 0 && need.GPUs > part.GPUs {
			part = jobs.Resources{}
			break
		}
	}
	out := map[string]jobs.Grant{}
	for _, m := range n.member.Nodes {
		give := part
		if m.Label == n.member.Leader.Label {
			give = rest.Sub(part.Times(float64(len(n.member.Nodes) - 1)))
		}
		out[m.Label] = jobs.GrantOf(held[m.Label][cfg.Name].Add(give))
	}
	return out
}

// noteGrantShortages remembers since when work waits for a new share of its team's
// limit; mu is held.
func (n *Node) noteGrantShortages(short map[string]bool, now time.Time) {
	for team := range n.shortSince {
		if !short[team] {
			delete(n.shortSince, team)
		}
	}
	for team := range short {
		rec := n.table.Team[team]
		if rec.Token != n.member.Token || rec.Frozen {
			// Guards against sharing out again what has just been shared out.
			delete(n.shortSince, team)
		} else if n.shortSince[team].IsZero() {
			n.shortSince[team] = now
		}
	}
}
