package rules

import (
	"strconv"

	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/common/types/ref"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

const (
	// costLimit is the maximum cost of one evaluation, in CEL cost units.
	costLimit = 10_000
	// maxSource is the maximum size of a policy program, in bytes.
	maxSource = 16 << 10
)

// The programs that apply where a policy has none.
const (
	defaultPlace = "true"
	defaultOrder = "0"
	defaultSpend = "budget"
)

// Policy is a compiled policy. It is safe for concurrent use.
type Policy struct {
	place cel.Program
	order cel.Program
	spend cel.Program
}

// Compile compiles the three programs of a policy and checks its samples. If only a sample fails, it
// returns both the compiled policy and an error.
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
	compiled := &Policy{place: place, order: order, spend: spend}
	return compiled, compiled.checkSamples(policy.Samples)
}

// placeVars declares the variables of place programs.
func placeVars() []cel.EnvOption {
	names := []string{"workspace", "data_class", "kind", "model", "zone", "region", "target", "use"}
	opts := make([]cel.EnvOption, 0, len(names))
	for _, name := range names {
		opts = append(opts, cel.Variable(name, cel.StringType))
	}
	return opts
}

// allVars declares the variables of order and spend programs.
func allVars() []cel.EnvOption {
	opts := placeVars()
	for _, name := range []string{"depth", "turn", "budget"} {
		opts = append(opts, cel.Variable(name, cel.IntType))
	}
	return opts
}

// compile compiles one program, whose result must have the type wantType. The fallback replaces an
// empty source.
func compile(name, source, fallback string, wantType *cel.Type, vars []cel.EnvOption) (cel.Program, error) {
	if source == "" {
		source = fallback
	}
	if len(source) > maxSource {
		return nil, fault.Refuse(fault.BadConfig, "policy."+name+": program is too long")
	}
	env, err := cel.NewEnv(vars...)
	if err != nil {
		return nil, fault.Refuse(fault.Internal, "cannot create the policy environment").WithCause(err)
	}
	ast, issues := env.Compile(source)
	if issues.Err() != nil {
		return nil, fault.Refuse(fault.BadConfig, "policy."+name+": does not compile").WithCause(issues.Err())
	}
	if !ast.OutputType().IsExactType(wantType) {
		return nil, fault.Refuse(fault.BadConfig,
			"policy."+name+": result has type "+ast.OutputType().String()+", want "+wantType.String())
	}
	prog, err := env.Program(ast, cel.CostLimit(costLimit), cel.EvalOptions(cel.OptOptimize))
	if err != nil {
		return nil, fault.Refuse(fault.BadConfig, "policy."+name+": cannot create the program").WithCause(err)
	}
	return prog, nil
}

// Place reports whether the policy allows the use; false if the program fails.
func (p *Policy) Place(in types.RuleInput) bool {
	val, err := eval(p.place, in)
	if err != nil {
		return false
	}
	ok, isBool := val.Value().(bool)
	return isBool && ok
}

// Order returns the priority, where higher goes first; 0 if the program fails.
func (p *Policy) Order(in types.RuleInput) int64 {
	return evalInt(p.order, in, 0)
}

// Spend returns the maximum budget of a new program in tokens; 0 if the policy program fails.
func (p *Policy) Spend(in types.RuleInput) int64 {
	return evalInt(p.spend, in, 0)
}

// evalInt evaluates a program with an integer result; it returns fallback if that fails.
func evalInt(prog cel.Program, in types.RuleInput, fallback int64) int64 {
	val, err := eval(prog, in)
	if err != nil {
		return fallback
	}
	n, ok := val.Value().(int64)
	if !ok {
		return fallback
	}
	return n
}

// eval evaluates a program with the input as its variables.
func eval(prog cel.Program, in types.RuleInput) (ref.Val, error) {
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

// checkSamples returns an error for the first sample whose result is not as expected.
func (p *Policy) checkSamples(samples []types.Sample) error {
	for i, sample := range samples {
		at := "policy.samples[" + strconv.Itoa(i) + "] " + sample.Name
		if want := sample.Want.Place; want != nil && p.Place(sample.Input) != *want {
			return fault.Refuse(fault.BadConfig, at+": place is not as expected")
		}
		if want := sample.Want.Order; want != nil && p.Order(sample.Input) != *want {
			return fault.Refuse(fault.BadConfig, at+": order is not as expected")
		}
		if want := sample.Want.Spend; want != nil && p.Spend(sample.Input) != *want {
			return fault.Refuse(fault.BadConfig, at+": spend is not as expected")
		}
	}
	return nil
}
