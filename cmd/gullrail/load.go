package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"gullrail/testbed"
)

type loadVerb struct {
	File string        `arg:"" help:"A day: its service, nodes, seed, products and titles are used, not its rate or faults."`
	Rate []float64     `help:"New plays a second over time: one stretch for each value." default:"33"`
	For  time.Duration `help:"How long each stretch asks." default:"20s"`
	Hold time.Duration `help:"How long a play is held." default:"10s"`
}

// Run starts the day's nodes and fronts and measures the fronts under an open loop of requests.
func (v *loadVerb) Run(ctx context.Context) (err error) {
	day, err := testbed.ReadScenario(v.File)
	if err != nil {
		return wrong{err}
	}
	folder, err := os.MkdirTemp("", "gullrail-load-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	run := &testbed.Rehearsal{Scenario: day, Program: self, Folder: folder}
	defer func() {
		if e := run.Stop(); e != nil && err == nil {
			err = e
		}
	}()
	if err := run.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("%d fronts, %d nodes (loopback, all on this machine)\n", day.Service.Fronts, day.Nodes)
	fmt.Println("   rate    asked    plays declined   failed   broken  p50 ms  p99 ms p99.9 ms   max ms  allocs/req  kB/req  cpu us/req  core us/req  goroutines  heap MB")
	for i, rate := range v.Rate {
		l := &testbed.Load{Scenario: day, Fronts: run.Fronts(), PlaysPerSecond: rate, Duration: v.For, PlayTime: v.Hold, Name: fmt.Sprint("load", i)}
		res, err := l.Run(ctx)
		if err != nil {
			return err
		}
		ms := func(p float64) float64 { return float64(res.Latency.ValueAtPercentile(p)) / 1000 }
		per := func(name string, scale float64) float64 {
			return res.MetricIncrease(name) * scale / max(1, float64(res.Requests))
		}
		fmt.Printf("%7.0f %8d %8d %8d %8d %8d %7.1f %7.1f %8.1f %8.1f %11.0f %7.1f %11.0f %12.1f %11.0f %8.1f\n", rate, res.Requests, res.Plays,
			res.Declined, res.Failed, res.Broken, ms(50), ms(99), ms(99.9), float64(res.Latency.Max())/1000,
			per("go_memstats_mallocs_total", 1), per("go_memstats_alloc_bytes_total", 1e-3), per("process_cpu_seconds_total", 1e6),
			per("gullrail_core_busy_seconds_total", 1e6), res.MetricAtEnd("go_goroutines"), res.MetricAtEnd("go_memstats_heap_alloc_bytes")/1e6)
	}
	return nil
}
