package testbed

import (
	"bytes"
	"math"
	"path/filepath"
	"runtime"
	"testing"

	"gullrail/testbed/trace"
)

func readTestScenario(t *testing.T, name string) *Scenario {
	t.Helper()
	scenario, err := ReadScenario("../days/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return scenario
}

func simulatedTrace(t *testing.T, scenario *Scenario) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := trace.Write(&out, (&Sim{Scenario: scenario}).Run().Events); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestSimulationIsDeterministicPerSeed(t *testing.T) {
	scenario := readTestScenario(t, "bad-day.jsonc")
	first := simulatedTrace(t, scenario)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if again := simulatedTrace(t, scenario); !bytes.Equal(first, again) {
		t.Fatal("the same seed gave a different trace")
	}
	scenario.Seed++
	if other := simulatedTrace(t, scenario); bytes.Equal(first, other) {
		t.Fatal("a different seed gave the same trace")
	}
}

func TestScenariosKeepRulesForManySeeds(t *testing.T) {
	if raceEnabled {
		t.Skip("simulations run in one goroutine")
	}
	for _, name := range []string{"bad-day.jsonc", "fare-change.jsonc", "short.jsonc"} {
		scenario := readTestScenario(t, name)
		for seed := range uint64(12) {
			scenario.Seed = seed + 1
			rep := (&Sim{Scenario: scenario}).Run().Report
			if !rep.RulesKept() || rep.MaxAnswers != 1 || rep.Plays == 0 {
				t.Errorf("%s, seed %d: %+v", name, scenario.Seed, rep.Rules)
			}
		}
	}
}

func TestPairedDifference(t *testing.T) {
	a := []float64{0.50, 0.55, 0.45, 0.60, 0.40}
	b := []float64{0.52, 0.57, 0.47, 0.62, 0.42}
	if d := PairedDifference("x", a, b); !d.Significant() || math.Abs(d.Mean-0.02) > 1e-9 {
		t.Errorf("constant difference, wide spread between seeds: %v", d)
	}
	b = []float64{0.60, 0.45, 0.47, 0.52, 0.50}
	if d := PairedDifference("x", a, b); d.Significant() || d.SeedsNeeded < 5 {
		t.Errorf("random differences: %v", d)
	}
	// Computed by hand: differences 1, 2, 3; mean 2; standard deviation 1; t(2) = 4.3027; half width 4.3027/sqrt(3) = 2.4841.
	if d := PairedDifference("x", []float64{0, 0, 0}, []float64{1, 2, 3}); math.Abs(d.HalfWidth-2.4841) > 1e-3 || d.Significant() {
		t.Errorf("hand-computed example: %+v", d)
	}
	if d := PairedDifference("x", []float64{1}, []float64{2}); d.Significant() {
		t.Errorf("a single seed can't be significant: %v", d)
	}
}

func TestComparisonDistinguishesModuleFromBaseline(t *testing.T) {
	scenario := readTestScenario(t, "short.jsonc")
	pairs, err := Compare(ScenarioSide(scenario, "random"), ScenarioSide(scenario, "choice"), []uint64{1, 2, 3, 4})
	if err != nil {
		t.Fatal(err)
	}
	if diff := Differences(pairs)[0]; !diff.Significant() || diff.Mean < 0.05 {
		t.Fatalf("no significant difference of at least 0.05 between the module and a random holder at the lowest rung: %v", diff)
	}
}

func TestScenarioFilesAreValid(t *testing.T) {
	for _, pattern := range []string{"../days/*.jsonc", "../days/troubles/*.jsonc"} {
		files, err := filepath.Glob(pattern)
		if err != nil || len(files) == 0 {
			t.Fatal(pattern, err)
		}
		for _, f := range files {
			if _, err := ReadScenario(f); err != nil {
				t.Error(err)
			}
		}
	}
}

func TestSingleFaultScenariosKeepRules(t *testing.T) {
	if raceEnabled {
		t.Skip("simulations run in one goroutine")
	}
	files, _ := filepath.Glob("../days/troubles/*.jsonc")
	for _, f := range files {
		scenario, err := ReadScenario(f)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(5) {
			scenario.Seed = seed + 1
			if rep := (&Sim{Scenario: scenario}).Run().Report; !rep.RulesKept() || rep.Plays == 0 {
				t.Errorf("%s, seed %d: %+v", filepath.Base(f), scenario.Seed, rep.Rules)
			}
		}
	}
}
