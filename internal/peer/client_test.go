package peer

import (
	"net"
	"reflect"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// newSibling serves a handler on the loopback and returns a client of it.
func newSibling(t *testing.T, handler fasthttp.RequestHandler) *Client {
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

func TestExchangeReturnsTheSiblingsStatus(t *testing.T) {
	own, theirs := Status{Label: "n0"}, sampleStatus()
	client := newSibling(t, func(c *fasthttp.RequestCtx) {
		posted, err := DecodeStatus(c.PostBody())
		if string(c.Method()) != "POST" || string(c.Path()) != StatusPath || err != nil || posted.Label != "n0" {
			c.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		c.SetBody(theirs.Encode())
	})
	got, err := client.Exchange(own.Encode(), testTimeout)
	if err != nil || !reflect.DeepEqual(got, theirs) {
		t.Fatalf("%+v %v", got, err)
	}
}

func TestForwardReturnsTheSiblingsAnswer(t *testing.T) {
	response := ForwardResponse{Status: 503, RetryAfter: "2", Body: []byte{9}}
	client := newSibling(t, func(c *fasthttp.RequestCtx) {
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

func TestSiblingsRefusalIsAnError(t *testing.T) {
	client := newSibling(t, func(c *fasthttp.RequestCtx) { c.SetStatusCode(fasthttp.StatusServiceUnavailable) })
	_, exchangeErr := client.Exchange(nil, testTimeout)
	_, forwardErr := client.Forward(ForwardRequest{}, testTimeout)
	for call, err := range map[string]error{"exchange": exchangeErr, "forward": forwardErr} {
		t.Run(call, func(t *testing.T) {
			if want := "sibling: status 503"; err == nil || err.Error() != want {
				t.Errorf("got %v, want %s", err, want)
			}
		})
	}
}
