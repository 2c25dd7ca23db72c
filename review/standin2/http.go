package standin2

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"

	"wheatspur/wire"
)

// loopback is the address to listen on, with a free port.
const loopback = "127.0.0.1:0"

// answer writes a status and a CBOR body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(wire.MustMarshal(body))
}

// readBody decodes a request's CBOR body.
func readBody(r *http.Request, body any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBody+1))
	return err == nil && len(raw) <= wire.MaxBody && wire.Unmarshal(raw, body) == nil
}

// listenAndServe serves a handler on a free port and returns its address.
func listenAndServe(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// newClient returns a client without retries, with a time limit for each request.
func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: timeout}).DialContext}}
}

// send sends a request and returns the status, 0 if there was no answer, and the body.
func send(client *http.Client, method, address, path string, body []byte) (status int, responseBody []byte) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", wire.ContentType)
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, responseBody
}
