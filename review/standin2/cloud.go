package standin2

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"wheatspur/wire"
)

// Rate limit of the cloud, as in the settings of the controllers.
const (
	cloudCallsPerSecond = 4.0
	cloudBurst          = 2 * cloudCallsPerSecond
)

// Cloud rents machines up to a fixed capacity. A machine runs a worker from its boot on.
type Cloud struct {
	site *Site

	mu       sync.Mutex // guards all below
	machines []*cloudMachine
	hires    map[string][]string // answers by request name
	next     int                 // number of the next machine
	tokens   float64
	filledAt time.Time
}

type cloudMachine struct {
	wire.Machine
	rentedAt time.Time
	worker   *Worker // nil while it boots
	gone     bool
}

func newCloud(site *Site) *Cloud {
	return &Cloud{site: site, hires: map[string][]string{}, next: 231, tokens: cloudBurst, filledAt: time.Now()}
}

// allow takes a call from the rate limit; c.mu is held.
func (c *Cloud) allow() bool {
	now := time.Now()
	c.tokens = min(c.tokens+now.Sub(c.filledAt).Seconds()*cloudCallsPerSecond, cloudBurst)
	c.filledAt = now
	if c.tokens < 1 {
		return false
	}
	c.tokens--
	return true
}

// ServeHTTP answers a call of the cloud's interface.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.allow() {
		answer(w, http.StatusTooManyRequests, wire.ErrorResponse{Error: "too many calls"})
		return
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		answer(w, http.StatusOK, wire.MachineTypes{Types: []wire.MachineType{c.site.MachineType}})
	case "GET /hosts":
		c.list(w, r)
	case "POST /hosts":
		c.rent(w, r)
	case "POST /hosts/return":
		c.giveBack(w, r)
	default:
		answer(w, http.StatusNotFound, wire.ErrorResponse{Error: "no such path"})
	}
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	after, size := r.URL.Query().Get("after"), 500
	if n, err := strconv.Atoi(r.URL.Query().Get("page")); err == nil {
		size = min(n, size)
	}
	page := wire.MachinePage{Machines: []wire.Machine{}}
	for _, m := range c.machines {
		if m.gone || m.Name <= after {
			continue
		}
		if len(page.Machines) == size {
			page.Truncated = true
			break
		}
		listed := m.Machine
		listed.AgeS = time.Since(m.rentedAt).Seconds()
		page.Machines = append(page.Machines, listed)
	}
	answer(w, http.StatusOK, page)
}

// rent rents as many machines as the capacity has left.
func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var request wire.ScaleOutRequest
	if !readBody(r, &request) || request.Count < 1 || request.Count > 50 || request.MachineType != c.site.MachineType.Label {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	names, known := c.hires[request.Name]
	if !known {
		for range min(request.Count, c.site.Capacity-c.up()) {
			names = append(names, c.add(request.Zone, request.Spot))
		}
		c.site.Record.Log("cloud: hire %s spot=%v number=%d: rented %v", request.Name, request.Spot, request.Count, names)
		if len(names) == 0 {
			answer(w, http.StatusServiceUnavailable, wire.ErrorResponse{Error: "no capacity"})
			return
		}
		c.hires[request.Name] = names
	}
	answer(w, http.StatusOK, wire.MachineNames{Machines: names})
}

// up returns the number of rented machines; c.mu is held.
func (c *Cloud) up() int {
	count := 0
	for _, m := range c.machines {
		if !m.gone {
			count++
		}
	}
	return count
}

// add rents one machine and boots it; c.mu is held.
func (c *Cloud) add(zone string, spot bool) string {
	name := fmt.Sprintf("host-%06d", c.next)
	c.next++
	m := &cloudMachine{
		Machine:  wire.Machine{Name: name, MachineType: c.site.MachineType.Label, Zone: zone, Spot: spot, State: wire.MachineStarting},
		rentedAt: time.Now(),
	}
	worker, err := newWorker(c.site, name, zone, spot)
	if err != nil {
		c.site.Record.Log("cloud: %s never comes up: %v", name, err)
		return name
	}
	m.Address = worker.Address
	c.machines = append(c.machines, m)
	time.AfterFunc(c.site.bootTime(), func() { c.boot(m, worker) })
	return name
}

func (c *Cloud) boot(m *cloudMachine, worker *Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.gone {
		return
	}
	m.State, m.worker = wire.MachineRunning, worker
	worker.start()
	c.site.Record.Log("cloud: %s is up", m.Name)
}

func (c *Cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if !readBody(r, &request) || len(request.Machines) > 100 {
		answer(w, http.StatusBadRequest, wire.ErrorResponse{Error: "malformed"})
		return
	}
	for _, m := range c.machines {
		if m.gone || !slices.Contains(request.Machines, m.Name) {
			continue
		}
		m.gone = true
		if m.worker != nil {
			m.worker.vanish()
		}
		c.site.Record.Log("cloud: %s was returned", m.Name)
	}
	answer(w, http.StatusOK, struct{}{})
}

// Workers returns the workers of the machines that are up.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*Worker
	for _, m := range c.machines {
		if !m.gone && m.worker != nil {
			workers = append(workers, m.worker)
		}
	}
	return workers
}

// bootTime returns the boot time of a machine.
func (s *Site) bootTime() time.Duration {
	return time.Duration(s.MachineType.StartupS * float64(time.Second))
}
