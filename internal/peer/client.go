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
	// ForwardPath is where controllers post the user requests that they can't serve.
	ForwardPath = "/peer/forward"
)

// Client sends messages to one sibling. It never retries: what a lost response means depends
// on the message, so the caller decides.
type Client struct {
	address string
	client  *fasthttp.HostClient
}

// NewClient returns a client for the sibling at address.
func NewClient(address string) *Client {
	return &Client{address: address, client: httpclient.NewHostClient(address, tuning.PeerConns)}
}

// Exchange posts this controller's encoded status and returns the sibling's status.
func (c *Client) Exchange(ownStatus []byte, timeout time.Duration) (Status, error) {
	response, err := c.post(StatusPath, ownStatus, timeout)
	if err != nil {
		return Status{}, err
	}
	return DecodeStatus(response)
}

// Forward forwards a user's request and returns the sibling's response.
func (c *Client) Forward(request ForwardRequest, timeout time.Duration) (ForwardResponse, error) {
	response, err := c.post(ForwardPath, request.Encode(), timeout)
	if err != nil {
		return ForwardResponse{}, err
	}
	return DecodeForwardResponse(response)
}

func (c *Client) post(path string, body []byte, timeout time.Duration) ([]byte, error) {
	status, response, err := httpclient.Do(c.client, fasthttp.MethodPost, c.address, path, body, timeout)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, fmt.Errorf("sibling returned HTTP status %d", status)
	}
	return response, nil
}
