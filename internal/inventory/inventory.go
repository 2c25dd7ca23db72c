package inventory

import (
	"fmt"
	"slices"
	"sort"
	"strconv"
	"strings"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Key prefixes of machine records.
const (
	// GroupPrefix starts the keys of groups of machine records: a record for
	// each machine would take the whole budget of changes for a minute when a
	// fleet starts.
	GroupPrefix = jobs.Root + "fleet/"
	// SingleMachinePrefix starts the keys of an earlier layout, one record a machine.
	// Such a record is read, and moves into a group with its next change.
	SingleMachinePrefix = jobs.Root + "host/"
)

// GroupKey is the key of a group of machine records.
func GroupKey(n int) string { return fmt.Sprintf("%s%06d", GroupPrefix, n) }

// Phase is the stored state of a machine.
type Phase string

// Phases of a machine.
const (
	Active     Phase = "in"       // takes tasks
	Draining   Phase = "draining" // takes no new tasks; goes back when empty
	Terminated Phase = "returned" // surely gone: proof for every claim on it
)

// Event changes a machine's phase.
type Event string

// Events of a machine.
const (
	EventDrain      Event = "drain"
	EventTerminated Event = "gone" // return answered, or listed as failed
)

// Next is the one function that changes a machine's phase.
func (p Phase) Next(e Event) (Phase, error) {
	switch {
	case p == Active && e == EventDrain:
		return Draining, nil
	case e == EventTerminated:
		return Terminated, nil
	}
	return p, fmt.Errorf("machine: no %s in phase %s", e, p)
}

// Record is the stored form of a machine.
type Record struct {
	MachineType string         `cbor:"r"`
	Zone        string         `cbor:"z"`
	Spot        bool           `cbor:"s,omitempty"`
	Role        placement.Role `cbor:"o"`
	Phase       Phase          `cbor:"p"`
	Reason      string         `cbor:"w,omitempty"` // of the last change, for operators
}

// bytes bounds the JSON form of the record in its group, whatever becomes of
// its role and phase; the reason is kept where there is room.
func (r Record) bytes(host string) int {
	return len(host) + len(r.MachineType) + len(r.Zone) + recordBytes
}

const (
	recordBytes    = 68 // all but the names and the reason
	reasonMax      = 60 // bytes of a reason that are kept
	reasonOverhead = 10 // around it
)

// Group is the stored form of several machines.
type Group struct {
	Machines map[string]Record `cbor:"m"`
}

// Inventory is what is stored of all machines, with the key of each. It is fed
// by the cache and changed by nothing else.
type Inventory struct {
	Machines  map[string]Record
	groupKeys map[string]string          // of each machine
	groups    map[string]map[string]bool // machines of each key

	// OnChange is told of machines whose record has changed, has come or is gone.
	OnChange func(host string)
}

// NewInventory returns an empty register.
func NewInventory() *Inventory {
	return &Inventory{Machines: map[string]Record{}, groupKeys: map[string]string{}, groups: map[string]map[string]bool{}, OnChange: func(string) {}}
}

// KeyOf is the key that holds the machine's record, "" if it has none.
func (g *Inventory) KeyOf(host string) string { return g.groupKeys[host] }

// Apply enters a stored value, nil if the key is gone.
func (g *Inventory) Apply(key string, raw wire.Raw) error {
	machines, err := decodeMachines(key, raw)
	if err != nil {
		return err
	}
	g.removeMissing(key, machines)
	g.add(key, machines)
	return nil
}

// decodeMachines reads the machines of a key, of either layout.
func decodeMachines(key string, raw wire.Raw) (map[string]Record, error) {
	if raw == nil {
		return nil, nil
	}
	if host, single := strings.CutPrefix(key, SingleMachinePrefix); single {
		var record Record
		err := wire.Unmarshal(raw, &record)
		return map[string]Record{host: record}, err
	}
	var group Group
	err := wire.Unmarshal(raw, &group)
	return group.Machines, err
}

// removeMissing forgets the machines of a key that it holds no more.
func (g *Inventory) removeMissing(key string, machines map[string]Record) {
	for host := range g.groups[key] {
		if _, still := machines[host]; !still && g.groupKeys[host] == key {
			delete(g.Machines, host)
			delete(g.groupKeys, host)
			g.OnChange(host)
		}
	}
	delete(g.groups, key)
}

// add takes in the machines that a key holds.
func (g *Inventory) add(key string, machines map[string]Record) {
	if len(machines) > 0 {
		g.groups[key] = make(map[string]bool, len(machines))
	}
	for host, record := range machines {
		if strings.HasPrefix(key, SingleMachinePrefix) && strings.HasPrefix(g.groupKeys[host], GroupPrefix) {
			continue // it has moved; its former key is about to go
		}
		old, known := g.Machines[host]
		g.Machines[host], g.groupKeys[host] = record, key
		if !known || old != record {
			g.OnChange(host)
		}
		g.groups[key][host] = true
	}
}

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
