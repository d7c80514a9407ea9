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

// Options says where the code is and how long to test each mutant.
type Options struct {
	// Root is the Git checkout to copy. It is not changed.
	Root string
	// Seed is the seed of the property tests, MaxPlans the number of plans that ./proof tries.
	Seed     string
	MaxPlans string
	// Timeout is the time limit of one mutant.
	Timeout time.Duration
}

// Result is the outcome of one mutant.
type Result struct {
	Mutant Mutant
	// Found is set if a test failed.
	Found bool
	// TestedBy names the tests that ran last: owner (./desk), fleet (./proof), slots (the package in
	// Mutant.FuzzPackage) or tests (the package in Mutant.TestPackage).
	TestedBy string
	// PlansTried is the number of plans that the property test tried until it failed, Steps the length
	// of the failing plan. They are empty and 0 if the test does not print them.
	PlansTried string
	Steps      int
	// Violations lists the violated properties that the test names, or starts with DID NOT RUN and has
	// the beginning of the output if go test failed for another reason than a failing test.
	Violations string
	Took       time.Duration
}

// Run copies the checkout once, tests each mutant in the copy and calls report with its result. It
// fails if a mutant's old text does not occur exactly once in its file.
func Run(ctx context.Context, opts Options, mutants []Mutant, report func(Result)) error {
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return fault.Fail(fault.Internal, "cannot create a temporary folder").WithCause(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := copyTree(ctx, opts.Root, dir); err != nil {
		return err
	}
	for _, m := range mutants {
		res, err := testMutant(ctx, opts, dir, m)
		if err != nil {
			return err
		}
		report(res)
	}
	return nil
}

func copyTree(ctx context.Context, from, to string) error {
	list := exec.CommandContext(ctx, "git", "ls-files", "-z", "--cached", "--others", "--exclude-standard")
	list.Dir = from
	out, err := list.Output()
	if err != nil {
		return fault.Fail(fault.Internal, "git cannot list the files of the checkout").WithCause(err)
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
		return fault.Fail(fault.Internal, "cannot read a file of the checkout").WithCause(err)
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return fault.Fail(fault.Internal, "cannot create a folder in the copy").WithCause(err)
	}
	if err := os.WriteFile(to, raw, 0o644); err != nil {
		return fault.Fail(fault.Internal, "cannot write a file of the copy").WithCause(err)
	}
	return nil
}

func testMutant(ctx context.Context, opts Options, dir string, m Mutant) (Result, error) {
	path := filepath.Join(dir, m.File)
	raw, err := os.ReadFile(path)
	if err != nil {
		return Result{}, fault.Fail(fault.Internal, "cannot read the file to mutate").WithCause(err)
	}
	if bytes.Count(raw, []byte(m.Old)) != 1 {
		return Result{}, fault.Refuse(fault.BadRequest, "mutant "+m.Name+": the old text does not occur exactly once in "+m.File)
	}
	mutated := bytes.Replace(raw, []byte(m.Old), []byte(m.New), 1)
	if err := os.WriteFile(path, mutated, 0o644); err != nil {
		return Result{}, fault.Fail(fault.Internal, "cannot write the mutated file").WithCause(err)
	}
	defer func() { _ = os.WriteFile(path, raw, 0o644) }()
	return runTests(ctx, opts, dir, m), nil
}

// maxShownOutput is the most output, in bytes, that is shown of tests that could not run.
const maxShownOutput = 300

var (
	planCountPattern   = regexp.MustCompile(`failed after (\d+) tests`)
	failingPlanPattern = regexp.MustCompile(`broken after \[([^\]]*)\]`)
	propertyPattern    = regexp.MustCompile(`(?m)^\s+([a-z_]+): `)
)

func runTests(ctx context.Context, opts Options, dir string, m Mutant) Result {
	ctx, stop := context.WithTimeout(ctx, opts.Timeout)
	defer stop()
	start := time.Now()
	seed := "-rapid.seed=" + opts.Seed
	res := Result{Mutant: m, TestedBy: "owner"}
	pkg := "./desk"
	flags := []string{seed, "-rapid.checks=3000"}
	switch {
	case m.FuzzPackage != "":
		res.TestedBy, pkg = "slots", m.FuzzPackage
	case m.TestPackage != "":
		res.TestedBy, pkg, flags = "tests", m.TestPackage, nil
	}
	out, err := goTest(ctx, dir, pkg, flags...)
	if err == nil && res.TestedBy == "owner" {
		res.TestedBy = "fleet"
		out, err = goTest(ctx, dir, "./proof", seed, "-rapid.checks="+opts.MaxPlans, "-rapid.shrinktime=1s")
	}
	res.Took = time.Since(start)
	res.Found = err != nil && bytes.Contains(out, []byte("--- FAIL"))
	if err != nil && !res.Found {
		res.Violations = "DID NOT RUN: " + string(bytes.TrimSpace(out[:min(len(out), maxShownOutput)]))
	}
	if !res.Found {
		return res
	}
	if found := planCountPattern.FindSubmatch(out); found != nil {
		res.PlansTried = string(found[1])
	}
	if found := failingPlanPattern.FindSubmatch(out); found != nil {
		res.Steps = len(strings.Fields(string(found[1])))
	}
	res.Violations = violatedProperties(out)
	return res
}

// goTest runs the tests of one package of the copy and returns their output.
func goTest(ctx context.Context, dir, pkg string, flags ...string) ([]byte, error) {
	cmd := exec.CommandContext(ctx, "go", append([]string{"test", pkg, "-count=1"}, flags...)...)
	cmd.Dir = filepath.Join(dir, "gate")
	return cmd.CombinedOutput()
}

// violatedProperties returns the distinct names of violated properties in the output of a test.
func violatedProperties(out []byte) string {
	seen := map[string]bool{}
	var names []string
	for _, found := range propertyPattern.FindAllSubmatch(out, -1) {
		name := string(found[1])
		if strings.Contains(name, "_") && !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	return strings.Join(names, " ")
}
