// Command standin plays the cases of review/: it starts the project's front end as a process and plays the viewers, the playout
// nodes and the command channel as the platform's pages describe them. Its exit status is 1 if the case's rule was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
)

// env is what a case gets.
type env struct {
	root    string // of the repository
	folder  string // temporary
	trouble bool   // with the disruption
	rec     *record
}

// broken is the error of a case whose rule was broken.
type broken struct{ what string }

func (b broken) Error() string { return b.what }

var cases = map[string]func(e *env) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 5 && os.Args[1] == "node" {
		length, err := strconv.Atoi(os.Args[3])
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		return runNodeProcess(os.Args[2], length, os.Args[4] == "true")
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return 2
	}
	root, err := filepath.Abs(filepath.Join(os.Args[2], "../.."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	e := &env{root: root, trouble: os.Getenv("TROUBLE") != "0"}
	if e.rec, err = newRecord(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if e.folder, err = os.MkdirTemp("", "gullrail-review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(e.folder)
	e.rec.logf("case %s, disruption %v", os.Args[1], e.trouble)
	err = cases[os.Args[1]](e)
	status, verdict := 0, "rule held"
	if err != nil {
		status, verdict = 2, "could not run: "+err.Error()
		if b, ok := err.(broken); ok {
			status, verdict = 1, "RULE BROKEN: "+b.what
		}
	}
	e.rec.logf("%s", verdict)
	fmt.Println(verdict)
	return status
}

// bed is a front end with its command channel.
type bed struct {
	front   *frontEnd
	channel *commandChannel
}

// startBed starts a front end that knows the given nodes.
func startBed(e *env, nodes ...listEntry) (*bed, error) {
	ch, err := newChannel(e.rec, nodes...)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config := filepath.Join(e.folder, "config.json")
	if err := writeConfig(config, listen, ch.listener.Addr().String(), ch.events); err != nil {
		return nil, err
	}
	f, err := startFrontEnd(e.root, e.folder, listen, config, e.rec)
	if err != nil {
		f.kill()
		return nil, err
	}
	return &bed{f, ch}, nil
}

// close ends the front end. With KEEP_LOG in the environment its log is kept there.
func (b *bed) close() {
	b.front.kill()
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		if log, err := os.ReadFile(b.front.logFile); err == nil {
			os.WriteFile(keep, log, 0o600)
		}
	}
}
