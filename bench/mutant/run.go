package mutant

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"

	"mulleingate.dev/base/fault"
)

// Options say how long to look for a mutant.
type Options struct {
	// Root is the checkout; it is copied, never changed.
	Root   string
	Seed   string
	Checks string
	// Wait bounds one mutant.
	Wait time.Duration
}

// Result is what the fuzz made of a mutant.
type Result struct {
	Mutant Mutant
	Found  bool
	// By is the fuzz that found it: of one owner's memory, or of the fleet.
	By string
	// Tests is how many plans were played until the break was found, Steps the length
	// of the failing plan.
	Tests string
	Steps int
	// Broken are the promises that the oracle saw broken.
	Broken string
	Took   time.Duration
}

// Run copies the checkout once and plays the fuzz against each mutant.
func Run(ctx context.Context, opts Options, mutants []Mutant, each func(Result)) error {
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return fault.Fail(fault.Internal, "no temporary folder").WithCause(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := copyTree(ctx, opts.Root, dir); err != nil {
		return err
	}
	for _, m := range mutants {
		res, err := play(ctx, opts, dir, m)
		if err != nil {
			return err
		}
		each(res)
	}
	return nil
}

func copyTree(ctx context.Context, from, to string) error {
	list := exec.CommandContext(ctx, "git", "ls-files", "-z", "--cached", "--others", "--exclude-standard")
	list.Dir = from
	out, err := list.Output()
	if err != nil {
		return fault.Fail(fault.Internal, "the files cannot be listed").WithCause(err)
	}
	for name := range strings.SplitSeq(strings.TrimRight(string(out), "\x00"), "\x00") {
		if err := copyFile(filepath.Join(from, name), filepath.Join(to, name)); err != nil {
			return err
		}
	}
	return nil
}

func copyFile(from, to string) error {
	raw, err := os.ReadFile(from)
	if err != nil {
		return fault.Fail(fault.Internal, "a file cannot be read").WithCause(err)
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return fault.Fail(fault.Internal, "a folder cannot be made").WithCause(err)
	}
	if err := os.WriteFile(to, raw, 0o644); err != nil {
		return fault.Fail(fault.Internal, "a file cannot be written").WithCause(err)
	}
	return nil
}

func play(ctx context.Context, opts Options, dir string, m Mutant) (Result, error) {
	path := filepath.Join(dir, m.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return Result{}, fault.Fail(fault.Internal, "a file cannot be read").WithCause(err)
	}
	if bytes.Count(raw, []byte(m.Old)) != 1 {
		return Result{}, fault.Refuse(fault.BadRequest, "mutant "+m.Name+" does not fit "+m.File)
	}
	mutated := bytes.Replace(raw, []byte(m.Old), []byte(m.New), 1)
	if err := os.WriteFile(path, mutated, 0o644); err != nil {
		return Result{}, fault.Fail(fault.Internal, "a file cannot be written").WithCause(err)
	}
	defer func() { _ = os.WriteFile(path, raw, 0o644) }()
	return fuzz(ctx, opts, dir, m), nil
}

// shownOutput bounds what is shown of a run that failed by itself, in bytes.
const shownOutput = 300

var (
	afterTests = regexp.MustCompile(`failed after (\d+) tests`)
	planSteps  = regexp.MustCompile(`broken after \[([^\]]*)\]`)
	promise    = regexp.MustCompile(`(?m)^\s+([a-z_]+): `)
)

func fuzz(ctx context.Context, opts Options, dir string, m Mutant) Result {
	ctx, stop := context.WithTimeout(ctx, opts.Wait)
	defer stop()
	began := time.Now()
	seed := "-rapid.seed=" + opts.Seed
	res := Result{Mutant: m, By: "owner"}
	fuzz := "./desk"
	flags := []string{seed, "-rapid.checks=3000"}
	switch {
	case m.Fuzz != "":
		res.By, fuzz = "slots", m.Fuzz
	case m.Tests != "":
		res.By, fuzz, flags = "tests", m.Tests, nil
	}
	out, err := test(ctx, dir, fuzz, flags...)
	if err == nil && res.By == "owner" {
		res.By = "fleet"
		out, err = test(ctx, dir, "./proof", seed, "-rapid.checks="+opts.Checks, "-rapid.shrinktime=1s")
	}
	res.Took = time.Since(began)
	res.Found = err != nil && bytes.Contains(out, []byte("--- FAIL"))
	if err != nil && !res.Found {
		res.Broken = "DID NOT RUN: " + string(bytes.TrimSpace(out[:min(len(out), shownOutput)]))
	}
	if !res.Found {
		return res
	}
	if found := afterTests.FindSubmatch(out); found != nil {
		res.Tests = string(found[1])
	}
	if found := planSteps.FindSubmatch(out); found != nil {
		res.Steps = len(strings.Fields(string(found[1])))
	}
	res.Broken = broken(out)
	return res
}

// test runs the fuzz of one package of the copy.
func test(ctx context.Context, dir, pkg string, flags ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test", pkg, "-count=1"}, flags...)...)
	cmd.Dir = filepath.Join(dir, "gate")
	return cmd.CombinedOutput()
}

func broken(out []byte) string {
	seen := map[string]bool{}
	var names []string
	for _, found := range promise.FindAllSubmatch(out, -1) {
		name := string(found[1])
		if strings.Contains(name, "_") && !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}
