package main

import (
	"context"
	"fmt"

	"gullrail/testbed"
)

type compareVerb struct {
	A       string `arg:"" help:"A day."`
	B       string `arg:"" help:"Another, or the same with another module."`
	Seeds   int    `help:"How many seeds, from 1 on." default:"10"`
	ModuleA string `help:"Module that plays A." enum:"choice,random,least" default:"choice"`
	ModuleB string `help:"Module that plays B." enum:"choice,random,least" default:"choice"`
	BuildA  string `help:"Another build of gullrail that plays A." type:"existingfile"`
	BuildB  string `help:"Another build of gullrail that plays B." type:"existingfile"`
}

func (v *compareVerb) Run(ctx context.Context) error {
	side := func(file, module, build string) (testbed.Side, error) {
		day, err := testbed.ReadScenario(file)
		if err != nil {
			return nil, wrong{err}
		}
		if build != "" {
			return testbed.BuildSide(ctx, build, file, module), nil
		}
		return testbed.ScenarioSide(day, module), nil
	}
	a, err := side(v.A, v.ModuleA, v.BuildA)
	if err != nil {
		return err
	}
	b, err := side(v.B, v.ModuleB, v.BuildB)
	if err != nil {
		return err
	}
	if v.Seeds < 1 || v.Seeds > 10000 {
		return wrong{fmt.Errorf("--seeds: 1 to 10000")}
	}
	var seeds []uint64
	for i := range v.Seeds {
		seeds = append(seeds, uint64(i+1))
	}
	pairs, err := testbed.Compare(a, b, seeds)
	if err != nil {
		return err
	}
	fmt.Printf("A: %s, %s; B: %s, %s (simulated)\n", v.A, v.ModuleA, v.B, v.ModuleB)
	broken := 0
	for _, p := range pairs {
		for _, s := range p.BrokenRules {
			fmt.Println("  " + s)
			broken++
		}
	}
	for _, d := range testbed.Differences(pairs) {
		fmt.Println("  " + d.String())
	}
	if broken > 0 {
		return fmt.Errorf("a rule is broken")
	}
	return nil
}
