package inventory

import (
	"strings"

	"wheatspur/wire"
)

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
