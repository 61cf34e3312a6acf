package testbed

import (
	"bytes"
	"math"
	"path/filepath"
	"runtime"
	"testing"

	"gullrail/testbed/trace"
)

func readDayFile(t *testing.T, name string) *Scenario {
	t.Helper()
	d, err := ReadScenario("../days/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func simTape(t *testing.T, d *Scenario) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := trace.Write(&out, (&Sim{Scenario: d}).Run().Lines); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestSameSeedSameDayByteForByte(t *testing.T) {
	d := readDayFile(t, "bad-day.jsonc")
	first := simTape(t, d)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	if again := simTape(t, d); !bytes.Equal(first, again) {
		t.Fatal("the same seed gave another day")
	}
	d.Seed++
	if other := simTape(t, d); bytes.Equal(first, other) {
		t.Fatal("another seed gave the same day")
	}
}

func TestManyBadDaysKeepTheRules(t *testing.T) {
	if raceEnabled {
		t.Skip("simulated days have one goroutine")
	}
	for _, name := range []string{"bad-day.jsonc", "fare-change.jsonc", "short.jsonc"} {
		d := readDayFile(t, name)
		for seed := range uint64(12) {
			d.Seed = seed + 1
			rep := (&Sim{Scenario: d}).Run().Report
			if !rep.RulesKept() || rep.MaxAnswers != 1 || rep.Plays == 0 {
				t.Errorf("%s, seed %d: %+v", name, d.Seed, rep.Rules)
			}
		}
	}
}

func TestDifferencesTellWhatTheNoiseLeaves(t *testing.T) {
	a := []float64{0.50, 0.55, 0.45, 0.60, 0.40}
	b := []float64{0.52, 0.57, 0.47, 0.62, 0.42}
	if d := PairedDifference("x", a, b); !d.Significant() || math.Abs(d.Mean-0.02) > 1e-9 {
		t.Errorf("a steady gain under wide noise: %v", d)
	}
	b = []float64{0.60, 0.45, 0.47, 0.52, 0.50}
	if d := PairedDifference("x", a, b); d.Significant() || d.SeedsNeeded < 5 {
		t.Errorf("noise: %v", d)
	}
	// By hand: differences 1, 2, 3: mean 2, sd 1, t(2) = 4.3027, half width 4.3027/sqrt(3) = 2.4841.
	if d := PairedDifference("x", []float64{0, 0, 0}, []float64{1, 2, 3}); math.Abs(d.HalfWidth-2.4841) > 1e-3 || d.Significant() {
		t.Errorf("by hand: %+v", d)
	}
	if d := PairedDifference("x", []float64{1}, []float64{2}); d.Significant() {
		t.Errorf("one seed tells nothing: %v", d)
	}
}

func TestBaselineIsToldFromTheModule(t *testing.T) {
	d := readDayFile(t, "short.jsonc")
	pairs, err := Compare(ScenarioSide(d, "random"), ScenarioSide(d, "choice"), []uint64{1, 2, 3, 4})
	if err != nil {
		t.Fatal(err)
	}
	if diff := Differences(pairs)[0]; !diff.Significant() || diff.Mean < 0.05 {
		t.Fatalf("the module against a random holder at the lowest rung: %v", diff)
	}
}

func TestDaysAreInOrder(t *testing.T) {
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

func TestEachTroubleKeepsTheRules(t *testing.T) {
	if raceEnabled {
		t.Skip("simulated days have one goroutine")
	}
	files, _ := filepath.Glob("../days/troubles/*.jsonc")
	for _, f := range files {
		d, err := ReadScenario(f)
		if err != nil {
			t.Fatal(err)
		}
		for seed := range uint64(5) {
			d.Seed = seed + 1
			if rep := (&Sim{Scenario: d}).Run().Report; !rep.RulesKept() || rep.Plays == 0 {
				t.Errorf("%s, seed %d: %+v", filepath.Base(f), d.Seed, rep.Rules)
			}
		}
	}
}
