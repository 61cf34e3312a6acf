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

// deploySetting returns the value of a string setting in deploy/balancer.toml.
func deploySetting(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		t.Fatalf("deploy/balancer.toml has no setting %s", name)
	}
	return string(match[1])
}

// The platform may load a shared library of its own into the relay, which a statically linked program would ignore. The test
// checks the executable named by GULLRAIL_BUILT or, without one, builds one with the command in deploy/balancer.toml.
func TestProgramLinksCLibraryDynamically(t *testing.T) {
	file := os.Getenv("GULLRAIL_BUILT")
	if file == "" {
		dir := t.TempDir()
		build := exec.Command("sh", "-c", strings.NewReplacer("mkdir -p bin", "mkdir -p "+dir, "-o bin/", "-o "+dir+"/").Replace(deploySetting(t, "build")))
		build.Dir = "../.."
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		file = filepath.Join(dir, "gullrail")
	}
	binary, err := elf.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	defer binary.Close()
	hasInterpreter := false
	for _, prog := range binary.Progs {
		hasInterpreter = hasInterpreter || prog.Type == elf.PT_INTERP
	}
	libs, err := binary.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !hasInterpreter || !strings.Contains(strings.Join(libs, " "), "libc.so") {
		t.Errorf("%s: has interpreter: %v, libraries: %v", file, hasInterpreter, libs)
	}
	if runCommand := deploySetting(t, "run"); !strings.HasPrefix(runCommand, "exec ") || strings.ContainsAny(runCommand, ";&|") {
		t.Errorf("the run command %q does not start a single process with exec", runCommand)
	}
}

func TestKnownRedValidatesItsList(t *testing.T) {
	const validLine = "./rundir TestCleanIgnoresReusedPIDs | fails until a fault in another package is mended | #1\n"
	for name, test := range map[string]struct{ text, want string }{
		"one line":              {validLine, ""},
		"four lines":            {strings.Repeat(validLine, 4), "three at most"},
		"no cause":              {"./rundir TestCleanIgnoresReusedPIDs | | #1\n", "not 'PACKAGE TEST"},
		"no issue":              {"./rundir TestCleanIgnoresReusedPIDs | a cause\n", "not 'PACKAGE TEST"},
		"empty line":            {"\n", "not 'PACKAGE TEST"},
		"no such test":          {"./shutdown TestNowhere | a cause | #1\n", "has no test TestNowhere"},
		"no newline at the end": {strings.TrimSuffix(validLine, "\n"), ""},
		"unknown folder":        {"./nowhere TestCleanIgnoresReusedPIDs | a cause | #1\n", "has no test"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
			if err := os.WriteFile(file, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			abs, err := filepath.Abs("../../.ci/known-red")
			if err != nil {
				t.Fatal(err)
			}
			check := exec.Command(abs, file)
			check.Dir = "../.."
			out, err := check.CombinedOutput()
			if (err == nil) != (test.want == "") || !strings.Contains(string(out), test.want) {
				t.Errorf("%v: %s", err, out)
			}
		})
	}
}
