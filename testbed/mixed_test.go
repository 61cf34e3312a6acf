package testbed

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gullrail/config"
	"gullrail/frontend"
	"gullrail/testbed/audit"
	"gullrail/testbed/trace"
)

// freeUDP finds a port for messages that nobody uses.
func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// A move in the middle: two fronts of the old shape and two of the new one, which know live titles and send
// each other messages, before the same nodes, while one node drains and one comes back cold.
func TestFrontsOfBothShapesBeforeTheSameNodes(t *testing.T) {
	const fronts, rounds = 4, 30
	r := newRigWith(t, 4, func(r *rig) {
		r.set.Fronts, r.set.DrainGraceMs, r.set.WeightKB = fronts, 250, 4000
		r.settings.Service, r.settings.Name = *r.set, "old0"
	})
	r.fleet.mu.Lock()
	for _, n := range r.nodes {
		n.linkKB = 4000
	}
	r.fleet.mu.Unlock()
	moved := *r.set
	moved.Products, moved.SharedStreamShare = slices.Clone(r.set.Products), 0.3
	moved.Products[1].Live = true
	ports := make([]string, fronts)
	for i := range ports {
		ports[i] = freeUDP(t)
	}
	names, addrs := []string{"old0"}, []string{r.addr}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() { stop(); running.Wait() }()
	for i := 1; i < fronts; i++ {
		set := r.settings
		set.Number, set.Name = i, fmt.Sprint("old", i)
		if i >= fronts/2 {
			set.Name, set.Service = fmt.Sprint("new", i), moved
			set.Peers = config.Peers{Listen: ports[i], Fronts: ports, Secret: bytes.Repeat([]byte{5}, 32)}
		}
		f, err := frontend.Listen(set, time.Now().UnixNano(), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		running.Add(1)
		go func() {
			defer running.Done()
			if err := f.Run(ctx); err != nil {
				t.Error(err)
			}
		}()
		names, addrs = append(names, set.Name), append(addrs, f.Addr())
	}
	for i, addr := range addrs {
		r.eventually(names[i]+" is ready", func() bool { return r.getAt("http://"+addr+"/readyz").status == 200 })
	}

	players := NewViewerClients(r.set, r.tape)
	defer players.Client.CloseIdleConnections()
	for round := range rounds {
		switch round {
		case 10:
			line := r.nodes[0].line
			line.Phase = "draining"
			r.registry.UpdateNodes(line)
		case 15:
			r.nodes[1].crash(trace.Crash)
			r.nodes[1].wg.Wait()
			if err := r.nodes[1].start(true); err != nil {
				t.Fatal(err)
			}
			r.nodes[1].line.StartedMs = time.Now().UnixMilli()
			r.registry.UpdateNodes(r.nodes[1].line)
		}
		var asking sync.WaitGroup
		for i := range fronts {
			product, title := 1, "clip"
			if round%5 == 4 {
				product, title = 0, "other"
			}
			v := &Viewer{Name: fmt.Sprintf("v%d-%d", round, i), Product: &r.set.Products[product], Title: title, MaxRung: 2,
				WatchTime: time.Minute, Fronts: addrs, Names: names}
			asking.Add(1)
			go func() {
				defer asking.Done()
				players.requestManifest(context.Background(), v, i, players.initialURL(v, i, v.WatchTime), "", true, false)
			}()
		}
		asking.Wait()
		time.Sleep(30 * time.Millisecond) // so that the day outlasts the grace and some cold turns
	}

	rep := audit.Check(r.set, r.tape.Events())
	if !rep.RulesKept() {
		t.Errorf("rules: %+v", rep.Rules)
	}
	asked, plays, messages := map[string]int{}, map[string]int{}, 0.0
	kind := map[int64]string{}
	for _, l := range r.tape.Events() {
		switch {
		case l.Kind == trace.Ask:
			kind[l.ID] = l.Front[:3]
			asked[l.Front[:3]]++
		case l.Kind == trace.Answer && l.Status == 200:
			plays[kind[l.ID]]++
		}
	}
	for i, addr := range addrs {
		_, heard, _ := strings.Cut(r.getAt("http://"+addr+"/metrics").body, fmt.Sprintf("\ngullrail_messages_heard_total{front=%q} ", names[i]))
		heard, _, _ = strings.Cut(heard, "\n")
		n, err := strconv.ParseFloat(heard, 64)
		if err != nil {
			t.Fatalf("%s does not tell what it heard: %v", names[i], err)
		}
		messages += n
	}
	for _, k := range []string{"old", "new"} { // both want the same of the same nodes
		if share := float64(plays[k]) / float64(asked[k]); asked[k] != rounds*fronts/2 || share < 0.8 {
			t.Errorf("%s fronts: %d plays of %d asked", k, plays[k], asked[k])
		}
	}
	if messages == 0 {
		t.Error("the new fronts told each other nothing")
	}
}
