package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"gullrail/testbed"
)

type loadCommand struct {
	File string        `arg:"" help:"Scenario: its service, nodes, seed, products and titles are used, its rate and faults ignored."`
	Rate []float64     `help:"New plays per second; each value is one measurement." default:"33"`
	For  time.Duration `help:"Duration of each measurement." default:"20s"`
	Hold time.Duration `help:"How long a viewer keeps a play." default:"10s"`
}

// Run starts the scenario's nodes and front ends and measures the front ends under an open-loop request load: requests are sent on
// schedule whether earlier ones have been answered or not.
func (c *loadCommand) Run(ctx context.Context) (err error) {
	scenario, err := testbed.ReadScenario(c.File)
	if err != nil {
		return inputError{err}
	}
	folder, err := os.MkdirTemp("", "gullrail-load-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	program, err := os.Executable()
	if err != nil {
		return err
	}
	rehearsal := &testbed.Rehearsal{Scenario: scenario, Program: program, Folder: folder}
	defer func() {
		if stopErr := rehearsal.Stop(); stopErr != nil && err == nil {
			err = stopErr
		}
	}()
	if err := rehearsal.Start(ctx); err != nil {
		return err
	}
	fmt.Printf("%d fronts, %d nodes (loopback, all on this machine)\n", scenario.Service.Fronts, scenario.Nodes)
	fmt.Println("   rate requests    plays declined   failed   broken  p50 ms  p99 ms p99.9 ms   max ms  allocs/req  kB/req  cpu us/req  core us/req  goroutines  heap MB")
	for i, rate := range c.Rate {
		load := &testbed.LoadGenerator{Scenario: scenario, Fronts: rehearsal.Fronts(), PlaysPerSecond: rate, Duration: c.For, PlayTime: c.Hold, Name: fmt.Sprint("load", i)}
		result, err := load.Run(ctx)
		if err != nil {
			return err
		}
		latencyMs := func(p float64) float64 { return float64(result.Latency.ValueAtPercentile(p)) / 1000 }
		perRequest := func(name string, scale float64) float64 {
			return result.MetricIncrease(name) * scale / max(1, float64(result.Requests))
		}
		fmt.Printf("%7.0f %8d %8d %8d %8d %8d %7.1f %7.1f %8.1f %8.1f %11.0f %7.1f %11.0f %12.1f %11.0f %8.1f\n", rate, result.Requests, result.Plays,
			result.Declined, result.Failed, result.Broken, latencyMs(50), latencyMs(99), latencyMs(99.9), float64(result.Latency.Max())/1000,
			perRequest("go_memstats_mallocs_total", 1), perRequest("go_memstats_alloc_bytes_total", 1e-3), perRequest("process_cpu_seconds_total", 1e6),
			perRequest("gullrail_core_busy_seconds_total", 1e6), result.MetricAtEnd("go_goroutines"), result.MetricAtEnd("go_memstats_heap_alloc_bytes")/1e6)
	}
	return nil
}
