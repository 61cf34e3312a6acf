package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gullrail/nodes"
	"gullrail/rundir"
	"gullrail/testbed"
)

// interruptCount allows a longer run: go test ./cmd/gullrail -run Interrupted -interrupts 50 -v
var interruptCount = flag.Int("interrupts", 4, "rehearsals to interrupt at random moments")

const smallScenario = `{
  "service": {"fronts": 2, "rates_kb": [100, 200, 400], "worth": [0.3, 0.6, 1], "segment_ms": 200, "cells": 4, "racks": 2,
    "kinds": [{"name": "std", "streams": 1000}], "zones": ["z"], "link_kb": 1000000, "uplink_kb": 10000000,
    "products": [{"name": "paid", "importance": 2, "target_ms": 1000, "limit_ms": 2000, "paid": true, "floor": 1, "seats": 9},
      {"name": "safe", "importance": 1, "target_ms": 1000, "limit_ms": 2000}],
    "titles": [{"name": "a", "home": 0, "copies": 4}, {"name": "b", "home": 1, "copies": 3}],
    "reports": {"how": "probe"},
    "rules": {"cold_share": 0.4, "cold_lasts_ms": 2000, "fall_multiple": 2.5, "fall_over_ms": 500, "drain_grace_ms": 500}},
  "day": {"seconds": 4, "seed": 1, "nodes": 4, "rate": 20, "set_up_ms": [5, 20], "list_late_ms": 300,
    "products": [{"name": "paid", "share": 0.4, "watch_s": [0.5, 2]}, {"name": "safe", "share": 0.6, "watch_s": [0.5, 2]}],
    "viewers": {"tries": 2, "pause_ms": 200},
    "faults": [{"at_s": 1, "do": "front-kill", "front": 1, "for_s": 0.5}, {"at_s": 1.5, "do": "crash", "nodes": [0], "for_s": 1},
      {"at_s": 2, "do": "drain", "nodes": [1], "amount": 1}]}}`

// buildProgram builds gullrail into a temporary folder.
func buildProgram(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "gullrail")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

func writeTemp(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// readNonce returns the nonce of the run in a folder, or "" if there is none.
func readNonce(folder string) string {
	var r rundir.Run
	b, _ := os.ReadFile(filepath.Join(folder, "run.json"))
	json.Unmarshal(b, &r)
	return r.Nonce
}

// countProcesses counts the processes that have a run's nonce in their environment.
func countProcesses(nonce string) (count int) {
	files, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, f := range files {
		if b, err := os.ReadFile(f); err == nil && nonce != "" && bytes.Contains(b, []byte(rundir.NonceVariable+"="+nonce)) {
			count++
		}
	}
	return count
}

// leftovers lists what remains of a run: processes, occupied addresses, files.
func leftovers(folder, nonce string) (found []string) {
	if n := countProcesses(nonce); n > 0 {
		found = append(found, fmt.Sprint(n, " processes"))
	}
	var addrs []string
	var lines []nodes.ListNode
	readJSON(filepath.Join(folder, "nodes.json"), &lines)
	for _, line := range lines {
		addrs = append(addrs, line.Address)
	}
	var fronts []testbed.FrontAddress
	readJSON(filepath.Join(folder, "fronts.json"), &fronts)
	for _, f := range fronts {
		addrs = append(addrs, f.Address)
	}
	for _, a := range addrs {
		listener, err := net.Listen("tcp", a)
		if err != nil {
			found = append(found, err.Error())
			continue
		}
		listener.Close()
	}
	for _, name := range []string{"run.json", "members"} {
		if _, err := os.Stat(filepath.Join(folder, name)); err == nil {
			found = append(found, name)
		}
	}
	return found
}

func TestCleanRemovesEverythingOfInterruptedRuns(t *testing.T) {
	bin, scenario := buildProgram(t), writeTemp(t, "scenario.jsonc", smallScenario)
	otherFolder := filepath.Join(t.TempDir(), "other")
	up := exec.Command(bin, "kit", "up", scenario, "--dir", otherFolder)
	if out, err := up.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	otherCount := countProcesses(readNonce(otherFolder))
	rnd := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	for i := range *interruptCount {
		folder := filepath.Join(t.TempDir(), "run")
		cmd := exec.Command(bin, "kit", "run", scenario, "--dir", folder)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		delay := time.Duration(rnd.Float64() * float64(3*time.Second))
		if i%2 == 0 { // half of the interrupts fall into the start-up, when processes are started but not yet registered
			delay /= 10
		}
		time.Sleep(delay)
		cmd.Process.Signal([]os.Signal{syscall.SIGKILL, syscall.SIGKILL, syscall.SIGTERM, syscall.SIGINT}[i%4])
		cmd.Wait()
		nonce := readNonce(folder)
		if out, err := exec.Command(bin, "kit", "clean", "--dir", folder).CombinedOutput(); err != nil {
			t.Errorf("interrupted after %v: clean: %v\n%s", delay, err, out)
		}
		for range 200 { // a process that was being started sees that the run has ended, and exits
			if countProcesses(nonce) == 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if found := leftovers(folder, nonce); len(found) > 0 {
			t.Errorf("interrupted after %v: not removed: %v", delay, found)
		}
	}
	if n := countProcesses(readNonce(otherFolder)); n != otherCount || n < 5 {
		t.Errorf("another run has %d processes, had %d", n, otherCount)
	}
	nonce := readNonce(otherFolder)
	if out, err := exec.Command(bin, "kit", "clean", "--dir", otherFolder).CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	if found := leftovers(otherFolder, nonce); len(found) > 0 {
		t.Errorf("not removed: %v", found)
	}
}

// The browser test of the TypeScript client and operators' tools read these lines: they are compared letter for letter.
func TestKitListsFrontsAndProcessesInTheirFormat(t *testing.T) {
	bin, scenario, folder := buildProgram(t), writeTemp(t, "scenario.jsonc", smallScenario), filepath.Join(t.TempDir(), "run")
	t.Cleanup(func() { exec.Command(bin, "kit", "clean", "--dir", folder).Run() })
	up, err := exec.Command(bin, "kit", "up", scenario, "--dir", folder).Output()
	if err != nil {
		t.Fatalf("%v\n%s", err, up)
	}
	var fronts []testbed.FrontAddress
	readJSON(filepath.Join(folder, "fronts.json"), &fronts)
	want := ""
	for _, f := range fronts {
		want += f.Name + " at http://" + f.Address + "\n"
	}
	if len(fronts) != 2 || string(up) != want {
		t.Errorf("kit up prints %q, want %q for 2 fronts", up, want)
	}

	for name, pid := range map[string]int{"zz-gone": 1 << 30, "zz-other": os.Getpid()} {
		registration := fmt.Sprintf(`{"name": %q, "pid": %d, "start": 1}`, name, pid)
		if err := os.WriteFile(filepath.Join(folder, "members", name+".json"), []byte(registration), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run, err := rundir.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	members, err := run.Members()
	if err != nil || len(members) < 6 {
		t.Fatalf("members: %v, %v", members, err)
	}
	want = ""
	for _, m := range members {
		state := "alive"
		switch m.Name {
		case "zz-gone":
			state = "gone"
		case "zz-other":
			state = "another process has its id"
		}
		want += fmt.Sprintf("  %-10s process %-8d %s\n", m.Name, m.PID, state)
	}
	status, err := exec.Command(bin, "kit", "status", "--dir", folder).Output()
	if _, processes, _ := strings.Cut(string(status), "\n"); err != nil || processes != want {
		t.Errorf("kit status: %v\n got %q\nwant %q", err, processes, want)
	}
}

func TestKitRunKeepsTheRules(t *testing.T) {
	bin, scenario := buildProgram(t), writeTemp(t, "scenario.jsonc", smallScenario)
	folder := filepath.Join(t.TempDir(), "run")
	out, err := exec.Command(bin, "kit", "run", scenario, "--dir", folder, "--json").Output()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	var rep struct {
		Asked  int  `json:"plays_asked"`
		Plays  int  `json:"plays"`
		Most   int  `json:"answers_per_play"`
		Kept   bool `json:"rules_kept"`
		Double int  `json:"allocations_doubled"`
	}
	if err := json.Unmarshal(out, &rep); err != nil {
		t.Fatal(err)
	}
	if !rep.Kept || rep.Asked < 40 || rep.Plays < 20 || rep.Most != 1 || rep.Double != 0 {
		t.Fatalf("%+v", rep)
	}
	if n := countProcesses(readNonce(folder)); n != 0 {
		t.Fatalf("%d processes still run", n)
	}
}

func TestInvalidInputExitsWithOneLineAndStatusTwo(t *testing.T) {
	bin := buildProgram(t)
	badScenario := writeTemp(t, "bad.jsonc", strings.Replace(smallScenario, `"do": "crash"`, `"do": "crush"`, 1))
	foreignFolder := t.TempDir()
	os.WriteFile(filepath.Join(foreignFolder, "run.json"), []byte(`{"nonce":"00000000000000000000000000000000","boot":"x","folder":"/y"}`), 0o600)
	for _, test := range []struct {
		args []string
		want string
	}{
		{[]string{"check", badScenario}, `bad.jsonc:12: day.faults[1].do: no such fault: "crush"`},
		{[]string{"rehearse", badScenario}, `bad.jsonc:12: day.faults[1].do: no such fault: "crush"`},
		{[]string{"serve", filepath.Join(t.TempDir(), "none")}, "no such file"},
		{[]string{"kit", "down", "--dir", t.TempDir()}, "no run in this folder"},
		{[]string{"kit", "clean", "--dir", foreignFolder}, "another machine, another boot or another path"},
	} {
		out, err := exec.Command(bin, test.args...).CombinedOutput()
		exit, ok := err.(*exec.ExitError)
		if !ok || exit.ExitCode() != exitInvalidInput || !strings.Contains(string(out), test.want) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v: %v\n%s", test.args, err, out)
		}
	}
}

func TestServeFailsOnOccupiedPortOrStateFolder(t *testing.T) {
	bin := buildProgram(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	service := smallScenario[strings.Index(smallScenario, `"service"`):strings.Index(smallScenario, `"day"`)]
	settings := func(listen, state string) string {
		return writeTemp(t, "front.jsonc", fmt.Sprintf(`{"front": {"name": "f", "number": 0, "zone": "z", "listen": %q, "state": %q},
			"list": {"url": "http://127.0.0.1:1/"}, "keys": [{"id": "k", "seed": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", "signs": true}], %s}`, listen, state, service))
	}
	out, err := exec.Command(bin, "serve", settings(listener.Addr().String(), t.TempDir())).CombinedOutput()
	if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != exitFailed || !strings.Contains(string(out), "address already in use") {
		t.Errorf("port in use: %v\n%s", err, out)
	}
	state := t.TempDir()
	first := exec.Command(bin, "serve", settings("127.0.0.1:0", state))
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	defer first.Wait()
	defer first.Process.Signal(syscall.SIGTERM)
	for range 500 {
		if _, err := os.Stat(filepath.Join(state, "epoch")); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	out, err = exec.Command(bin, "serve", settings("127.0.0.1:0", state)).CombinedOutput()
	if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != exitFailed || !strings.Contains(string(out), "another front runs") {
		t.Errorf("state folder in use: %v\n%s", err, out)
	}
}

// A full disk makes writes fail. A limit on the file size has the same effect and needs no privileges.
func TestFullDiskIsReportedAndLeavesNothing(t *testing.T) {
	bin, scenario := buildProgram(t), writeTemp(t, "scenario.jsonc", smallScenario)
	for _, blocks := range []string{"0", "1"} {
		folder := filepath.Join(t.TempDir(), "run")
		out, err := exec.Command("bash", "-c", "ulimit -f "+blocks+"; exec "+bin+" kit run "+scenario+" --dir "+folder).CombinedOutput()
		if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != exitFailed || !strings.Contains(string(out), folder) {
			t.Errorf("%s blocks: %v\n%s", blocks, err, out)
		}
		nonce := readNonce(folder)
		if out, err := exec.Command(bin, "kit", "clean", "--dir", folder).CombinedOutput(); err != nil {
			t.Errorf("clean: %v\n%s", err, out)
		}
		if found := leftovers(folder, nonce); len(found) > 0 {
			t.Errorf("%s blocks: not removed: %v", blocks, found)
		}
	}
}
