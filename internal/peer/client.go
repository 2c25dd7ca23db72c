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
	// StatusPath is where controllers post their status.
	StatusPath = "/peer/status"
	// ForwardPath is where controllers post users' requests that they can't serve.
	ForwardPath = "/peer/forward"
)

// Client sends messages to one sibling. It repeats none: callers know what a lost
// answer means.
type Client struct {
	address string
	client  *fasthttp.HostClient
}

// NewClient returns a client of the sibling at address.
func NewClient(address string) *Client {
	return &Client{address: address, client: httpclient.NewHostClient(address, tuning.PeerConns)}
}

// Exchange posts an encoded status and returns the sibling's.
func (c *Client) Exchange(ownStatus []byte, timeout time.Duration) (Status, error) {
	answer, err := c.post(StatusPath, ownStatus, timeout)
	if err != nil {
		return Status{}, err
	}
	return DecodeStatus(answer)
}

// Forward passes a user's request on and returns the sibling's answer.
func (c *Client) Forward(request ForwardRequest, timeout time.Duration) (ForwardResponse, error) {
	answer, err := c.post(ForwardPath, request.Encode(), timeout)
	if err != nil {
		return ForwardResponse{}, err
	}
	return DecodeForwardResponse(answer)
}

func (c *Client) post(path string, body []byte, timeout time.Duration) ([]byte, error) {
	status, answer, err := httpclient.Do(c.client, fasthttp.MethodPost, c.address, path, body, timeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("sibling: status %d", status)
	}
	return answer, nil
}
