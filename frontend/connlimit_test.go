package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const connTestTimeout = 10 * time.Second // far longer than any step takes

// startLimitedServer starts a server that holds up to max connections and refuses every request, after calling handle.
func startLimitedServer(t *testing.T, max int, handle func(r *http.Request)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := newConnLimiter(listener, max)
	server := &http.Server{ConnState: limiter.connState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handle(r)
		http.Error(w, "refused", http.StatusBadRequest)
	})}
	ended := make(chan struct{})
	go func() { server.Serve(limiter); close(ended) }()
	t.Cleanup(func() {
		server.Close()
		<-ended
	})
	return listener.Addr().String()
}

// request sends a request on a connection and reads the answer.
func request(c net.Conn, in *bufio.Reader, path string) error {
	c.SetDeadline(time.Now().Add(connTestTimeout))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: front\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against new clients that get no answer while others hold every connection, silent or with refused requests at full speed.
func TestNewClientsAreAnsweredWhileOthersHoldConnections(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "requests at full speed": false} {
		t.Run(name, func(t *testing.T) {
			const max = 8
			address := startLimitedServer(t, max, func(*http.Request) {})
			stop, ready := make(chan struct{}), make(chan struct{}, max)
			t.Cleanup(func() { close(stop) })
			for range max {
				go func() {
					first := true
					for {
						c, err := net.Dial("tcp", address)
						if err != nil {
							return // the server was closed
						}
						for in := bufio.NewReader(c); silent || request(c, in, "/bad") == nil; {
							if first {
								first = false
								ready <- struct{}{}
							}
							if silent {
								c.SetReadDeadline(time.Now().Add(connTestTimeout))
								in.ReadByte()
								break
							}
							select {
							case <-stop:
								c.Close()
								return
							default:
							}
						}
						c.Close()
						select {
						case <-stop:
							return
						default:
						}
					}
				}()
			}
			for range max {
				<-ready
			}
			for i := range 20 {
				c, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				if err := request(c, bufio.NewReader(c), "/usual"); err != nil {
					t.Fatalf("new client %d: %v", i, err)
				}
				c.Close()
			}
		})
	}
}

// A connection with a request in progress is never closed to make room.
func TestRequestInProgressIsNotCutOff(t *testing.T) {
	started, proceed := make(chan struct{}), make(chan struct{})
	address := startLimitedServer(t, 1, func(r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-proceed
		}
	})
	slow, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	answered := make(chan error, 1)
	go func() { answered <- request(slow, bufio.NewReader(slow), "/slow") }()
	<-started
	next, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	waiting := make(chan error, 1)
	go func() { waiting <- request(next, bufio.NewReader(next), "/next") }()
	select {
	case err := <-waiting:
		t.Fatalf("the next client did not wait: %v", err)
	case <-time.After(3 * newConnGrace):
	}
	close(proceed)
	if err := <-answered; err != nil {
		t.Errorf("the request in progress was cut off: %v", err)
	}
	if err := <-waiting; err != nil {
		t.Errorf("the next client got no answer: %v", err)
	}
}
