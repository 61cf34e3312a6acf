package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"gullrail/frontend"
)

type fleetVerbs struct {
	Show    fleetShow    `cmd:"" help:"What a front believes of each playout node, by whose word and how old."`
	Explain fleetExplain `cmd:"" help:"Why a front uses a node, or does not."`
	Diff    fleetDiff    `cmd:"" help:"Where two fronts believe otherwise; exit 1 if they do."`
}

const fleetFor = 5 * time.Second // a front that runs answers in milliseconds

func askFleet(ctx context.Context, front string) ([]frontend.FleetNode, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetFor)
	defer cancel()
	if !strings.Contains(front, "://") {
		front = "http://" + front
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, front+frontend.FleetPath, nil)
	if err != nil {
		return nil, wrong{err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", front, resp.Status)
	}
	var out []frontend.FleetNode
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, fmt.Errorf("%s: %w", front, err)
	}
	return out, nil
}

func used(n frontend.FleetNode) string {
	if n.Usable {
		return "used"
	}
	return "not used"
}

type fleetShow struct {
	Front string `arg:"" help:"Address of the front, host:port."`
	JSON  bool   `help:"As JSON."`
}

func (v *fleetShow) Run(ctx context.Context) error {
	all, err := askFleet(ctx, v.Front)
	if err != nil {
		return err
	}
	if v.JSON {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "node\taddress\tphase\t\tin touch\tby\tage\twhy")
	n := 0
	for _, x := range all {
		if x.Usable {
			n++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%s\t%v\t%s\n", x.Name, x.Address, x.Phase, used(x), x.Alive, x.Source,
			(time.Duration(x.AgeMs) * time.Millisecond).Round(time.Second), x.Reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("%d of %d nodes are used\n", n, len(all))
	return nil
}

type fleetExplain struct {
	Front string `arg:"" help:"Address of the front, host:port."`
	Node  string `arg:"" help:"Name of the node."`
}

func (v *fleetExplain) Run(ctx context.Context) error {
	all, err := askFleet(ctx, v.Front)
	if err != nil {
		return err
	}
	for _, x := range all {
		if x.Name != v.Node {
			continue
		}
		touch := "its stream is open"
		if !x.Alive {
			touch = "its stream is not open"
		}
		fmt.Printf("%s at %s, zone %s, kind %s, cell %d, weight %v\n", x.Name, x.Address, x.Zone, x.Kind, x.Cell, x.Weight)
		fmt.Printf("  %s, %s: by the %s, %v ago; %s\n", x.Phase, used(x), x.Source, (time.Duration(x.AgeMs) * time.Millisecond).Round(time.Second), touch)
		if x.Reason != "" {
			fmt.Printf("  %s\n", x.Reason)
		}
		return nil
	}
	return fmt.Errorf("%s: no node %q is known", v.Front, v.Node)
}

type fleetDiff struct {
	A string `arg:"" help:"Address of a front, host:port."`
	B string `arg:"" help:"Address of another."`
}

func (v *fleetDiff) Run(ctx context.Context) error {
	a, err := askFleet(ctx, v.A)
	if err != nil {
		return err
	}
	b, err := askFleet(ctx, v.B)
	if err != nil {
		return err
	}
	other := map[string]frontend.FleetNode{}
	for _, x := range b {
		other[x.Name] = x
	}
	differ := 0
	tell := func(name, format string, args ...any) {
		differ++
		fmt.Printf("%s: %s\n", name, fmt.Sprintf(format, args...))
	}
	for _, x := range a {
		y, ok := other[x.Name]
		delete(other, x.Name)
		switch {
		case !ok && x.Phase != "gone":
			tell(x.Name, "%s knows it (%s), %s does not", v.A, x.Phase, v.B)
		case ok && x.Address != y.Address:
			tell(x.Name, "at %s by %s, at %s by %s", x.Address, v.A, y.Address, v.B)
		case ok && (x.Phase != y.Phase || x.Usable != y.Usable):
			tell(x.Name, "%s and %s by %s, %s and %s by %s", x.Phase, used(x), v.A, y.Phase, used(y), v.B)
		}
	}
	for _, y := range b {
		if _, only := other[y.Name]; only && y.Phase != "gone" {
			tell(y.Name, "%s knows it (%s), %s does not", v.B, y.Phase, v.A)
		}
	}
	if differ > 0 {
		return fmt.Errorf("%d nodes differ", differ)
	}
	fmt.Printf("%d nodes, all alike\n", len(a))
	return nil
}
