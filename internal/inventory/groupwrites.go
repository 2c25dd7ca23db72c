package inventory

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"wheatspur/internal/tuning"
)

// RecordChange is one change of a machine's record.
type RecordChange struct {
	Machine string
	Before  *Record // what the change was decided on; nil: not stored
	After   *Record // nil: drop
}

// GroupWrite is one transaction that stores several changes of machines.
type GroupWrite struct {
	Key     string
	Changes int    // machines of the group that change
	Group   *Group // nil: drop
	// SplitOff holds the new keys of machines that leave the group in the same
	// transaction, because it is larger than the state service takes.
	SplitOff map[string]*Group
}

// OversizeGroups lists keys whose groups are larger than limit, at most some: an
// earlier version, or earlier settings, wrote them.
func (g *Inventory) OversizeGroups(limit, most int) []string {
	var out []string
	for key, hosts := range g.groups {
		size := 0
		for host := range hosts {
			size += g.Machines[host].bytes(host)
		}
		if size > limit && strings.HasPrefix(key, GroupPrefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out[:min(len(out), most)]
}

// PlanWrites turns changes of machines into changes of keys. What was decided on
// a record that has changed since is left out. A new machine goes to a group
// that stays below limit bytes of JSON. A group that is larger, whether one of
// its machines changes or it is named in cut, is cut in one transaction of at
// most ops keys, so that each machine is in exactly one group at any time.
// Those with the most changes come first.
func (g *Inventory) PlanWrites(list []RecordChange, cut []string, limit, ops int) []GroupWrite {
	edit := g.newGroupEdit(limit, ops)
	for _, c := range list {
		edit.apply(c)
	}
	for _, key := range cut {
		edit.open(key)
	}
	writes := edit.writes()
	sortWrites(writes)
	return writes
}

// groupEdit collects changes of machines by the group that they are made in.
type groupEdit struct {
	inventory *Inventory
	limit     int // bytes of JSON in a group
	ops       int // keys in a transaction

	touched map[string]map[string]Record // groups as they will be
	changes map[string]int               // machines of each that change
	next    int                          // number of the next new group
	last    string                       // the group that takes new machines, "" at first
}

func (g *Inventory) newGroupEdit(limit, ops int) *groupEdit {
	e := &groupEdit{
		inventory: g,
		limit:     limit,
		ops:       ops,
		touched:   map[string]map[string]Record{},
		changes:   map[string]int{},
	}
	for key := range g.groups {
		n, err := strconv.Atoi(strings.TrimPrefix(key, GroupPrefix))
		if err == nil && n >= e.next {
			e.next, e.last = n+1, key
		}
	}
	return e
}

// newKey is the key of a new group.
func (e *groupEdit) newKey() string {
	key := GroupKey(e.next)
	e.next++
	return key
}

// open returns the machines of a group, to be changed.
func (e *groupEdit) open(key string) map[string]Record {
	machines := e.touched[key]
	if machines == nil {
		stored := e.inventory.groups[key]
		machines = make(map[string]Record, len(stored)+1)
		for host := range stored {
			machines[host] = e.inventory.Machines[host]
		}
		e.touched[key] = machines
	}
	return machines
}

// apply makes one change, unless the record has changed since it was decided.
func (e *groupEdit) apply(c RecordChange) {
	was, known := e.inventory.Machines[c.Machine]
	if known != (c.Before != nil) || known && was != *c.Before {
		return
	}
	key := e.inventory.groupKeys[c.Machine]
	if c.After == nil {
		delete(e.open(key), c.Machine)
		e.changes[key]++
		return
	}
	if grouped := known && strings.HasPrefix(key, GroupPrefix); !grouped {
		if known {
			delete(e.open(key), c.Machine)
		}
		key = e.groupFor(c)
	}
	record := *c.After
	record.Reason = record.Reason[:min(len(record.Reason), reasonMax)]
	e.open(key)[c.Machine] = record
	e.changes[key]++
}

// groupFor is the key of a group with room for a machine that is in none.
func (e *groupEdit) groupFor(c RecordChange) string {
	if e.last == "" || !fits(e.open(e.last), *c.After, c.Machine, e.limit) {
		e.last = e.newKey()
	}
	return e.last
}

// writes lists a transaction for each group that was opened.
func (e *groupEdit) writes() []GroupWrite {
	out := make([]GroupWrite, 0, len(e.touched))
	for key, machines := range e.touched {
		if len(machines) == 0 && len(e.inventory.groups[key]) == 0 {
			continue // it is not stored
		}
		out = append(out, e.write(key, machines))
	}
	return out
}

func (e *groupEdit) write(key string, machines map[string]Record) GroupWrite {
	w := GroupWrite{Key: key, Changes: e.changes[key]}
	if len(machines) == 0 {
		return w
	}
	parts := split(machines, e.limit, e.ops)
	w.Group = &Group{Machines: parts[0]}
	if len(parts) > 1 {
		w.SplitOff = make(map[string]*Group, len(parts)-1)
	}
	for _, part := range parts[1:] {
		w.SplitOff[e.newKey()] = &Group{Machines: part}
	}
	return w
}

// sortWrites puts the groups with the most changes first. If machines move
// from the earlier layout, dropped keys come last: a machine that moves stands
// in its new key before it leaves the old one.
func sortWrites(writes []GroupWrite) {
	moves := slices.ContainsFunc(writes, func(w GroupWrite) bool {
		return strings.HasPrefix(w.Key, SingleMachinePrefix)
	})
	sort.Slice(writes, func(a, b int) bool {
		x, y := &writes[a], &writes[b]
		if moves && (x.Group == nil) != (y.Group == nil) {
			return x.Group != nil
		}
		if x.Changes != y.Changes {
			return x.Changes > y.Changes
		}
		return x.Key < y.Key
	})
}

// split divides a group's machines into at most most parts that stay below
// limit, and drops their reasons where there is no room for them.
func split(machines map[string]Record, limit, most int) []map[string]Record {
	if bytesWithReasons(machines) <= limit {
		return []map[string]Record{machines}
	}
	hosts := make([]string, 0, len(machines))
	for host := range machines {
		hosts = append(hosts, host)
	}
	sort.Strings(hosts)
	part := map[string]Record{}
	parts := []map[string]Record{part}
	used := 0
	for _, host := range hosts {
		record := machines[host]
		record.Reason = ""
		size := record.bytes(host)
		if used > 0 && used+size > limit && len(parts) < most {
			part = map[string]Record{}
			parts = append(parts, part)
			used = 0
		}
		part[host] = record
		used += size
	}
	return parts
}

// bytesWithReasons bounds the JSON form of a group's machines.
func bytesWithReasons(machines map[string]Record) int {
	size := 0
	for host, record := range machines {
		size += record.bytes(host)
		if record.Reason != "" {
			size += len(record.Reason) + reasonOverhead
		}
	}
	return size
}

// fits reports whether a group can take one machine more.
func fits(machines map[string]Record, added Record, host string, limit int) bool {
	size := added.bytes(host)
	for other, record := range machines {
		size += record.bytes(other)
	}
	return len(machines) < tuning.MachinesPerGroup && size <= limit
}
