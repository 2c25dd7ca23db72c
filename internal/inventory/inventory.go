// Package inventory holds the stored records of all machines: their form and phases, the groups
// that keep several records under one key, and the plan of the writes that store a list of changes.
//
// An Inventory is updated by the cache that watches the key-value store and does no I/O itself: the
// caller makes the planned writes, each a compare-and-swap, and serializes access. The last
// heartbeat of a machine's worker is in package worker; which machines to add or terminate is
// decided in package autoscale.
package inventory

import (
	"strings"

	"wheatspur/wire"
)

// Inventory holds the stored records of all machines and the key of each. It is changed only by
// Apply.
type Inventory struct {
	Machines  map[string]Record          // records by machine name
	groupKeys map[string]string          // key that holds the record of each machine
	groups    map[string]map[string]bool // machines whose records each key holds

	// OnChange is called with each machine whose record was added, changed or removed.
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

// RecordKey returns the key that holds the machine's record, "" if it has none.
func (inv *Inventory) RecordKey(machine string) string { return inv.groupKeys[machine] }

// Apply applies a stored value; nil means that the key was deleted.
func (inv *Inventory) Apply(key string, raw wire.Raw) error {
	records, err := decodeRecords(key, raw)
	if err != nil {
		return err
	}
	inv.removeMissing(key, records)
	inv.add(key, records)
	return nil
}

// decodeRecords decodes the value of a key of either layout.
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

// add adds or updates the machines that a key holds.
func (inv *Inventory) add(key string, records map[string]Record) {
	if len(records) > 0 {
		inv.groups[key] = make(map[string]bool, len(records))
	}
	for machine, record := range records {
		if strings.HasPrefix(key, SingleMachinePrefix) && strings.HasPrefix(inv.groupKeys[machine], GroupPrefix) {
			continue // it has moved to a group, and its single-machine key is about to be deleted
		}
		former, known := inv.Machines[machine]
		inv.Machines[machine], inv.groupKeys[machine] = record, key
		if !known || former != record {
			inv.OnChange(machine)
		}
		inv.groups[key][machine] = true
	}
}
