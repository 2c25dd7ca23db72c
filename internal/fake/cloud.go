package fake

import (
	"slices"
	"sync"

	"wheatspur/internal/cloud"
	"wheatspur/wire"
)

// Cloud is a fake cloud that has no capacity beside the machines it lists.
type Cloud struct {
	Mu               sync.Mutex // guards all below
	Types            []wire.MachineType
	Machines         []wire.Machine
	Terminated       []string               // machines that were terminated
	ScaleOutRequests []wire.ScaleOutRequest // requests, all of which were refused
	// OnTerminate is called with Mu held with the machines that are terminated; nil:
	// by nobody.
	OnTerminate func(machines []string)

	keepsList bool // terminated machines stay listed
}

var _ cloud.Provider = (*Cloud)(nil)

// NewCloud returns a cloud with the types of machines. With keepsList, machines
// stay listed when they are terminated.
func NewCloud(types []wire.MachineType, keepsList bool) *Cloud {
	return &Cloud{Types: types, keepsList: keepsList}
}

// MachineTypes lists the types of machines.
func (c *Cloud) MachineTypes() ([]wire.MachineType, error) { return c.Types, nil }

// ScaleOut records the request and refuses it.
func (c *Cloud) ScaleOut(request wire.ScaleOutRequest) ([]string, error) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.ScaleOutRequests = append(c.ScaleOutRequests, request)
	return nil, cloud.ErrNoCapacity
}

// Terminate terminates machines.
func (c *Cloud) Terminate(machines []string) error {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.Terminated = append(c.Terminated, machines...)
	if c.OnTerminate != nil {
		c.OnTerminate(machines)
	}
	if c.keepsList {
		return nil
	}
	// A new slice: callers of ListMachines hold the one before.
	var left []wire.Machine
	for _, machine := range c.Machines {
		if !slices.Contains(machines, machine.Name) {
			left = append(left, machine)
		}
	}
	c.Machines = left
	return nil
}

// ListMachines lists the machines.
func (c *Cloud) ListMachines() ([]wire.Machine, error) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	return c.Machines, nil
}
