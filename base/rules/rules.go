package rules

import (
	"strconv"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types/ref"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

const (
	// costLimit bounds one run, in CEL cost units.
	costLimit = 10_000
	// maxSource bounds a policy program, in bytes.
	maxSource = 16 << 10
)

// Defaults for operators who publish no program.
const (
	defaultPlace = "true"
	defaultOrder = "0"
	defaultSpend = "budget"
)

// Policy is a compiled policy. It is safe for use by many goroutines.
type Policy struct {
	place cel.Program
	order cel.Program
	spend cel.Program
}

// Compile type-checks the three programs and runs the samples.
func Compile(policy types.Policy) (*Policy, error) {
	place, err := compile("place", policy.Place, defaultPlace, cel.BoolType, placeVars())
	if err != nil {
		return nil, err
	}
	order, err := compile("order", policy.Order, defaultOrder, cel.IntType, allVars())
	if err != nil {
		return nil, err
	}
	spend, err := compile("spend", policy.Spend, defaultSpend, cel.IntType, allVars())
	if err != nil {
		return nil, err
	}
	set := &Policy{place: place, order: order, spend: spend}
	return set, set.check(policy.Samples)
}

func placeVars() []cel.EnvOption {
	names := []string{"workspace", "data_class", "kind", "model", "zone", "region", "target", "use"}
	opts := make([]cel.EnvOption, 0, len(names))
	for _, name := range names {
		opts = append(opts, cel.Variable(name, cel.StringType))
	}
	return opts
}

func allVars() []cel.EnvOption {
	opts := placeVars()
	for _, name := range []string{"depth", "turn", "budget"} {
		opts = append(opts, cel.Variable(name, cel.IntType))
	}
	return opts
}

func compile(name, source, fallback string, want *cel.Type, vars []cel.EnvOption) (cel.Program, error) {
	if source == "" {
		source = fallback
	}
	if len(source) > maxSource {
		return nil, fault.Refuse(fault.BadConfig, "policy."+name+": program is too long")
	}
	env, err := cel.NewEnv(vars...)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "policy environment").WithCause(err)
	}
	ast, issues := env.Compile(source)
	if issues.Err() != nil {
		return nil, fault.Refuse(fault.BadConfig, "policy."+name+": does not compile").WithCause(issues.Err())
	}
	if !ast.OutputType().IsExactType(want) {
		return nil, fault.Refuse(fault.BadConfig, "policy."+name+": gives "+ast.OutputType().String()+", not "+want.String())
	}
	prog, err := env.Program(ast, cel.CostLimit(costLimit), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		return nil, fault.Refuse(fault.BadConfig, "policy."+name+": does not plan").WithCause(err)
	}
	return prog, nil
}

// Place reports whether the use is allowed there; any failure denies.
func (s *Policy) Place(in types.RuleInput) bool {
	val, err := run(s.place, in)
	if err != nil {
		return false
	}
	ok, isBool := val.Value().(bool)
	return isBool && ok
}

// Order is the priority, higher first; failures give 0.
func (s *Policy) Order(in types.RuleInput) int64 {
	return number(s.order, in, 0)
}

// Spend bounds the budget of a new program in tokens; failures give 0.
func (s *Policy) Spend(in types.RuleInput) int64 {
	return number(s.spend, in, 0)
}

func number(prog cel.Program, in types.RuleInput, fallback int64) int64 {
	val, err := run(prog, in)
	if err != nil {
		return fallback
	}
	n, ok := val.Value().(int64)
	if !ok {
		return fallback
	}
	return n
}

func run(prog cel.Program, in types.RuleInput) (ref.Val, error) {
	val, _, err := prog.Eval(map[string]any{
		"workspace": in.Workspace, "data_class": in.DataClass, "kind": in.Kind, "model": in.Model,
		"zone": in.Zone, "region": in.Region, "target": in.Target, "use": in.Use,
		"depth": in.Depth, "turn": in.Turn, "budget": in.Budget,
	})
	if err != nil {
		return nil, fault.Refuse(fault.NoAllowedPlace, "policy program failed").WithCause(err)
	}
	return val, nil
}

func (s *Policy) check(samples []types.Sample) error {
	for i, sample := range samples {
		at := "policy.samples[" + strconv.Itoa(i) + "] " + sample.Name
		if want := sample.Want.Place; want != nil && s.Place(sample.Input) != *want {
			return fault.Refuse(fault.BadConfig, at+": place is not as wanted")
		}
		if want := sample.Want.Order; want != nil && s.Order(sample.Input) != *want {
			return fault.Refuse(fault.BadConfig, at+": order is not as wanted")
		}
		if want := sample.Want.Spend; want != nil && s.Spend(sample.Input) != *want {
			return fault.Refuse(fault.BadConfig, at+": spend is not as wanted")
		}
	}
	return nil
}
