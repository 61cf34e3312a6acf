package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// deployLine is a line of deploy/balancer.toml.
func deployLine(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("deploy/balancer.toml has no line %s", name)
	}
	return string(m[1])
}

// The platform may load a library of its own into the relay, which a static program does not take in. The file is that named by
// GULLRAIL_BUILT, or else one built here as the deploy file says.
func TestTheRelayIsLinkedAgainstTheCLibrary(t *testing.T) {
	file := os.Getenv("GULLRAIL_BUILT")
	if file == "" {
		dir := t.TempDir()
		build := exec.Command("sh", "-c", strings.NewReplacer("mkdir -p bin", "mkdir -p "+dir, "-o bin/", "-o "+dir+"/").Replace(deployLine(t, "build")))
		build.Dir = "../.."
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		file = filepath.Join(dir, "gullrail")
	}
	built, err := elf.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer built.Close()
	interpreted := false
	for _, p := range built.Progs {
		interpreted = interpreted || p.Type == elf.PT_INTERP
	}
	libs, err := built.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !interpreted || !strings.Contains(strings.Join(libs, " "), "libc.so") {
		t.Errorf("%s: an interpreter %v, libraries %v", file, interpreted, libs)
	}
	if run := deployLine(t, "run"); !strings.HasPrefix(run, "exec ") || strings.ContainsAny(run, ";&|") {
		t.Errorf("run %q does not end in one process by exec", run)
	}
}

func TestKnownRedListsAreChecked(t *testing.T) {
	const good = "./shutdown TestOnlySetUpsThatAreOutAreWaitedFor | waits for a fault of another's | #1\n"
	for name, c := range map[string]struct{ text, want string }{
		"one":               {good, ""},
		"four":              {strings.Repeat(good, 4), "three at most"},
		"no cause":          {"./shutdown TestOnlySetUpsThatAreOutAreWaitedFor | | #1\n", "not 'PACKAGE TEST"},
		"no issue":          {"./shutdown TestOnlySetUpsThatAreOutAreWaitedFor | a cause\n", "not 'PACKAGE TEST"},
		"an empty line":     {"\n", "not 'PACKAGE TEST"},
		"no such test":      {"./shutdown TestNowhere | a cause | #1\n", "has no test TestNowhere"},
		"no end of line":    {strings.TrimSuffix(good, "\n"), ""},
		"an unknown folder": {"./nowhere TestOnlySetUpsThatAreOutAreWaitedFor | a cause | #1\n", "has no test"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			abs, err := filepath.Abs("../../.ci/known-red")
			if err != nil {
				t.Fatal(err)
			}
			check := exec.Command(abs, file)
			check.Dir = "../.."
			out, err := check.CombinedOutput()
			if (err == nil) != (c.want == "") || !strings.Contains(string(out), c.want) {
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}
