package peer

import (
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// newTestSibling serves handler on a loopback listener and returns a client for it.
func newTestSibling(t *testing.T, handler fasthttp.RequestHandler) *Client {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-served; err != nil {
			t.Error(err)
		}
	})
	return NewClient(listener.Addr().String())
}

const testTimeout = 5 * time.Second

func TestExchangeReturnsSiblingStatus(t *testing.T) {
	ownStatus, siblingStatus := Status{Label: "n0"}, sampleStatus()
	client := newTestSibling(t, func(c *fasthttp.RequestCtx) {
		posted, err := DecodeStatus(c.PostBody())
		if string(c.Method()) != "POST" || string(c.Path()) != StatusPath || err != nil || posted.Label != "n0" {
			c.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		c.SetBody(siblingStatus.Encode())
	})
	got, err := client.Exchange(ownStatus.Encode(), testTimeout)
	if err != nil || !reflect.DeepEqual(got, siblingStatus) {
		t.Fatalf("%+v %v", got, err)
	}
}

func TestForwardReturnsSiblingResponse(t *testing.T) {
	response := ForwardResponse{Status: 503, RetryAfter: "2", Body: []byte{9}}
	client := newTestSibling(t, func(c *fasthttp.RequestCtx) {
		request, err := DecodeForwardRequest(c.PostBody())
		if string(c.Path()) != ForwardPath || err != nil || request.Path != "/work" {
			c.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		c.SetBody(response.Encode())
	})
	got, err := client.Forward(ForwardRequest{Method: "POST", Path: "/work"}, testTimeout)
	if err != nil || !reflect.DeepEqual(got, response) {
		t.Fatalf("%+v %v", got, err)
	}
}

func TestUnexpectedHTTPStatusIsAnError(t *testing.T) {
	client := newTestSibling(t, func(c *fasthttp.RequestCtx) { c.SetStatusCode(fasthttp.StatusServiceUnavailable) })
	_, exchangeErr := client.Exchange(nil, testTimeout)
	_, forwardErr := client.Forward(ForwardRequest{}, testTimeout)
	for call, err := range map[string]error{"exchange": exchangeErr, "forward": forwardErr} {
		t.Run(call, func(t *testing.T) {
			if want := "sibling returned HTTP status 503"; err == nil || err.Error() != want {
				t.Errorf("got %v, want %s", err, want)
			}
		})
	}
}
