// Command standin2 plays the cases of the second review. It starts a front end with the commands of the deploy file and takes the place
// of the platform, the playout nodes and the viewers on loopback addresses. It exits with 0 if the rule of the case held, 1 if it was
// broken and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases maps the name of a case to what plays it. It returns what broke the rule, one line for each finding.
var cases = map[string]func(b *bed) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(temporary)
	b := newBed(record, temporary, os.Getenv("TROUBLE") != "0")
	defer b.close()
	broken, err := cases[name](b)
	if err != nil {
		b.logf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	for _, line := range broken {
		b.logf("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return 1
	}
	b.logf("the rule held")
	fmt.Println("the rule held")
	return 0
}
