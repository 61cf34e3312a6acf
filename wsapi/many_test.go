package wsapi

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"

	"gullrail/session"
)

// socketCount is raised for load tests: go test ./wsapi -run Many -sockets 9000 -v
var socketCount = flag.Int("sockets", 300, "number of sockets in the load tests")

// playersEnv is the prefix of the variables by which a test tells its child process which players to run.
const playersEnv = "GULLRAIL_MANY"

// TestMain runs the players if the test binary was started as a child process. The players have a process of their own so
// that the memory and CPU time of the test process are those of the fronts.
func TestMain(m *testing.M) {
	flag.Parse()
	if target := os.Getenv(playersEnv); target != "" {
		n, _ := strconv.Atoi(os.Getenv(playersEnv + "_N"))
		runPlayers(target, n, os.Getenv(playersEnv+"_HONOR_RETRY_AFTER") == "1")
		return
	}
	os.Exit(m.Run())
}

// runPlayers runs n players until the process is killed. Each opens a socket, asks for a play and acknowledges all
// messages. A player whose front fails reconnects to another one: after a random delay or the one that the front advises if
// honorRetryAfter is set, else at once, with retries every 20 ms.
func runPlayers(target string, n int, honorRetryAfter bool) {
	fronts := strings.Split(target, ",")
	var plays atomic.Int64
	var wg sync.WaitGroup
	firstDials := make(chan struct{}, 64)
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			current := 0
			ticket := fmt.Sprintf("%020d", i)
			for dials := 0; ; dials++ {
				if dials == 0 {
					firstDials <- struct{}{}
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				conn, resp, err := websocket.Dial(ctx, fronts[current]+"?viewer="+ticket, &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
				cancel()
				if err != nil {
					if dials == 0 {
						<-firstDials
					}
					pause := 20 * time.Millisecond
					if resp != nil {
						if ms, e := strconv.Atoi(resp.Header.Get(RetryAfterMsHeader)); honorRetryAfter && e == nil {
							pause = time.Duration(ms) * time.Millisecond
						}
					} else {
						current = 1 + i%max(1, len(fronts)-1)
						current %= len(fronts)
						if honorRetryAfter {
							pause = time.Duration(rand.IntN(2000)) * time.Millisecond
						}
					}
					time.Sleep(pause)
					dials = max(dials, 0)
					continue
				}
				conn.Write(context.Background(), websocket.MessageText, fmt.Appendf(nil, `{"type":"ask","ticket":"%s-%d","title":"t","product":"p","viewer":"v%d"}`, ticket, dials, i))
				if dials == 0 {
					<-firstDials
				}
				for {
					_, text, err := conn.Read(context.Background())
					if err != nil {
						conn.CloseNow()
						break
					}
					m, err := DecodeFromFront(text)
					if err != nil {
						fmt.Println("invalid message:", err)
						return
					}
					if m.Cursor > 0 {
						conn.Write(context.Background(), websocket.MessageText, fmt.Appendf(nil, `{"type":"ack","ticket":%q,"cursor":%d}`, m.Ticket, m.Cursor))
					}
					if m.Type == "answer" {
						plays.Add(1)
						fmt.Println("plays", plays.Load())
					}
				}
				current = (1 + i%max(1, len(fronts)-1)) % len(fronts)
				if honorRetryAfter {
					time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
				}
			}
		}()
	}
	wg.Wait()
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// startPlayers runs the players in a child process and counts the answers that they receive.
func startPlayers(t *testing.T, target string, n int, honorRetryAfter bool) (plays *atomic.Int64, child *exec.Cmd) {
	t.Helper()
	child = exec.Command(os.Args[0])
	child.Env = append(os.Environ(), playersEnv+"="+target, fmt.Sprintf("%s_N=%d", playersEnv, n))
	if honorRetryAfter {
		child.Env = append(child.Env, playersEnv+"_HONOR_RETRY_AFTER=1")
	}
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	plays = &atomic.Int64{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			if strings.HasPrefix(lines.Text(), "plays") {
				plays.Add(1)
			}
		}
	}()
	t.Cleanup(func() { child.Process.Kill(); <-done; child.Wait() })
	return plays, child
}

// answerRequests grants each request at once. The returned function returns the event callbacks of the plays so far.
func (f *fixture) answerRequests(t *testing.T) (listeners func() []func(session.Event)) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var onEvent []func(session.Event)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; ctx.Err() == nil; {
			f.mu.Lock()
			var request *session.Request
			if len(f.requests) > n {
				request = &f.requests[n]
			}
			f.mu.Unlock()
			if request == nil {
				time.Sleep(time.Millisecond)
				continue
			}
			n++
			request.Reply.Resolve(playsAnswer(fmt.Sprint("p", n), 0))
			mu.Lock()
			onEvent = append(onEvent, request.OnEvent)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return func() []func(session.Event) { mu.Lock(); defer mu.Unlock(); return slices.Clone(onEvent) }
}

func TestManySocketsOnOneFront(t *testing.T) {
	n := *socketCount
	f := newFixture(t, 2*n+1000)
	listeners := f.answerRequests(t)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	goroutines := runtime.NumGoroutine()
	answered, _ := startPlayers(t, "ws"+strings.TrimPrefix(f.server.URL, "http"), n, true)
	for start := time.Now(); answered.Load() < int64(n); time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > 100*time.Second {
			t.Fatalf("%d of %d answered", answered.Load(), n)
		}
	}
	time.Sleep(500 * time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	perSocket := (int64(after.HeapInuse+after.StackInuse) - int64(before.HeapInuse+before.StackInuse)) / int64(n)
	routines := float64(runtime.NumGoroutine()-goroutines) / float64(n)
	seconds := 2
	if n > 1000 {
		seconds = 20
	}
	cpuBefore := cpuTime()
	time.Sleep(time.Duration(seconds) * time.Second)
	idle := float64(cpuTime()-cpuBefore) / float64(time.Duration(seconds)*time.Second)
	onEvent := listeners()
	cpuBefore = cpuTime()
	for i := range seconds * 100 { // one rung change per socket every 10 s
		from, to := i*len(onEvent)/1000, (i+1)*len(onEvent)/1000
		for k := from; k < to; k++ {
			onEvent[k%len(onEvent)](session.Event{Answer: playsAnswer(fmt.Sprint("p", k+1), i%2)})
		}
		time.Sleep(10 * time.Millisecond)
	}
	busy := float64(cpuTime()-cpuBefore) / float64(time.Duration(seconds)*time.Second)
	if routines > 4.5 {
		t.Errorf("%.1f goroutines per socket", routines)
	}
	if _, open, _ := f.front.Counts(); open != n {
		t.Errorf("%d sockets of %d are open", open, n)
	}
	t.Logf("%d sockets: %d bytes and %.1f goroutines per socket; CPU use when idle: %.3f cores, with a rung change every 10 s: %.3f cores", n, perSocket, routines, idle, busy)
}

func TestManyReconnectToTwoFrontsAfterFrontFailure(t *testing.T) {
	n := *socketCount
	for _, honorRetryAfter := range []bool{true, false} {
		var fixtures []*fixture
		var targets []string
		for range 3 {
			f := newFixture(t, 2*n+1000)
			f.answerRequests(t)
			fixtures = append(fixtures, f)
			targets = append(targets, "ws"+strings.TrimPrefix(f.server.URL, "http"))
		}
		answered, child := startPlayers(t, strings.Join(targets, ","), n, honorRetryAfter)
		for start := time.Now(); answered.Load() < int64(n); time.Sleep(20 * time.Millisecond) {
			if time.Since(start) > 150*time.Second {
				t.Fatalf("%d of %d answered", answered.Load(), n)
			}
		}
		fixtures[0].server.Listener.Close() // a crash: players receive no bye message
		go fixtures[0].front.Close()
		failedAt, cpuBefore := time.Now(), cpuTime()
		maxAnswered := int64(0) // answers in the busiest half second
		last := answered.Load()
		var refused int64
		for start := time.Now(); answered.Load() < 2*int64(n); {
			time.Sleep(500 * time.Millisecond)
			now := answered.Load()
			maxAnswered, last = max(maxAnswered, now-last), now
			if time.Since(start) > 150*time.Second {
				t.Fatalf("%d of %d players were answered after the failure", answered.Load()-int64(n), n)
			}
		}
		for _, f := range fixtures[1:] {
			c, _, _ := f.front.Counts()
			refused += c.Refused.Load()
		}
		t.Logf("%d sockets, Retry-After honored: %v; all answered after %v, at most %d in half a second, %d handshakes refused, %.1f s of CPU time", n, honorRetryAfter,
			time.Since(failedAt).Round(100*time.Millisecond), maxAnswered, refused, (cpuTime() - cpuBefore).Seconds())
		child.Process.Kill()
	}
}

// The latency of rung changes is logged, but not checked; the test fails only if a change isn't delivered.
func TestRungChangeLatency(t *testing.T) {
	f := newFixture(t, 1000)
	const n = 50
	var players []*player
	var onEvent []func(session.Event)
	for i := range n {
		p := f.dial(t)
		p.send("%s", strings.Replace(askMessage, ticketA, fmt.Sprintf("%020d", i), 1))
		request := f.waitForRequest(t, i)
		request.Reply.Resolve(playsAnswer(fmt.Sprint("p", i), 0))
		p.receive()
		players, onEvent = append(players, p), append(onEvent, request.OnEvent)
	}
	var latencies []time.Duration
	for round := range 20 {
		start := time.Now()
		for i := range n {
			onEvent[i](session.Event{Answer: playsAnswer(fmt.Sprint("p", i), round%2)})
		}
		for _, p := range players {
			if m := p.receive(); m.Type != "rung" {
				t.Fatalf("%+v", m)
			}
			latencies = append(latencies, time.Since(start))
		}
	}
	slices.Sort(latencies)
	t.Logf("%d rung changes, %d at a time: p50 %v, p99 %v", len(latencies), n, latencies[len(latencies)/2], latencies[len(latencies)*99/100])
}
