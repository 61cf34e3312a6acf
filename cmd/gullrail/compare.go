package main

import (
	"fmt"

	"gullrail/lab"
)

type compareVerb struct {
	A       string `arg:"" help:"A day."`
	B       string `arg:"" help:"Another, or the same with another module."`
	Seeds   int    `help:"How many seeds, from 1 on." default:"10"`
	ModuleA string `help:"Module that plays A." enum:"choice,random,least" default:"choice"`
	ModuleB string `help:"Module that plays B." enum:"choice,random,least" default:"choice"`
}

func (v *compareVerb) Run() error {
	a, err := lab.ReadDay(v.A)
	if err != nil {
		return wrong{err}
	}
	b, err := lab.ReadDay(v.B)
	if err != nil {
		return wrong{err}
	}
	if v.Seeds < 1 || v.Seeds > 10000 {
		return wrong{fmt.Errorf("--seeds: 1 to 10000")}
	}
	var seeds []uint64
	for i := range v.Seeds {
		seeds = append(seeds, uint64(i+1))
	}
	pairs, err := lab.Compare(lab.Side{Day: a, Module: v.ModuleA}, lab.Side{Day: b, Module: v.ModuleB}, seeds)
	if err != nil {
		return err
	}
	fmt.Printf("A: %s, %s; B: %s, %s (simulated)\n", v.A, v.ModuleA, v.B, v.ModuleB)
	broken := 0
	for _, p := range pairs {
		for _, s := range p.Broken {
			fmt.Println("  " + s)
			broken++
		}
	}
	for _, d := range lab.Differences(pairs) {
		fmt.Println("  " + d.String())
	}
	if broken > 0 {
		return fmt.Errorf("a rule is broken")
	}
	return nil
}
