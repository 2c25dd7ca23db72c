package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"wheatspur/wire"
)

// maxBody is the largest body that is read.
const maxBody = 64 << 20

// serveOn serves a handler on a listener until the listener is closed.
func serveOn(listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }() // ends with the listener
	return server
}

// reply writes a status and a CBOR body.
func reply(w http.ResponseWriter, status int, body any) {
	encoded := wire.MustMarshal(body)
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(encoded) // a client that has gone away needs no answer
}

// decode reads the CBOR body of a request.
func decode(r *http.Request, value any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return err
	}
	return wire.Unmarshal(body, value)
}

// Client sends requests over connections that stay open, and never repeats one.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client with connections of its own.
func NewClient() *Client { return &Client{transport: &http.Transport{DisableCompression: true}} }

// CloseIdle closes the open connections.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// Do sends one request. Status 0 means that no response came in time.
func (c *Client) Do(method, address, path string, body any, timeout time.Duration) (status int, response []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(wire.MustMarshal(body))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return 0, nil
	}
	request.GetBody = nil // the transport must not repeat the request
	request.Header.Set("Content-Type", wire.ContentType)
	answer, err := c.transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = answer.Body.Close() }()
	response, err = io.ReadAll(io.LimitReader(answer.Body, maxBody))
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, response
}
