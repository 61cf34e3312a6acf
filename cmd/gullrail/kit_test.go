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

// interrupts asks for a long run: go test ./cmd/gullrail -run Interrupted -interrupts 50 -v
var interrupts = flag.Int("interrupts", 4, "rehearsals to interrupt at random moments")

const smallDay = `{
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

// built builds gullrail once for the tests.
func built(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "gullrail")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return bin
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// nonceIn reads the nonce of a run folder, "" where there is none.
func nonceIn(folder string) string {
	var r rundir.Run
	b, _ := os.ReadFile(filepath.Join(folder, "run.json"))
	json.Unmarshal(b, &r)
	return r.Nonce
}

// runs counts processes that carry a run's nonce.
func runs(nonce string) (n int) {
	files, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, f := range files {
		if b, err := os.ReadFile(f); err == nil && nonce != "" && bytes.Contains(b, []byte(rundir.NonceVariable+"="+nonce)) {
			n++
		}
	}
	return n
}

// left tells what a run left behind: processes, ports, files.
func left(folder, nonce string) (all []string) {
	if n := runs(nonce); n > 0 {
		all = append(all, fmt.Sprint(n, " processes"))
	}
	var addrs []string
	var lines []nodes.Line
	readJSON(filepath.Join(folder, "nodes.json"), &lines)
	for _, l := range lines {
		addrs = append(addrs, l.Address)
	}
	var fronts []testbed.FrontAddress
	readJSON(filepath.Join(folder, "fronts.json"), &fronts)
	for _, f := range fronts {
		addrs = append(addrs, f.Address)
	}
	for _, a := range addrs {
		l, err := net.Listen("tcp", a)
		if err != nil {
			all = append(all, err.Error())
			continue
		}
		l.Close()
	}
	for _, name := range []string{"run.json", "members"} {
		if _, err := os.Stat(filepath.Join(folder, name)); err == nil {
			all = append(all, name)
		}
	}
	return all
}

func TestInterruptedRunsLeaveNothingThatCleanDoesNotFind(t *testing.T) {
	bin, day := built(t), write(t, "day.jsonc", smallDay)
	bystander := filepath.Join(t.TempDir(), "bystander")
	up := exec.Command(bin, "kit", "up", day, "--dir", bystander)
	if out, err := up.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	there := runs(nonceIn(bystander))
	rnd := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	for i := range *interrupts {
		folder := filepath.Join(t.TempDir(), "run")
		cmd := exec.Command(bin, "kit", "run", day, "--dir", folder)
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		after := time.Duration(rnd.Float64() * float64(3*time.Second))
		if i%2 == 0 { // its start is where it is hardest
			after /= 10
		}
		time.Sleep(after)
		cmd.Process.Signal([]os.Signal{syscall.SIGKILL, syscall.SIGKILL, syscall.SIGTERM, syscall.SIGINT}[i%4])
		cmd.Wait()
		nonce := nonceIn(folder)
		if out, err := exec.Command(bin, "kit", "clean", "--dir", folder).CombinedOutput(); err != nil {
			t.Errorf("interrupted after %v: clean: %v\n%s", after, err, out)
		}
		for range 200 { // one that was being started sees the mark and leaves
			if runs(nonce) == 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		if l := left(folder, nonce); len(l) > 0 {
			t.Errorf("interrupted after %v: left %v", after, l)
		}
	}
	if n := runs(nonceIn(bystander)); n != there || n < 5 {
		t.Errorf("the run beside them has %d processes of %d", n, there)
	}
	nonce := nonceIn(bystander)
	if out, err := exec.Command(bin, "kit", "clean", "--dir", bystander).CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	if l := left(bystander, nonce); len(l) > 0 {
		t.Errorf("left %v", l)
	}
}

func TestRunByProcessesKeepsTheRules(t *testing.T) {
	bin, day := built(t), write(t, "day.jsonc", smallDay)
	folder := filepath.Join(t.TempDir(), "run")
	out, err := exec.Command(bin, "kit", "run", day, "--dir", folder, "--json").Output()
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
	if n := runs(nonceIn(folder)); n != 0 {
		t.Fatalf("%d processes left", n)
	}
}

func TestWrongInputEndsWithOneClearLineAndCodeTwo(t *testing.T) {
	bin := built(t)
	bad := write(t, "bad.jsonc", strings.Replace(smallDay, `"do": "crash"`, `"do": "crush"`, 1))
	copied := t.TempDir()
	os.WriteFile(filepath.Join(copied, "run.json"), []byte(`{"nonce":"00000000000000000000000000000000","boot":"x","folder":"/y"}`), 0o600)
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"check", bad}, `bad.jsonc:12: day.faults[1].do: no such fault: "crush"`},
		{[]string{"rehearse", bad}, `bad.jsonc:12: day.faults[1].do: no such fault: "crush"`},
		{[]string{"serve", filepath.Join(t.TempDir(), "none")}, "no such file"},
		{[]string{"kit", "down", "--dir", t.TempDir()}, "no run here"},
		{[]string{"kit", "clean", "--dir", copied}, "another machine, another boot or another place"},
	} {
		out, err := exec.Command(bin, c.args...).CombinedOutput()
		exit, ok := err.(*exec.ExitError)
		if !ok || exit.ExitCode() != exitWrong || !strings.Contains(string(out), c.want) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%v: %v\n%s", c.args, err, out)
		}
	}
}

func TestFrontsProcessesOnTakenThings(t *testing.T) {
	bin := built(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	service := smallDay[strings.Index(smallDay, `"service"`):strings.Index(smallDay, `"day"`)]
	settings := func(listen, state string) string {
		return write(t, "front.jsonc", fmt.Sprintf(`{"front": {"name": "f", "number": 0, "zone": "z", "listen": %q, "state": %q},
			"list": {"url": "http://127.0.0.1:1/"}, "keys": [{"id": "k", "seed": "AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=", "signs": true}], %s}`, listen, state, service))
	}
	out, err := exec.Command(bin, "serve", settings(taken.Addr().String(), t.TempDir())).CombinedOutput()
	if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != exitFailed || !strings.Contains(string(out), "address already in use") {
		t.Errorf("a port that is taken: %v\n%s", err, out)
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
		t.Errorf("a state folder that is taken: %v\n%s", err, out)
	}
}

// A disk that is full shows as writes that fail; a limit on the size of files does the same without privileges.
func TestFullDiskIsToldAndLeavesNothing(t *testing.T) {
	bin, day := built(t), write(t, "day.jsonc", smallDay)
	for _, blocks := range []string{"0", "1"} {
		folder := filepath.Join(t.TempDir(), "run")
		out, err := exec.Command("bash", "-c", "ulimit -f "+blocks+"; exec "+bin+" kit run "+day+" --dir "+folder).CombinedOutput()
		if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != exitFailed || !strings.Contains(string(out), folder) {
			t.Errorf("%s blocks: %v\n%s", blocks, err, out)
		}
		nonce := nonceIn(folder)
		if out, err := exec.Command(bin, "kit", "clean", "--dir", folder).CombinedOutput(); err != nil {
			t.Errorf("clean: %v\n%s", err, out)
		}
		if l := left(folder, nonce); len(l) > 0 {
			t.Errorf("%s blocks: left %v", blocks, l)
		}
	}
}
