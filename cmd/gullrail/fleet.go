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

type fleetCommands struct {
	Show    fleetShow    `cmd:"" help:"List a front end's state of each playout node, with its source and age."`
	Explain fleetExplain `cmd:"" help:"Show whether a node may be given new plays by a front end, and why."`
	Diff    fleetDiff    `cmd:"" help:"List the nodes on which two front ends differ; exits with 1 if there are any."`
}

const fleetTimeout = 5 * time.Second // a running front end answers within milliseconds

func fetchFleet(ctx context.Context, front string) ([]frontend.FleetNode, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	if !strings.Contains(front, "://") {
		front = "http://" + front
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, front+frontend.FleetPath, nil)
	if err != nil {
		return nil, inputError{err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s", front, resp.Status)
	}
	var nodes []frontend.FleetNode
	if err := json.NewDecoder(resp.Body).Decode(&nodes); err != nil {
		return nil, fmt.Errorf("%s: %w", front, err)
	}
	return nodes, nil
}

func usability(n frontend.FleetNode) string {
	if n.Usable {
		return "usable"
	}
	return "not usable"
}

type fleetShow struct {
	Front string `arg:"" help:"Address of the front end, host:port."`
	JSON  bool   `help:"Print as JSON."`
}

func (c *fleetShow) Run(ctx context.Context) error {
	nodes, err := fetchFleet(ctx, c.Front)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(nodes)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "node\taddress\tphase\tuse\tconnected\tsource\tage\treason")
	usable := 0
	for _, node := range nodes {
		if node.Usable {
			usable++
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%s\t%v\t%s\n", node.Name, node.Address, node.Phase, usability(node), node.Connected, node.Source,
			(time.Duration(node.AgeMs) * time.Millisecond).Round(time.Second), node.Reason)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Printf("%d of %d nodes are usable\n", usable, len(nodes))
	return nil
}

type fleetExplain struct {
	Front string `arg:"" help:"Address of the front end, host:port."`
	Node  string `arg:"" help:"Name of the node."`
}

func (c *fleetExplain) Run(ctx context.Context) error {
	nodes, err := fetchFleet(ctx, c.Front)
	if err != nil {
		return err
	}
	for _, node := range nodes {
		if node.Name != c.Node {
			continue
		}
		connection := "connected"
		if !node.Connected {
			connection = "not connected"
		}
		fmt.Printf("%s at %s, zone %s, kind %s, cell %d, weight %v\n", node.Name, node.Address, node.Zone, node.Kind, node.Cell, node.Weight)
		fmt.Printf("  %s, %s: source %s, %v ago; %s\n", node.Phase, usability(node), node.Source, (time.Duration(node.AgeMs) * time.Millisecond).Round(time.Second), connection)
		if node.Reason != "" {
			fmt.Printf("  %s\n", node.Reason)
		}
		return nil
	}
	return fmt.Errorf("%s: unknown node %q", c.Front, c.Node)
}

type fleetDiff struct {
	A string `arg:"" help:"Address of a front end, host:port."`
	B string `arg:"" help:"Address of another front end, host:port."`
}

func (c *fleetDiff) Run(ctx context.Context) error {
	nodesA, err := fetchFleet(ctx, c.A)
	if err != nil {
		return err
	}
	nodesB, err := fetchFleet(ctx, c.B)
	if err != nil {
		return err
	}
	unmatched := map[string]frontend.FleetNode{}
	for _, nodeB := range nodesB {
		unmatched[nodeB.Name] = nodeB
	}
	differences := 0
	reportDifference := func(name, format string, args ...any) {
		differences++
		fmt.Printf("%s: %s\n", name, fmt.Sprintf(format, args...))
	}
	for _, nodeA := range nodesA {
		nodeB, ok := unmatched[nodeA.Name]
		delete(unmatched, nodeA.Name)
		switch {
		case !ok && nodeA.Phase != "gone":
			reportDifference(nodeA.Name, "%s knows it (%s), %s does not", c.A, nodeA.Phase, c.B)
		case ok && nodeA.Address != nodeB.Address:
			reportDifference(nodeA.Name, "address %s on %s, %s on %s", nodeA.Address, c.A, nodeB.Address, c.B)
		case ok && (nodeA.Phase != nodeB.Phase || nodeA.Usable != nodeB.Usable):
			reportDifference(nodeA.Name, "%s and %s on %s, %s and %s on %s", nodeA.Phase, usability(nodeA), c.A, nodeB.Phase, usability(nodeB), c.B)
		}
	}
	for _, nodeB := range nodesB {
		if _, onlyInB := unmatched[nodeB.Name]; onlyInB && nodeB.Phase != "gone" {
			reportDifference(nodeB.Name, "%s knows it (%s), %s does not", c.B, nodeB.Phase, c.A)
		}
	}
	if differences > 0 {
		return fmt.Errorf("%d nodes differ", differences)
	}
	fmt.Printf("%d nodes, no differences\n", len(nodesA))
	return nil
}
