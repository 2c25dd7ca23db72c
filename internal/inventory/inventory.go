// Package inventory holds the stored records of all machines: their form and
// phases, the groups in which they are kept under few keys, and the plan of the
// writes that store a list of changes.
//
// An Inventory is fed by the watch-fed cache of the key-value store and does no
// I/O itself: the caller makes the planned writes, each a compare-and-swap, and
// serializes access. What a machine's worker last sent is in package worker;
// which machines to add or terminate is decided in package autoscale.
package inventory

import (
	"strings"

	"wheatspur/wire"
)

// Inventory is what is stored of all machines, with the key of each. It is fed
// by the cache and changed by nothing else.
type Inventory struct {
	Machines  map[string]Record          // by name
	groupKeys map[string]string          // the key that holds each machine
	groups    map[string]map[string]bool // the machines that each key holds

	// OnChange is called with each machine whose record is new, changed or gone.
	OnChange func(machine string)
}

// NewInventory returns an empty inventory.
func NewInventory() *Inventory {
	return &Inventory{
		Machines:  map[string]Record{},
		groupKeys: map[string]string{},
		groups:    map[string]map[string]bool{},
		OnChange:  func(string) {},
	}
}

// KeyOf is the key that holds the machine's record, "" if it has none.
func (inv *Inventory) KeyOf(machine string) string { return inv.groupKeys[machine] }

// Apply takes in a stored value, nil if the key is gone.
func (inv *Inventory) Apply(key string, raw wire.Raw) error {
	records, err := decodeRecords(key, raw)
	if err != nil {
		return err
	}
	inv.removeMissing(key, records)
	inv.add(key, records)
	return nil
}

// decodeRecords reads the records of a key, of either layout.
func decodeRecords(key string, raw wire.Raw) (map[string]Record, error) {
	if raw == nil {
		return nil, nil
	}
	if machine, single := strings.CutPrefix(key, SingleMachinePrefix); single {
		var record Record
		err := wire.Unmarshal(raw, &record)
		return map[string]Record{machine: record}, err
	}
	var group Group
	err := wire.Unmarshal(raw, &group)
	return group.Machines, err
}

// removeMissing removes the machines that a key no longer holds.
func (inv *Inventory) removeMissing(key string, records map[string]Record) {
	for machine := range inv.groups[key] {
		if _, kept := records[machine]; !kept && inv.groupKeys[machine] == key {
			delete(inv.Machines, machine)
			delete(inv.groupKeys, machine)
			inv.OnChange(machine)
		}
	}
	delete(inv.groups, key)
}

// add takes in the machines that a key holds.
func (inv *Inventory) add(key string, records map[string]Record) {
	if len(records) > 0 {
		inv.groups[key] = make(map[string]bool, len(records))
	}
	for machine, record := range records {
		if strings.HasPrefix(key, SingleMachinePrefix) && strings.HasPrefix(inv.groupKeys[machine], GroupPrefix) {
			continue // it has moved to a group; its former key is about to be deleted
		}
		former, known := inv.Machines[machine]
		inv.Machines[machine], inv.groupKeys[machine] = record, key
		if !known || former != record {
			inv.OnChange(machine)
		}
		inv.groups[key][machine] = true
	}
}
