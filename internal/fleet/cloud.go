package fleet

import (
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpc"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Outcomes of a call to the cloud.
var (
	// ErrNoCapacity: no machine of this type, zone and kind.
	ErrNoCapacity = errors.New("no capacity")
	// ErrCloud: refused, in trouble, or no answer.
	ErrCloud = errors.New("cloud does not answer")
)

// Cloud is what the leader needs of the cloud.
type Cloud interface {
	Types() ([]wire.MachineType, error)
	Rent(h wire.ScaleOutRequest) ([]string, error)
	Return(hosts []string) error
	List() ([]wire.Machine, error)
}

// CloudClient is the HTTP client of the cloud.
type CloudClient struct {
	addr string
	hc   *fasthttp.HostClient
	rps  float64
	now  func() time.Time

	mu    sync.Mutex
	allow float64
	last  time.Time
}

// NewCloudClient returns a client that keeps to its share of the cloud's rate.
func NewCloudClient(addr string, rps float64, now func() time.Time) *CloudClient {
	return &CloudClient{addr: addr, rps: rps, now: now, allow: rps, last: now(), hc: httpc.Host(addr, tuning.CloudConns)}
}

// permit takes one call from the budget, or refuses at once.
func (c *CloudClient) permit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.allow = min(c.allow+now.Sub(c.last).Seconds()*c.rps, c.rps)
	c.last = now
	if c.allow < 1 {
		return false
	}
	c.allow--
	return true
}

func (c *CloudClient) call(method, path string, in, out any) error {
	if !c.permit() {
		return fmt.Errorf("%w: call budget is spent", ErrCloud)
	}
	var body []byte
	if in != nil {
		body = wire.MustMarshal(in)
	}
	status, answer, err := httpc.Do(c.hc, method, c.addr, path, body, tuning.CloudCallTimeout)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrCloud, err)
	}
	if status != 200 {
		var f wire.ErrorResponse
		if wire.Unmarshal(answer, &f) == nil && f.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("%w: status %d %s", ErrCloud, status, f.Error)
	}
	if out == nil {
		return nil
	}
	if err := wire.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("%w: %v", ErrCloud, err)
	}
	return nil
}

// Types reads the machine types.
func (c *CloudClient) Types() ([]wire.MachineType, error) {
	var out wire.MachineTypes
	err := c.call("GET", "/machine_types", nil, &out)
	return out.Types, err
}

// Rent rents machines.
func (c *CloudClient) Rent(h wire.ScaleOutRequest) ([]string, error) {
	var out wire.MachineNames
	err := c.call("POST", "/hosts", h, &out)
	return out.Machines, err
}

// Return gives machines back; when it succeeds they are gone.
func (c *CloudClient) Return(hosts []string) error {
	return c.call("POST", "/hosts/return", wire.MachineNames{Machines: hosts}, nil)
}

// ListPage is the number of machines on a page of the list, the most allowed.
const ListPage = 500

// List reads the whole machine list.
func (c *CloudClient) List() ([]wire.Machine, error) {
	var all []wire.Machine
	after := ""
	for {
		path := "/hosts?page=" + strconv.Itoa(ListPage)
		if after != "" {
			path += "&after=" + url.QueryEscape(after)
		}
		var page wire.MachinePage
		if err := c.call("GET", path, nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return all, nil
		}
		after = page.Machines[len(page.Machines)-1].Name
	}
}
