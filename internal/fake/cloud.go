package fake

import (
	"slices"
	"sync"

	"wheatspur/internal/cloud"
	"wheatspur/wire"
)

// Cloud is a fake cloud that has no capacity beyond the machines it lists.
type Cloud struct {
	Mu               sync.Mutex // guards all below
	Types            []wire.MachineType
	Machines         []wire.Machine
	Terminated       []string               // names of the machines that were terminated
	ScaleOutRequests []wire.ScaleOutRequest // all scale-out requests; each was rejected
	// OnTerminate, if set, is called with the names of terminated machines, with Mu held.
	OnTerminate func(machines []string)

	keepTerminated bool // terminated machines stay listed
}

var _ cloud.Provider = (*Cloud)(nil)

// NewCloud returns a cloud that offers the machine types. With keepTerminated, terminated
// machines stay listed.
func NewCloud(types []wire.MachineType, keepTerminated bool) *Cloud {
	return &Cloud{Types: types, keepTerminated: keepTerminated}
}

// MachineTypes returns the machine types.
func (c *Cloud) MachineTypes() ([]wire.MachineType, error) { return c.Types, nil }

// ScaleOut records the request and rejects it with ErrNoCapacity.
func (c *Cloud) ScaleOut(request wire.ScaleOutRequest) ([]string, error) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.ScaleOutRequests = append(c.ScaleOutRequests, request)
	return nil, cloud.ErrNoCapacity
}

// Terminate records machines as terminated and removes them from the list, unless the cloud
// keeps terminated machines listed.
func (c *Cloud) Terminate(machines []string) error {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	c.Terminated = append(c.Terminated, machines...)
	if c.OnTerminate != nil {
		c.OnTerminate(machines)
	}
	if c.keepTerminated {
		return nil
	}
	// A new slice, because callers of ListMachines may still use the previous one.
	var remaining []wire.Machine
	for _, machine := range c.Machines {
		if !slices.Contains(machines, machine.Name) {
			remaining = append(remaining, machine)
		}
	}
	c.Machines = remaining
	return nil
}

// ListMachines lists the machines.
func (c *Cloud) ListMachines() ([]wire.Machine, error) {
	c.Mu.Lock()
	defer c.Mu.Unlock()
	return c.Machines, nil
}
