package fleet

import (
	"fmt"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/httpclient"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// WorkerClient sends direct commands to workers.
type WorkerClient interface {
	SendCommands(address string, cmd wire.CommandRequest) (int, *wire.Heartbeat, error)
	Probe(address string) error
}

type httpWorkerClient struct{ hc *fasthttp.Client }

func NewHTTPWorkerClient() *httpWorkerClient {
	return &httpWorkerClient{httpclient.Many(tuning.WorkerConns)}
}

func (w *httpWorkerClient) SendCommands(address string, cmd wire.CommandRequest) (int, *wire.Heartbeat, error) {
	status, body, err := httpclient.Do(w.hc, "POST", address, "/commands", wire.MustMarshal(cmd), tuning.WorkerCallTimeout)
	if err != nil {
		return 0, nil, err
	}
	if status != 200 && status != 409 {
		return status, nil, fmt.Errorf("worker answered %d", status)
	}
	var r wire.Heartbeat
	if err := wire.Unmarshal(body, &r); err != nil {
		return 0, nil, err
	}
	return status, &r, nil
}

func (w *httpWorkerClient) Probe(address string) error {
	status, _, err := httpclient.Do(w.hc, "GET", address, "/show", nil, tuning.WorkerCallTimeout)
	if err == nil && status != 200 {
		err = fmt.Errorf("worker answered %d", status)
	}
	return err
}
