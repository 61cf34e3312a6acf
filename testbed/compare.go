package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os/exec"
	"runtime"
	"strconv"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"gullrail/testbed/audit"
)

// Side is one of two things compared: something that plays a seed and says what it came to.
type Side func(seed uint64) (*audit.Report, error)

// ScenarioSide plays a day in this program, in simulated time, by a module or baseline.
func ScenarioSide(day *Scenario, module string) Side {
	return func(seed uint64) (*audit.Report, error) {
		d := *day
		d.Seed = seed
		return (&Sim{Scenario: &d, Policy: Baseline(module)}).Run().Report, nil
	}
}

// BuildSide plays a day's file in simulated time by another build of this program.
func BuildSide(ctx context.Context, program, file, module string) Side {
	return func(seed uint64) (*audit.Report, error) {
		cmd := exec.CommandContext(ctx, program, "rehearse", file, "--sim", "--json", "--module", module, "--seed", strconv.FormatUint(seed, 10))
		out, err := cmd.Output()
		var exit *exec.ExitError
		if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 1 && len(out) > 0) { // 1 with a report: a rule broke
			return nil, fmt.Errorf("%s on seed %d: %w", program, seed, err)
		}
		var rep audit.Report
		if err := json.Unmarshal(out, &rep); err != nil {
			return nil, fmt.Errorf("%s on seed %d: its report: %w", program, seed, err)
		}
		if len(rep.Rules) == 0 {
			return nil, fmt.Errorf("%s on seed %d: its report tells no rules", program, seed)
		}
		return &rep, nil
	}
}

// Pair is what one seed came to on both sides.
type Pair struct {
	Seed        uint64
	A, B        *audit.Report
	BrokenRules []string // rules broken, on either side
}

// Difference is a paired difference of one figure, B less A.
type Difference struct {
	Name         string
	MeanA, MeanB float64
	Mean         float64 // of the differences
	HalfWidth    float64 // half the width of its 95% interval
	Seeds        int     // compared
	SeedsNeeded  int     // seeds after which a difference of this size would be told; 0 where it is told already
}

// Significant tells that the interval leaves out zero.
func (d Difference) Significant() bool { return math.Abs(d.Mean) > d.HalfWidth }

func (d Difference) String() string {
	head := fmt.Sprintf("%-8s A %.3f, B %.3f, B less A %+.4f, 95%% interval %+.4f to %+.4f over %d seeds", d.Name, d.MeanA, d.MeanB, d.Mean,
		d.Mean-d.HalfWidth, d.Mean+d.HalfWidth, d.Seeds)
	switch {
	case d.Significant() && d.Mean > 0:
		return head + ": B is better"
	case d.Significant():
		return head + ": A is better"
	case d.SeedsNeeded > 0:
		return head + fmt.Sprintf(": can't tell; about %d seeds would, if the difference is what it seems", d.SeedsNeeded)
	}
	return head + ": can't tell, there is no difference to see"
}

// Compare plays the same seeds on both sides, on all cores.
func Compare(a, b Side, seeds []uint64) ([]Pair, error) {
	pairs := make([]Pair, len(seeds))
	var g errgroup.Group
	g.SetLimit(runtime.GOMAXPROCS(0))
	for i, seed := range seeds {
		g.Go(func() (err error) {
			p := Pair{Seed: seed}
			if p.A, err = a(seed); err != nil {
				return err
			}
			if p.B, err = b(seed); err != nil {
				return err
			}
			for side, rep := range []*audit.Report{p.A, p.B} {
				for k, r := range rep.Rules {
					if len(r.Violations) > 0 {
						p.BrokenRules = append(p.BrokenRules, fmt.Sprintf("%c breaks rule %d, %s, %d times on seed %d", 'A'+side, k+1, r.Name, len(r.Violations), seed))
					}
				}
			}
			pairs[i] = p
			return nil
		})
	}
	return pairs, g.Wait()
}

// PairedDifference works out the paired difference of a figure, by Student's t.
func PairedDifference(name string, a, b []float64) Difference {
	diffs := make([]float64, len(a))
	for i := range a {
		diffs[i] = b[i] - a[i]
	}
	d := Difference{Name: name, MeanA: stat.Mean(a, nil), MeanB: stat.Mean(b, nil), Seeds: len(a), HalfWidth: math.Inf(1)}
	mean, sd := stat.MeanStdDev(diffs, nil)
	d.Mean = mean
	if len(a) < 2 {
		return d
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(a) - 1)}.Quantile(0.975)
	d.HalfWidth = t * sd / math.Sqrt(float64(len(a)))
	if !d.Significant() && mean != 0 {
		d.SeedsNeeded = int(math.Ceil(math.Pow(1.96*sd/mean, 2))) + 1
	}
	return d
}

// Differences are those of worth and service over pairs.
func Differences(pairs []Pair) []Difference {
	var out []Difference
	for _, figure := range []struct {
		name string
		of   func(r *audit.Report) float64
	}{{"worth", func(r *audit.Report) float64 { return r.Worth }}, {"service", func(r *audit.Report) float64 { return r.Service }}} {
		var a, b []float64
		for _, p := range pairs {
			a, b = append(a, figure.of(p.A)), append(b, figure.of(p.B))
		}
		out = append(out, PairedDifference(figure.name, a, b))
	}
	return out
}
