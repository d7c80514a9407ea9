package fixed

import (
	"flag"
	"testing"
)

// seed is the seed of CI.
const seed = "20261202"

// Main runs the tests of a package with the fixed seed and the given number of checks;
// -rapid.seed and -rapid.checks go before both.
func Main(m *testing.M, checks string) int {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": checks, "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	return m.Run()
}
