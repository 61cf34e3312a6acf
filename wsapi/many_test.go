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

// manySockets asks for the long form: go test ./wsapi -run Many -sockets 9000 -v
var manySockets = flag.Int("sockets", 300, "sockets of the tests with many")

const manyEnv = "GULLRAIL_MANY"

// TestMain lets the test binary be the players' process, so that the front's own figures can be read.
func TestMain(m *testing.M) {
	flag.Parse()
	if target := os.Getenv(manyEnv); target != "" {
		n, _ := strconv.Atoi(os.Getenv(manyEnv + "_N"))
		manyPlayers(target, n, os.Getenv(manyEnv+"_HEED") == "1")
		return
	}
	os.Exit(m.Run())
}

// manyPlayers opens sockets to fronts, asks on each, and takes what comes, until it is killed. A player whose front
// is gone goes to the next one: at the time that it is told, or at once and again.
func manyPlayers(target string, n int, heed bool) {
	fronts := strings.Split(target, ",")
	var plays atomic.Int64
	var wg sync.WaitGroup
	sem := make(chan struct{}, 64)
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			at := 0
			ticket := fmt.Sprintf("%020d", i)
			for try := 0; ; try++ {
				if try == 0 {
					sem <- struct{}{}
				}
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				conn, resp, err := websocket.Dial(ctx, fronts[at]+"?viewer="+ticket, &websocket.DialOptions{Subprotocols: []string{Subprotocol}})
				cancel()
				if err != nil {
					if try == 0 {
						<-sem
					}
					pause := 20 * time.Millisecond
					if resp != nil {
						if ms, e := strconv.Atoi(resp.Header.Get(RetryAfterMsHeader)); heed && e == nil {
							pause = time.Duration(ms) * time.Millisecond
						}
					} else {
						at = 1 + i%max(1, len(fronts)-1)
						at %= len(fronts)
						if heed {
							pause = time.Duration(rand.IntN(2000)) * time.Millisecond
						}
					}
					time.Sleep(pause)
					try = max(try, 0)
					continue
				}
				conn.Write(context.Background(), websocket.MessageText, fmt.Appendf(nil, `{"type":"ask","ticket":"%s-%d","title":"t","product":"p","viewer":"v%d"}`, ticket, try, i))
				if try == 0 {
					<-sem
				}
				for {
					_, text, err := conn.Read(context.Background())
					if err != nil {
						conn.CloseNow()
						break
					}
					m, err := DecodeFront(text)
					if err != nil {
						fmt.Println("x", err)
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
				at = (1 + i%max(1, len(fronts)-1)) % len(fronts)
				if heed {
					time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
				}
			}
		}()
	}
	wg.Wait()
}

func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func players(t *testing.T, target string, n int, heed bool) (plays *atomic.Int64, child *exec.Cmd) {
	t.Helper()
	child = exec.Command(os.Args[0])
	child.Env = append(os.Environ(), manyEnv+"="+target, fmt.Sprintf("%s_N=%d", manyEnv, n))
	if heed {
		child.Env = append(child.Env, manyEnv+"_HEED=1")
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

// answering answers each request at once, and keeps who follows its play.
func (b *bench) answering(t *testing.T) (follow func() []func(session.Event)) {
	ctx, cancel := context.WithCancel(context.Background())
	var mu sync.Mutex
	var all []func(session.Event)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; ctx.Err() == nil; {
			b.mu.Lock()
			var x *session.Request
			if len(b.asks) > n {
				x = &b.asks[n]
			}
			b.mu.Unlock()
			if x == nil {
				time.Sleep(time.Millisecond)
				continue
			}
			n++
			x.Reply.Resolve(plays(fmt.Sprint("p", n), 0))
			mu.Lock()
			all = append(all, x.OnEvent)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return func() []func(session.Event) { mu.Lock(); defer mu.Unlock(); return slices.Clone(all) }
}

func TestManySocketsOnOneFront(t *testing.T) {
	n := *manySockets
	b := newBench(t, 2*n+1000)
	follow := b.answering(t)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	goroutines := runtime.NumGoroutine()
	answered, _ := players(t, "ws"+strings.TrimPrefix(b.server.URL, "http"), n, true)
	for at := time.Now(); answered.Load() < int64(n); time.Sleep(20 * time.Millisecond) {
		if time.Since(at) > 100*time.Second {
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
	was := cpu()
	time.Sleep(time.Duration(seconds) * time.Second)
	idle := float64(cpu()-was) / float64(time.Duration(seconds)*time.Second)
	all := follow()
	was = cpu()
	for i := range seconds * 100 { // one change a socket each ten seconds
		from, to := i*len(all)/1000, (i+1)*len(all)/1000
		for k := from; k < to; k++ {
			all[k%len(all)](session.Event{Answer: plays(fmt.Sprint("p", k+1), i%2)})
		}
		time.Sleep(10 * time.Millisecond)
	}
	busy := float64(cpu()-was) / float64(time.Duration(seconds)*time.Second)
	if routines > 4.5 {
		t.Errorf("%.1f goroutines a socket", routines)
	}
	if _, open, _ := b.front.Counts(); open != n {
		t.Errorf("%d sockets of %d are open", open, n)
	}
	t.Logf("%d sockets: %d bytes and %.1f goroutines a socket; CPU idle %.3f cores, with a change each 10 s %.3f", n, perSocket, routines, idle, busy)
}

func TestManyReturnToTwoFrontsWhenTheirsDies(t *testing.T) {
	n := *manySockets
	for _, heed := range []bool{true, false} {
		var benches []*bench
		var targets []string
		for range 3 {
			b := newBench(t, 2*n+1000)
			b.answering(t)
			benches = append(benches, b)
			targets = append(targets, "ws"+strings.TrimPrefix(b.server.URL, "http"))
		}
		answered, child := players(t, strings.Join(targets, ","), n, heed)
		for at := time.Now(); answered.Load() < int64(n); time.Sleep(20 * time.Millisecond) {
			if time.Since(at) > 150*time.Second {
				t.Fatalf("%d of %d answered", answered.Load(), n)
			}
		}
		benches[0].server.Listener.Close() // it dies: nobody is told anything
		go benches[0].front.Close()
		died, was := time.Now(), cpu()
		most := int64(0) // answered in the busiest half second
		last := answered.Load()
		var knocks int64
		for at := time.Now(); answered.Load() < 2*int64(n); {
			time.Sleep(500 * time.Millisecond)
			now := answered.Load()
			most, last = max(most, now-last), now
			if time.Since(at) > 150*time.Second {
				t.Fatalf("%d of %d came back", answered.Load()-int64(n), n)
			}
		}
		for _, b := range benches[1:] {
			c, _, _ := b.front.Counts()
			knocks += c.Refused.Load()
		}
		t.Logf("%d sockets, heeding %v: back after %v, %d at most in half a second, %d turned away, %.1f s of CPU", n, heed,
			time.Since(died).Round(100*time.Millisecond), most, knocks, (cpu() - was).Seconds())
		child.Process.Kill()
	}
}

// A change reaches its player at once: measured with -v, judged only for arriving.
func TestFromOrderToReceipt(t *testing.T) {
	b := newBench(t, 1000)
	const n = 50
	var peers []*peer
	var follow []func(session.Event)
	for i := range n {
		p := b.dial(t)
		p.say("%s", strings.Replace(askA, ticketA, fmt.Sprintf("%020d", i), 1))
		x := b.ask(t, i)
		x.Reply.Resolve(plays(fmt.Sprint("p", i), 0))
		p.hear()
		peers, follow = append(peers, p), append(follow, x.OnEvent)
	}
	var took []time.Duration
	for round := range 20 {
		began := time.Now()
		for i := range n {
			follow[i](session.Event{Answer: plays(fmt.Sprint("p", i), round%2)})
		}
		for _, p := range peers {
			if m := p.hear(); m.Type != "rung" {
				t.Fatalf("%+v", m)
			}
			took = append(took, time.Since(began))
		}
	}
	slices.Sort(took)
	t.Logf("%d changes, %d at once: p50 %v, p99 %v", len(took), n, took[len(took)/2], took[len(took)*99/100])
}
