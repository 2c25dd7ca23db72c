package inventory

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"wheatspur/internal/tuning"
)

// RecordChange is a change of a machine's record.
type RecordChange struct {
	Machine string
	Before  *Record // the record that the change was decided on; nil: none was stored
	After   *Record // nil: delete
}

// GroupWrite is a transaction that stores the changes to the machines of one group.
type GroupWrite struct {
	Key     string
	Changes int    // number of machines in the group that change
	Group   *Group // nil: delete
	// SplitOff holds, by their new keys, the groups for machines that leave the group in the same
	// transaction because the group is too large for the store.
	SplitOff map[string]*Group
}

// OversizeGroups returns the keys of groups that are larger than limit bytes, sorted, and at most
// maxGroups of them. An earlier version, or earlier settings, wrote such groups.
func (inv *Inventory) OversizeGroups(limit, maxGroups int) []string {
	var oversize []string
	for key, machines := range inv.groups {
		size := 0
		for machine := range machines {
			size += inv.Machines[machine].maxBytes(machine)
		}
		if size > limit && strings.HasPrefix(key, GroupPrefix) {
			oversize = append(oversize, key)
		}
	}
	slices.Sort(oversize)
	return oversize[:min(len(oversize), maxGroups)]
}

// PlanWrites turns changes of machines into writes of keys. It drops a change if the record has
// changed since the decision. A new machine is added to a group that stays below limit bytes of
// JSON. A group that is larger, if one of its machines changes or it is listed in oversize, is split
// in one transaction of at most maxKeys keys, so that each machine is in exactly one group at any
// time. Writes with the most changes come first.
func (inv *Inventory) PlanWrites(changes []RecordChange, oversize []string, limit, maxKeys int) []GroupWrite {
	edit := inv.newGroupEdit(limit, maxKeys)
	for _, change := range changes {
		edit.apply(change)
	}
	for _, key := range oversize {
		edit.openGroup(key)
	}
	writes := edit.writes()
	sortWrites(writes)
	return writes
}

// groupEdit collects the changes of machines, by the group that each is made in.
type groupEdit struct {
	inventory *Inventory
	limit     int // JSON bytes in a group
	maxKeys   int // keys in a transaction

	edited     map[string]map[string]Record // edited records of groups, by key
	changes    map[string]int               // number of machines that change, by key
	nextNumber int                          // number of the next new group
	newestKey  string                       // key of the group that takes new machines, "" if there is none yet
}

// newGroupEdit starts an edit. New machines go to the group with the highest number as long as it
// has room.
func (inv *Inventory) newGroupEdit(limit, maxKeys int) *groupEdit {
	e := &groupEdit{
		inventory: inv,
		limit:     limit,
		maxKeys:   maxKeys,
		edited:    map[string]map[string]Record{},
		changes:   map[string]int{},
	}
	for key := range inv.groups {
		number, err := strconv.Atoi(strings.TrimPrefix(key, GroupPrefix))
		if err == nil && number >= e.nextNumber { // the keys of the earlier layout have no number
			e.nextNumber, e.newestKey = number+1, key
		}
	}
	return e
}

// newKey returns the key of a new group.
func (e *groupEdit) newKey() string {
	key := GroupKey(e.nextNumber)
	e.nextNumber++
	return key
}

// openGroup returns the records of a group, for changes.
func (e *groupEdit) openGroup(key string) map[string]Record {
	records := e.edited[key]
	if records == nil {
		stored := e.inventory.groups[key]
		records = make(map[string]Record, len(stored)+1)
		for machine := range stored {
			records[machine] = e.inventory.Machines[machine]
		}
		e.edited[key] = records
	}
	return records
}

// apply makes one change, unless the record has changed since the decision.
func (e *groupEdit) apply(change RecordChange) {
	stored, known := e.inventory.Machines[change.Machine]
	if known != (change.Before != nil) || known && stored != *change.Before {
		return
	}
	key := e.inventory.groupKeys[change.Machine]
	if change.After == nil {
		delete(e.openGroup(key), change.Machine)
		e.changes[key]++
		return
	}
	if grouped := known && strings.HasPrefix(key, GroupPrefix); !grouped {
		if known {
			delete(e.openGroup(key), change.Machine)
		}
		key = e.groupFor(change.Machine, *change.After)
	}
	record := *change.After
	record.Reason = record.Reason[:min(len(record.Reason), maxReasonBytes)]
	e.openGroup(key)[change.Machine] = record
	e.changes[key]++
}

// groupFor returns the key of a group with room for a machine that is in no group.
func (e *groupEdit) groupFor(machine string, record Record) string {
	if e.newestKey == "" || !hasRoom(e.openGroup(e.newestKey), machine, record, e.limit) {
		e.newestKey = e.newKey()
	}
	return e.newestKey
}

// writes returns a transaction for each group that was opened.
func (e *groupEdit) writes() []GroupWrite {
	writes := make([]GroupWrite, 0, len(e.edited))
	for key, records := range e.edited {
		if len(records) == 0 && len(e.inventory.groups[key]) == 0 {
			continue // an empty group without a stored key
		}
		writes = append(writes, e.groupWrite(key, records))
	}
	return writes
}

func (e *groupEdit) groupWrite(key string, records map[string]Record) GroupWrite {
	write := GroupWrite{Key: key, Changes: e.changes[key]}
	if len(records) == 0 {
		return write
	}
	parts := splitGroup(records, e.limit, e.maxKeys)
	write.Group = &Group{Machines: parts[0]}
	if len(parts) > 1 {
		write.SplitOff = make(map[string]*Group, len(parts)-1)
	}
	for _, part := range parts[1:] {
		write.SplitOff[e.newKey()] = &Group{Machines: part}
	}
	return write
}

// sortWrites puts the groups with the most changes first. While machines migrate from the earlier
// layout, deletions come last: a machine's record is stored under its new key before its old key is
// deleted.
func sortWrites(writes []GroupWrite) {
	migrating := slices.ContainsFunc(writes, func(write GroupWrite) bool {
		return strings.HasPrefix(write.Key, SingleMachinePrefix)
	})
	slices.SortFunc(writes, func(a, b GroupWrite) int {
		if aDeleted, bDeleted := a.Group == nil, b.Group == nil; migrating && aDeleted != bDeleted {
			if aDeleted {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.Changes, a.Changes), cmp.Compare(a.Key, b.Key))
	})
}

// splitGroup divides a group's records into at most maxParts parts of up to limit bytes, of which the
// last takes all that remain, and drops their reasons if there is no room for them.
func splitGroup(records map[string]Record, limit, maxParts int) []map[string]Record {
	if bytesWithReasons(records) <= limit {
		return []map[string]Record{records}
	}
	part := map[string]Record{}
	parts := []map[string]Record{part}
	used := 0
	for _, machine := range slices.Sorted(maps.Keys(records)) {
		record := records[machine]
		record.Reason = ""
		size := record.maxBytes(machine)
		if used > 0 && used+size > limit && len(parts) < maxParts {
			part = map[string]Record{}
			parts = append(parts, part)
			used = 0
		}
		part[machine] = record
		used += size
	}
	return parts
}

// bytesWithReasons bounds the size of a group's records in JSON form, with their reasons.
func bytesWithReasons(records map[string]Record) int {
	size := 0
	for machine, record := range records {
		size += record.maxBytes(machine)
		if record.Reason != "" {
			size += len(record.Reason) + reasonOverheadBytes
		}
	}
	return size
}

// hasRoom reports whether a group can take another machine.
func hasRoom(records map[string]Record, machine string, added Record, limit int) bool {
	size := added.maxBytes(machine)
	for other, record := range records {
		size += record.maxBytes(other)
	}
	return len(records) < tuning.MachinesPerGroup && size <= limit
}
