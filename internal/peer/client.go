package peer

import (
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpclient"
	"wheatspur/internal/tuning"
)

// Paths of the peer server.
const (
	// StatusPath is where nodes post their status.
	StatusPath = "/peer/status"
	// ForwardPath is where nodes post users' requests that they can't serve.
	ForwardPath = "/peer/forward"
)

// Client exchanges statuses with one sibling.
type Client struct {
	addr string
	hc   *fasthttp.HostClient
}

// NewClient returns a client of the sibling at addr.
func NewClient(addr string) *Client {
	return &Client{addr: addr, hc: httpclient.Host(addr, tuning.PeerConns)}
}

// Exchange posts our status and returns the sibling's.
func (c *Client) Exchange(own []byte, timeout time.Duration) (Status, error) {
	b, err := c.post(StatusPath, own, timeout)
	if err != nil {
		return Status{}, err
	}
	return DecodeStatus(b)
}

// Forward passes a user's request on and returns the sibling's answer.
func (c *Client) Forward(r ForwardRequest, timeout time.Duration) (ForwardResponse, error) {
	b, err := c.post(ForwardPath, r.Encode(), timeout)
	if err != nil {
		return ForwardResponse{}, err
	}
	return DecodeForwardResponse(b)
}

func (c *Client) post(path string, body []byte, timeout time.Duration) ([]byte, error) {
	status, answer, err := httpclient.Do(c.hc, "POST", c.addr, path, body, timeout)
	if err == nil && status != 200 {
		err = fmt.Errorf("sibling: status %d", status)
	}
	return answer, err
}
