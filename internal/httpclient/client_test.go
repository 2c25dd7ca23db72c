package httpclient

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wheatspur/wire"
)

const timeout = 5 * time.Second

// clients returns one client of each type, by name.
func clients(addr string) map[string]Doer {
	return map[string]Doer{"single-host": NewHostClient(addr, 2), "multi-host": NewClient(2)}
}

func TestDoSendsBodyAndReturnsResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		w.WriteHeader(http.StatusTeapot)
		if _, err := io.WriteString(w, r.Method+" "+r.URL.Path+" "+r.Header.Get("Content-Type")+" "+string(body)); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	for name, client := range clients(addr) {
		for _, c := range []struct {
			name, method string
			body         []byte
			want         string
		}{
			{"with a body", http.MethodPost, []byte("x"), "POST /path " + wire.ContentType + " x"},
			{"without a body", http.MethodGet, nil, "GET /path  "},
		} {
			t.Run(name+" "+c.name, func(t *testing.T) {
				status, responseBody, err := Do(client, c.method, addr, "/path", c.body, timeout)
				if err != nil || status != http.StatusTeapot || string(responseBody) != c.want {
					t.Fatalf("status %d, body %q, error %v", status, responseBody, err)
				}
			})
		}
	}
}

// By default the library retries idempotent requests.
func TestFailedRequestIsNotRetried(t *testing.T) {
	for name := range clients("") {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			var connections atomic.Int32
			done := make(chan struct{})
			go func() {
				defer close(done)
				for {
					conn, err := listener.Accept()
					if err != nil {
						return // the listener is closed
					}
					connections.Add(1)
					if _, err := conn.Read(make([]byte, 1024)); err != nil {
						t.Error(err)
					}
					if err := conn.Close(); err != nil {
						t.Error(err)
					}
				}
			}()
			addr := listener.Addr().String()
			if _, _, err := Do(clients(addr)[name], http.MethodGet, addr, "/", nil, timeout); err == nil {
				t.Error("no error after the server closed the connection without a response")
			}
			if err := listener.Close(); err != nil {
				t.Error(err)
			}
			<-done
			if n := connections.Load(); n != 1 {
				t.Errorf("%d connections for one request, want 1", n)
			}
		})
	}
}
