package fleet

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Key prefixes of machine records.
const (
	// GroupPrefix starts the keys of groups of machine records: a record for
	// each machine would take the whole budget of changes for a minute when a
	// fleet starts.
	GroupPrefix = jobs.Root + "fleet/"
	// HostPrefix starts the keys of an earlier layout, one record a machine.
	// Such a record is read, and moves into a group with its next change.
	HostPrefix = jobs.Root + "host/"
)

// GroupKey is the key of a group of machine records.
func GroupKey(n int) string { return fmt.Sprintf("%s%06d", GroupPrefix, n) }

// Phase is the stored state of a machine.
type Phase string

// Phases of a machine.
const (
	In       Phase = "in"       // takes tasks
	Draining Phase = "draining" // takes no new tasks; goes back when empty
	Returned Phase = "returned" // surely gone: proof for every claim on it
)

// HostEvent changes a machine's phase.
type HostEvent string

// Events of a machine.
const (
	Drain HostEvent = "drain"
	Gone  HostEvent = "gone" // return answered, or listed as failed
)

// Next is the one function that changes a machine's phase.
func (p Phase) Next(e HostEvent) (Phase, error) {
	switch {
	case p == In && e == Drain:
		return Draining, nil
	case e == Gone:
		return Returned, nil
	}
	return p, fmt.Errorf("machine: no %s in phase %s", e, p)
}

// Record is the stored form of a machine.
type Record struct {
	MachineType string     `cbor:"r"`
	Zone        string     `cbor:"z"`
	Spot        bool       `cbor:"s,omitempty"`
	Role        place.Role `cbor:"o"`
	Phase       Phase      `cbor:"p"`
	Why         string     `cbor:"w,omitempty"` // of the last change, for operators
}

// bytes bounds the JSON form of the record in its group, whatever becomes of
// its role and phase; the reason is kept where there is room.
func (r Record) bytes(host string) int {
	return len(host) + len(r.MachineType) + len(r.Zone) + recordBytes
}

const (
	recordBytes = 68 // all but the names and the reason
	whyMax      = 60 // bytes of a reason that are kept
	whyBytes    = 10 // around it
)

// Group is the stored form of several machines.
type Group struct {
	Machines map[string]Record `cbor:"m"`
}

// Register is what is stored of all machines, with the key of each. It is fed
// by the cache and changed by nothing else.
type Register struct {
	Hosts  map[string]Record
	keys   map[string]string          // of each machine
	groups map[string]map[string]bool // machines of each key

	// Moved is told of machines whose record has changed, has come or is gone.
	Moved func(host string)
}

// NewRegister returns an empty register.
func NewRegister() *Register {
	return &Register{Hosts: map[string]Record{}, keys: map[string]string{}, groups: map[string]map[string]bool{}, Moved: func(string) {}}
}

// Key is the key that holds the machine's record, "" if it has none.
func (g *Register) Key(host string) string { return g.keys[host] }

// Apply enters a stored value, nil if the key is gone.
func (g *Register) Apply(key string, raw wire.Raw) error {
	var now map[string]Record
	if raw != nil {
		var err error
		if host, old := strings.CutPrefix(key, HostPrefix); old {
			var r Record
			err = wire.Unmarshal(raw, &r)
			now = map[string]Record{host: r}
		} else {
			var v Group
			err = wire.Unmarshal(raw, &v)
			now = v.Machines
		}
		if err != nil {
			return err
		}
	}
	for host := range g.groups[key] {
		if _, still := now[host]; !still && g.keys[host] == key {
			delete(g.Hosts, host)
			delete(g.keys, host)
			g.Moved(host)
		}
	}
	delete(g.groups, key)
	if len(now) > 0 {
		g.groups[key] = make(map[string]bool, len(now))
	}
	for host, r := range now {
		if strings.HasPrefix(key, HostPrefix) && strings.HasPrefix(g.keys[host], GroupPrefix) {
			continue // it has moved; its former key is about to go
		}
		old, known := g.Hosts[host]
		g.Hosts[host], g.keys[host] = r, key
		if !known || old != r {
			g.Moved(host)
		}
		g.groups[key][host] = true
	}
	return nil
}

// Change is one change of a machine's record.
type Change struct {
	Host string
	Was  *Record // what the change was decided on; nil: not stored
	Now  *Record // nil: drop
}

// Write is one transaction that stores several changes of machines.
type Write struct {
	Key     string
	Changes int    // machines of the group that change
	V       *Group // nil: drop
	// Cut holds the new keys of machines that leave the group in the same
	// transaction, because it is larger than the state service takes.
	Cut map[string]*Group
}

// Oversize lists keys whose groups are larger than limit, at most some: an
// earlier version, or earlier settings, wrote them.
func (g *Register) Oversize(limit, most int) []string {
	var out []string
	for key, hosts := range g.groups {
		size := 0
		for host := range hosts {
			size += g.Hosts[host].bytes(host)
		}
		if size > limit && strings.HasPrefix(key, GroupPrefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out[:min(len(out), most)]
}

// Writes turns changes of machines into changes of keys. What was decided on
// a record that has changed since is left out. A new machine goes to a group
// that stays below limit bytes of JSON. A group that is larger, whether one of
// its machines changes or it is named in cut, is cut in one transaction of at
// most ops keys, so that each machine is in exactly one group at any time.
// Those with the most changes come first.
func (g *Register) Writes(list []Change, cut []string, limit, ops int) []Write {
	touched, changes := map[string]map[string]Record{}, map[string]int{}
	open := func(key string) map[string]Record {
		if touched[key] == nil {
			touched[key] = make(map[string]Record, len(g.groups[key])+1)
			for host := range g.groups[key] {
				touched[key][host] = g.Hosts[host]
			}
		}
		return touched[key]
	}
	next, last := 0, ""
	for key := range g.groups {
		if n, err := strconv.Atoi(strings.TrimPrefix(key, GroupPrefix)); err == nil && n >= next {
			next, last = n+1, key
		}
	}
	for _, c := range list {
		was, known := g.Hosts[c.Host]
		if known != (c.Was != nil) || known && was != *c.Was {
			continue
		}
		key := g.keys[c.Host]
		switch {
		case c.Now == nil:
			delete(open(key), c.Host)
			changes[key]++
			continue
		case known && strings.HasPrefix(key, GroupPrefix):
		case known:
			delete(open(key), c.Host)
			fallthrough
		default:
			if last == "" || !fits(open(last), *c.Now, c.Host, limit) {
				last = GroupKey(next)
				next++
			}
			key = last
		}
		r := *c.Now
		r.Why = r.Why[:min(len(r.Why), whyMax)]
		open(key)[c.Host] = r
		changes[key]++
	}
	for _, key := range cut {
		open(key)
	}
	out := make([]Write, 0, len(touched))
	for key, m := range touched {
		w := Write{Key: key, Changes: changes[key]}
		if len(m) > 0 {
			parts := split(m, limit, ops)
			w.V = &Group{Machines: parts[0]}
			for _, p := range parts[1:] {
				if w.Cut == nil {
					w.Cut = map[string]*Group{}
				}
				w.Cut[GroupKey(next)] = &Group{Machines: p}
				next++
			}
		} else if len(g.groups[key]) == 0 {
			continue
		}
		out = append(out, w)
	}
	// A machine that moves stands in its new key before it leaves the old one.
	moves := false
	for _, w := range out {
		moves = moves || strings.HasPrefix(w.Key, HostPrefix)
	}
	sort.Slice(out, func(a, b int) bool {
		if moves && (out[a].V == nil) != (out[b].V == nil) {
			return out[a].V != nil
		}
		if out[a].Changes != out[b].Changes {
			return out[a].Changes > out[b].Changes
		}
		return out[a].Key < out[b].Key
	})
	return out
}

// split divides a group's machines into at most most parts that stay below
// limit, and drops their reasons where there is no room for them.
func split(m map[string]Record, limit, most int) []map[string]Record {
	hosts := make([]string, 0, len(m))
	size, why := 0, 0
	for h, r := range m {
		hosts = append(hosts, h)
		size += r.bytes(h)
		if r.Why != "" {
			why += len(r.Why) + whyBytes
		}
	}
	if size+why <= limit {
		return []map[string]Record{m}
	}
	sort.Strings(hosts)
	parts, used := []map[string]Record{{}}, 0
	for _, h := range hosts {
		r := m[h]
		r.Why = ""
		if used += r.bytes(h); used > limit && used > r.bytes(h) && len(parts) < most {
			parts = append(parts, map[string]Record{})
			used = r.bytes(h)
		}
		parts[len(parts)-1][h] = r
	}
	return parts
}

func fits(m map[string]Record, r Record, host string, limit int) bool {
	size := r.bytes(host)
	for h, v := range m {
		size += v.bytes(h)
	}
	return len(m) < tuning.GroupMax && size <= limit
}
