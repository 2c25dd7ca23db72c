package fake

import (
	"sync"

	"wheatspur/internal/cloud"
	"wheatspur/wire"
)

// Cloud is a stand-in for the cloud that has no capacity beside the machines it
// lists. It implements fleet.Cloud.
type Cloud struct {
	Mu        sync.Mutex // guards all below
	Machines  []wire.MachineType
	Listed    []wire.Machine
	Returned  []string
	Rentals   []wire.ScaleOutRequest
	OnReturn  func(hosts []string) // called with Mu held; nil: by nobody
	keepsList bool
}

// NewCloud returns a cloud with the types of machines. With keepsList, machines
// stay listed when they are returned.
func NewCloud(types []wire.MachineType, keepsList bool) *Cloud {
	return &Cloud{Machines: types, keepsList: keepsList}
}

// MachineTypes lists the types of machines.
func (c *Cloud) MachineTypes() ([]wire.MachineType, error) { return c.Machines, nil }

// ScaleOut notes the request and refuses it.
func (c *Cloud) ScaleOut(r wire.ScaleOutRequest) ([]string, error) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.Rentals = append(c.Rentals, r)
	return nil, cloud.ErrNoCapacity
}

// Terminate takes machines back.
func (c *Cloud) Terminate(hosts []string) error {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.Returned = append(c.Returned, hosts...)
	if c.OnReturn != nil {
		c.OnReturn(hosts)
	}
	if c.keepsList {
		return nil
	}
	gone := map[string]bool{}
	for _, host := range hosts {
		gone[host] = true
	}
	var left []wire.Machine
	for _, h := range c.Listed {
		if !gone[h.Name] {
			left = append(left, h)
		}
	}
	c.Listed = left
	return nil
}

// ListMachines lists the machines.
func (c *Cloud) ListMachines() ([]wire.Machine, error) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	return c.Listed, nil
}
