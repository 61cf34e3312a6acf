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

// freeUDPAddress returns an unused UDP address.
func freeUDPAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// Guards a migration between two configurations: two fronts with the old settings and two with the new ones, which have
// live titles and send each other peer messages, use the same nodes while one node drains and one restarts cold.
func TestFrontsWithOldAndNewSettingsShareNodes(t *testing.T) {
	const fronts, rounds = 4, 30
	r := newRigWith(t, 4, func(r *rig) {
		r.service.Fronts, r.service.DrainGraceMs, r.service.LinkKBPerWeight = fronts, 250, 4000
		r.settings.Service, r.settings.Name = *r.service, "old0"
	})
	r.fleet.mu.Lock()
	for _, n := range r.nodes {
		n.linkKB = 4000
	}
	r.fleet.mu.Unlock()
	newService := *r.service
	newService.Products, newService.SharedStreamShare = slices.Clone(r.service.Products), 0.3
	newService.Products[1].Live = true
	peerAddresses := make([]string, fronts)
	for i := range peerAddresses {
		peerAddresses[i] = freeUDPAddress(t)
	}
	names, addrs := []string{"old0"}, []string{r.addr}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer func() { stop(); running.Wait() }()
	for i := 1; i < fronts; i++ {
		settings := r.settings
		settings.Number, settings.Name = i, fmt.Sprint("old", i)
		if i >= fronts/2 {
			settings.Name, settings.Service = fmt.Sprint("new", i), newService
			settings.Peers = config.Peers{Listen: peerAddresses[i], Fronts: peerAddresses, Secret: bytes.Repeat([]byte{5}, 32)}
		}
		f, err := frontend.Listen(settings, time.Now().UnixNano(), zerolog.Nop())
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
		names, addrs = append(names, settings.Name), append(addrs, f.Addr())
	}
	for i, addr := range addrs {
		r.eventually(names[i]+" is ready", func() bool { return r.getURL("http://"+addr+"/readyz").status == 200 })
	}

	players := NewViewerClients(r.service, r.recorder)
	defer players.Client.CloseIdleConnections()
	for round := range rounds {
		switch round {
		case 10:
			line := r.nodes[0].line
			line.Phase = "draining"
			r.listService.UpdateNodes(line)
		case 15:
			r.nodes[1].crash(trace.NodeCrashed)
			r.nodes[1].wg.Wait()
			if err := r.nodes[1].start(true); err != nil {
				t.Fatal(err)
			}
			r.nodes[1].line.StartedMs = time.Now().UnixMilli()
			r.listService.UpdateNodes(r.nodes[1].line)
		}
		var requests sync.WaitGroup
		for i := range fronts {
			product, title := 1, "clip"
			if round%5 == 4 {
				product, title = 0, "other"
			}
			v := &Viewer{Name: fmt.Sprintf("v%d-%d", round, i), Product: &r.service.Products[product], Title: title, MaxRung: 2,
				WatchTime: time.Minute, Fronts: addrs, Names: names}
			requests.Add(1)
			go func() {
				defer requests.Done()
				players.requestManifest(context.Background(), v, i, players.initialURL(v, i, v.WatchTime), "", true, false)
			}()
		}
		requests.Wait()
		time.Sleep(30 * time.Millisecond) // so that the run outlasts the drain grace period and part of the cold period
	}

	rep := audit.Check(r.service, r.recorder.Events())
	if !rep.RulesKept() {
		t.Errorf("rules: %+v", rep.Rules)
	}
	asked, plays, messages := map[string]int{}, map[string]int{}, 0.0
	settingsOf := map[int64]string{}
	for _, e := range r.recorder.Events() {
		switch {
		case e.Kind == trace.RequestSent:
			settingsOf[e.ID] = e.Front[:3]
			asked[e.Front[:3]]++
		case e.Kind == trace.Answer && e.Status == 200:
			plays[settingsOf[e.ID]]++
		}
	}
	for i, addr := range addrs {
		_, received, _ := strings.Cut(r.getURL("http://"+addr+"/metrics").body, fmt.Sprintf("\ngullrail_messages_heard_total{front=%q} ", names[i]))
		received, _, _ = strings.Cut(received, "\n")
		n, err := strconv.ParseFloat(received, 64)
		if err != nil {
			t.Fatalf("%s: no metric of peer messages received: %v", names[i], err)
		}
		messages += n
	}
	for _, settings := range []string{"old", "new"} { // both request the same plays from the same nodes
		if share := float64(plays[settings]) / float64(asked[settings]); asked[settings] != rounds*fronts/2 || share < 0.8 {
			t.Errorf("%s fronts: %d plays of %d requests", settings, plays[settings], asked[settings])
		}
	}
	if messages == 0 {
		t.Error("the new fronts received no peer messages")
	}
}
