package fleet

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpclient"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// WorkerClient calls workers. Every call ends within tuning.WorkerCallTimeout.
type WorkerClient interface {
	// SendCommands sends a direct command request, and returns the HTTP status and the
	// heartbeat of the response. A worker that has seen a higher fencing token refuses the
	// commands with status 409 and a heartbeat that contains the higher token.
	SendCommands(address string, request wire.CommandRequest) (int, *wire.Heartbeat, error)
	// Probe checks whether the worker responds at all.
	Probe(address string) error
}

// WorkerStatusError reports a response of a worker whose HTTP status shows that the worker did
// not execute the request.
type WorkerStatusError struct {
	Status int // HTTP status code
}

// Error implements the error interface.
func (e *WorkerStatusError) Error() string {
	return fmt.Sprintf("worker returned HTTP status %d", e.Status)
}

// Paths of a worker's HTTP server.
const (
	workerCommandPath = "/commands"
	workerProbePath   = "/show"
)

// HTTPWorkerClient calls workers over HTTP.
type HTTPWorkerClient struct{ client *fasthttp.Client }

// NewHTTPWorkerClient returns a client that calls workers over HTTP.
func NewHTTPWorkerClient() *HTTPWorkerClient {
	return &HTTPWorkerClient{client: httpclient.NewClient(tuning.WorkerConns)}
}

// SendCommands implements WorkerClient.
func (wc *HTTPWorkerClient) SendCommands(address string, request wire.CommandRequest) (int, *wire.Heartbeat, error) {
	status, body, err := httpclient.Do(wc.client, fasthttp.MethodPost, address, workerCommandPath, wire.MustMarshal(request), tuning.WorkerCallTimeout)
	if err != nil {
		return 0, nil, err
	}
	if status != fasthttp.StatusOK && status != fasthttp.StatusConflict {
		return status, nil, &WorkerStatusError{Status: status}
	}
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(body, &heartbeat); err != nil {
		return 0, nil, err
	}
	return status, &heartbeat, nil
}

// Probe implements WorkerClient.
func (wc *HTTPWorkerClient) Probe(address string) error {
	status, _, err := httpclient.Do(wc.client, fasthttp.MethodGet, address, workerProbePath, nil, tuning.WorkerCallTimeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return &WorkerStatusError{Status: status}
	}
	return nil
}
