package lab

import (
	"fmt"
	"math"
	"runtime"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Side is one of two things compared: a day and the module that plays it.
type Side struct {
	Day    *Day
	Module string
}

// Pair is what one seed came to on both sides.
type Pair struct {
	Seed   uint64
	A, B   *Outcome
	Broken []string // rules broken, on either side
}

// Difference is a paired difference of one figure, B less A.
type Difference struct {
	Name         string
	MeanA, MeanB float64
	Mean         float64 // of the differences
	Half         float64 // half the width of its 95% interval
	Seeds        int     // compared
	Needed       int     // seeds after which a difference of this size would be told; 0 where it is told already
}

// Told tells that the interval leaves out zero.
func (d Difference) Told() bool { return math.Abs(d.Mean) > d.Half }

func (d Difference) String() string {
	head := fmt.Sprintf("%-8s A %.3f, B %.3f, B less A %+.4f, 95%% interval %+.4f to %+.4f over %d seeds", d.Name, d.MeanA, d.MeanB, d.Mean,
		d.Mean-d.Half, d.Mean+d.Half, d.Seeds)
	switch {
	case d.Told() && d.Mean > 0:
		return head + ": B is better"
	case d.Told():
		return head + ": A is better"
	case d.Needed > 0:
		return head + fmt.Sprintf(": can't tell; about %d seeds would, if the difference is what it seems", d.Needed)
	}
	return head + ": can't tell, there is no difference to see"
}

// Compare plays the same seeds on both sides in simulated time, on all cores.
func Compare(a, b Side, seeds []uint64) ([]Pair, error) {
	pairs := make([]Pair, len(seeds))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	play := func(s Side, seed uint64) *Outcome {
		day := *s.Day
		day.Seed = seed
		return (&Sim{Day: &day, Module: Baseline(s.Module)}).Run()
	}
	for i, seed := range seeds {
		g.Go(func() error {
			p := Pair{Seed: seed, A: play(a, seed), B: play(b, seed)}
			for side, o := range map[string]*Outcome{"A": p.A, "B": p.B} {
				for k, r := range o.Report.Rules {
					if len(r.Breaks) > 0 {
						p.Broken = append(p.Broken, fmt.Sprintf("%s breaks rule %d, %s, %d times on seed %d", side, k+1, r.Name, len(r.Breaks), seed))
					}
				}
			}
			p.A.Lines, p.B.Lines = nil, nil
			pairs[i] = p
			return nil
		})
	}
	return pairs, g.Wait()
}

// Differ works out the paired difference of a figure, by Student's t.
func Differ(name string, a, b []float64) Difference {
	diffs := make([]float64, len(a))
	for i := range a {
		diffs[i] = b[i] - a[i]
	}
	d := Difference{Name: name, MeanA: stat.Mean(a, nil), MeanB: stat.Mean(b, nil), Seeds: len(a), Half: math.Inf(1)}
	mean, sd := stat.MeanStdDev(diffs, nil)
	d.Mean = mean
	if len(a) < 2 {
		return d
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(a) - 1)}.Quantile(0.975)
	d.Half = t * sd / math.Sqrt(float64(len(a)))
	if !d.Told() && mean != 0 {
		d.Needed = int(math.Ceil(math.Pow(1.96*sd/mean, 2))) + 1
	}
	return d
}

// Differences are those of worth and service over pairs.
func Differences(pairs []Pair) []Difference {
	var out []Difference
	for _, figure := range []struct {
		name string
		of   func(o *Outcome) float64
	}{{"worth", func(o *Outcome) float64 { return o.Report.Worth }}, {"service", func(o *Outcome) float64 { return o.Report.Service }}} {
		var a, b []float64
		for _, p := range pairs {
			a, b = append(a, figure.of(p.A)), append(b, figure.of(p.B))
		}
		out = append(out, Differ(figure.name, a, b))
	}
	return out
}
