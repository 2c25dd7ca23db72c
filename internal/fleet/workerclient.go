package fleet

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpclient"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// WorkerClient calls workers. A call ends within tuning.WorkerCallTimeout.
type WorkerClient interface {
	// SendCommands sends a direct command request and returns the status and the
	// heartbeat of the answer. A worker that has seen a higher fencing token
	// refuses the commands with a conflict, and a heartbeat that shows it.
	SendCommands(address string, request wire.CommandRequest) (int, *wire.Heartbeat, error)
	// Probe asks whether the worker answers at all.
	Probe(address string) error
}

// WorkerStatusError is the answer of a worker with a status that says that it
// did not do what it was asked.
type WorkerStatusError struct {
	Status int // of the HTTP answer
}

// Error returns the text for the log.
func (e *WorkerStatusError) Error() string { return fmt.Sprintf("worker answered %d", e.Status) }

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

// SendCommands sends a direct command request.
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

// Probe asks whether the worker answers at all.
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
