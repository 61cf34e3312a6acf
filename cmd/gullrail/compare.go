package main

import (
	"context"
	"fmt"

	"gullrail/testbed"
)

type compareCommand struct {
	A       string `arg:"" help:"Scenario A."`
	B       string `arg:"" help:"Scenario B; may be the same file, to compare modules or builds."`
	Seeds   int    `help:"Number of seeds, counted from 1." default:"10"`
	ModuleA string `help:"Decision module of side A." enum:"choice,random,least" default:"choice"`
	ModuleB string `help:"Decision module of side B." enum:"choice,random,least" default:"choice"`
	BuildA  string `help:"Another gullrail executable that runs side A." type:"existingfile"`
	BuildB  string `help:"Another gullrail executable that runs side B." type:"existingfile"`
}

func (c *compareCommand) Run(ctx context.Context) error {
	side := func(file, module, build string) (testbed.Side, error) {
		scenario, err := testbed.ReadScenario(file)
		if err != nil {
			return nil, inputError{err}
		}
		if build != "" {
			return testbed.BuildSide(ctx, build, file, module), nil
		}
		return testbed.ScenarioSide(scenario, module), nil
	}
	a, err := side(c.A, c.ModuleA, c.BuildA)
	if err != nil {
		return err
	}
	b, err := side(c.B, c.ModuleB, c.BuildB)
	if err != nil {
		return err
	}
	if c.Seeds < 1 || c.Seeds > 10000 {
		return inputError{fmt.Errorf("--seeds: must be 1 to 10000")}
	}
	var seeds []uint64
	for i := range c.Seeds {
		seeds = append(seeds, uint64(i+1))
	}
	pairs, err := testbed.Compare(a, b, seeds)
	if err != nil {
		return err
	}
	fmt.Printf("A: %s, %s; B: %s, %s (simulated)\n", c.A, c.ModuleA, c.B, c.ModuleB)
	broken := 0
	for _, pair := range pairs {
		for _, violation := range pair.BrokenRules {
			fmt.Println("  " + violation)
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
