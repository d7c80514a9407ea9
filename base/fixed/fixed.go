package fixed

import (
	"flag"
	"testing"
)

// seed is the default value of -rapid.seed.
const seed = "20261202"

// Main runs the tests of a package with the fixed seed, the given number of checks and no fail
// files, and returns the exit code. Flags of rapid on the command line take precedence.
func Main(m *testing.M, checks string) int {
	flag.Parse()
	setFlags := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { setFlags[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if !setFlags[name] {
			_ = flag.Set(name, value)
		}
	}
	return m.Run()
}
