package frontend

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gullrail/session"
)

// collector exports the counters of a front as Prometheus metrics at each scrape.
type collector struct {
	front    *Front
	gauges   map[string]*prometheus.Desc
	counters map[string]*prometheus.Desc
}

const countsTimeout = 2 * time.Second // if the core doesn't respond in time, a scrape has zeros for its counters

func (f *Front) metrics() http.Handler {
	c := &collector{front: f, gauges: map[string]*prometheus.Desc{}, counters: map[string]*prometheus.Desc{}}
	describe := func(descs map[string]*prometheus.Desc, name, help string) {
		descs[name] = prometheus.NewDesc("gullrail_"+name, help, nil, prometheus.Labels{"front": f.settings.Name})
	}
	describe(c.gauges, "ready", "1 once the front may take plays.")
	describe(c.gauges, "store_broken", "1 when the store is broken: paid and seated plays are declined.")
	describe(c.gauges, "plays_in_hand", "Plays waiting, being set up or playing.")
	describe(c.gauges, "viewers_known", "Viewers with a number.")
	describe(c.gauges, "titles_known", "Titles with a number.")
	describe(c.gauges, "nodes_known", "Playout nodes with a number.")
	describe(c.gauges, "requests_waiting", "Requests at the intake gate.")
	describe(c.counters, "taken_total", "Plays taken by the module.")
	describe(c.counters, "plays_total", "Answered: plays.")
	describe(c.counters, "declined_total", "Answered: declined.")
	describe(c.counters, "failed_total", "Answered: failed.")
	describe(c.counters, "denied_total", "Denied, not taken.")
	describe(c.counters, "moved_total", "Plays moved off short links.")
	describe(c.counters, "lost_total", "Plays lost with their node.")
	describe(c.counters, "adopted_total", "Plays of an earlier life taken over.")
	describe(c.counters, "orphans_total", "Allocations found running that nobody wants, and ended.")
	describe(c.counters, "turned_away_total", "Requests turned away at the intake gate.")
	describe(c.counters, "core_busy_seconds_total", "Time that the core worked.")
	describe(c.counters, "messages_sent_total", "Messages sent to other fronts.")
	describe(c.counters, "messages_heard_total", "Messages heard from other fronts.")
	describe(c.counters, "messages_dropped_total", "Messages that no other front vouches for, dropped.")
	describe(c.gauges, "sockets_open", "Players' sockets that are open.")
	describe(c.gauges, "sockets_tickets", "Requests and plays kept for sockets, broken ones' included.")
	describe(c.counters, "sockets_refused_total", "Sockets not let in.")
	describe(c.counters, "sockets_shed_total", "Sockets let go to make room.")
	describe(c.counters, "sockets_cut_total", "Sockets cut as their players flooded or did not hold to the protocol.")
	describe(c.counters, "sockets_resumed_total", "Requests and plays taken up again on another socket.")
	reg := prometheus.NewRegistry()
	reg.MustRegister(c, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return promhttp.HandlerFor(reg, promhttp.HandlerOpts{})
}

func (c *collector) Describe(out chan<- *prometheus.Desc) {
	for _, d := range c.gauges {
		out <- d
	}
	for _, d := range c.counters {
		out <- d
	}
}

func (c *collector) Collect(out chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), countsTimeout)
	defer cancel()
	var n session.Counts = c.front.Counts(ctx)
	rejected, waiting := c.front.runner.Rejected()
	ready := 0.0
	if n.Ready {
		ready = 1
	}
	broken := 0.0
	if c.front.journal != nil && c.front.journal.Broken() {
		broken = 1
	}
	sockets, open, tickets := c.front.sockets.Counts()
	var sent, received, dropped uint64
	if c.front.peers != nil {
		sent, received, dropped = c.front.peers.Counts()
	}
	for name, v := range map[string]float64{"sockets_open": float64(open), "sockets_tickets": float64(tickets), "ready": ready, "store_broken": broken, "plays_in_hand": float64(n.Active), "viewers_known": float64(n.Viewers),
		"titles_known": float64(n.Titles), "nodes_known": float64(n.Nodes), "requests_waiting": float64(waiting)} {
		out <- prometheus.MustNewConstMetric(c.gauges[name], prometheus.GaugeValue, v)
	}
	for name, v := range map[string]float64{"sockets_refused_total": float64(sockets.Refused.Load()), "sockets_shed_total": float64(sockets.Shed.Load()),
		"sockets_cut_total": float64(sockets.Disconnected.Load()), "sockets_resumed_total": float64(sockets.Resumed.Load()), "taken_total": float64(n.Accepted), "plays_total": float64(n.Started),
		"declined_total": float64(n.Declined), "failed_total": float64(n.Failed), "denied_total": float64(n.Denied),
		"moved_total": float64(n.Moved), "lost_total": float64(n.Broken), "adopted_total": float64(n.Adopted),
		"orphans_total": float64(n.Orphans), "messages_sent_total": float64(sent), "messages_heard_total": float64(received),
		"messages_dropped_total": float64(dropped), "turned_away_total": float64(rejected),
		"core_busy_seconds_total": c.front.runner.BusyTime().Seconds()} {
		out <- prometheus.MustNewConstMetric(c.counters[name], prometheus.CounterValue, v)
	}
}
