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

// Side is one side of a comparison. It runs a scenario with a seed and returns the audit report.
type Side func(seed uint64) (*audit.Report, error)

// ScenarioSide runs a scenario in this process, in simulated time, with the named baseline policy or, for any
// other name, the project's own.
func ScenarioSide(scenario *Scenario, module string) Side {
	return func(seed uint64) (*audit.Report, error) {
		seeded := *scenario
		seeded.Seed = seed
		return (&Sim{Scenario: &seeded, Policy: Baseline(module)}).Run().Report, nil
	}
}

// BuildSide runs a scenario file in simulated time with another build of this program.
func BuildSide(ctx context.Context, program, file, module string) Side {
	return func(seed uint64) (*audit.Report, error) {
		cmd := exec.CommandContext(ctx, program, "rehearse", file, "--sim", "--json", "--module", module, "--seed", strconv.FormatUint(seed, 10))
		out, err := cmd.Output()
		var exit *exec.ExitError
		if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 1 && len(out) > 0) { // exit code 1 with a report: rules were broken
			return nil, fmt.Errorf("%s on seed %d: %w", program, seed, err)
		}
		var rep audit.Report
		if err := json.Unmarshal(out, &rep); err != nil {
			return nil, fmt.Errorf("%s on seed %d: decode report: %w", program, seed, err)
		}
		if len(rep.Rules) == 0 {
			return nil, fmt.Errorf("%s on seed %d: report has no rules", program, seed)
		}
		return &rep, nil
	}
}

// Pair holds the reports of both sides for one seed.
type Pair struct {
	Seed        uint64
	A, B        *audit.Report
	BrokenRules []string // descriptions of the rules broken on either side
}

// Difference is the mean paired difference of a figure, B minus A.
type Difference struct {
	Name         string
	MeanA, MeanB float64
	Mean         float64 // of the paired differences
	HalfWidth    float64 // half the width of the 95% confidence interval of Mean
	Seeds        int     // number of pairs
	SeedsNeeded  int     // estimated number of seeds for a difference of this size to be significant; 0 if it is already or Mean is 0
}

// Significant reports whether the 95% confidence interval excludes zero.
func (d Difference) Significant() bool { return math.Abs(d.Mean) > d.HalfWidth }

func (d Difference) String() string {
	summary := fmt.Sprintf("%-8s A %.3f, B %.3f, B minus A %+.4f, 95%% interval %+.4f to %+.4f over %d seeds", d.Name, d.MeanA, d.MeanB, d.Mean,
		d.Mean-d.HalfWidth, d.Mean+d.HalfWidth, d.Seeds)
	switch {
	case d.Significant() && d.Mean > 0:
		return summary + ": B is better"
	case d.Significant():
		return summary + ": A is better"
	case d.SeedsNeeded > 0:
		return summary + fmt.Sprintf(": not significant; a difference of this size needs about %d seeds", d.SeedsNeeded)
	}
	return summary + ": not significant"
}

// Compare runs both sides with each seed, as many seeds at a time as there are cores.
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

// PairedDifference computes the paired difference of a figure, with a confidence interval by Student's t.
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

// Differences returns the paired differences of worth and service.
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
