package sample

import (
	"crypto/ed25519"
	"crypto/sha256"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/seal"
	"mulleingate.dev/base/types"
)

// Keys are the keys of a deployment that exists for development and tests only.
type Keys struct {
	Root     []byte
	Operator ed25519.PrivateKey
}

// NewKeys derives keys from a seed, so that separate processes agree on them.
func NewKeys(seed string) Keys {
	root := sha256.Sum256([]byte("root " + seed))
	op := sha256.Sum256([]byte("operator " + seed))
	return Keys{Root: root[:], Operator: ed25519.NewKeyFromSeed(op[:])}
}

// Public is the operator's public key.
func (k Keys) Public() ed25519.PublicKey {
	return k.Operator.Public().(ed25519.PublicKey)
}

// Token is the bearer token of a workspace in samples.
func Token(workspace string) string {
	return "token-" + workspace
}

// Deployment says what a sample configuration is for.
type Deployment struct {
	Region     string
	Zones      []string
	Slots      int
	Workspaces []string
	Models     []string
	Services   []types.Service
}

// Ghent is the deployment of the two teams who book blood donors.
func Ghent() Deployment {
	return Deployment{
		Region: "be-central", Zones: []string{"hall-gent", "hall-mechelen", "hall-namur"}, Slots: 4,
		Workspaces: []string{"flanders", "wallonia"}, Models: []string{"planner"},
		Services: []types.Service{
			{Name: "booking", ProbePath: "/v1/probe", Price: 50, Timeout: types.Duration(5 * time.Second)},
			{Name: "calendar", Repeatable: true, Price: 5, Timeout: types.Duration(2 * time.Second), HedgeAfter: types.Duration(200 * time.Millisecond)},
		},
	}
}

// Ndokwa is the deployment of the trust that sells airtime.
func Ndokwa() Deployment {
	return Deployment{
		Region: "ng-south", Zones: []string{"enugu-a", "enugu-b", "onitsha-a", "aba-a"}, Slots: 4,
		Workspaces: []string{"trust", "telco"}, Models: []string{"assistant"},
		Services: []types.Service{
			{Name: "topup", ProbePath: "/v1/probe", Price: 50, Timeout: types.Duration(5 * time.Second)},
			{Name: "balance", Repeatable: true, Price: 5, Timeout: types.Duration(2 * time.Second), HedgeAfter: types.Duration(200 * time.Millisecond)},
		},
	}
}

// Config makes the configuration of a shape. Personal data stays in its region, and
// calls of callers on the line go before planning.
func Config(shape Deployment, keys Keys) (types.Config, error) {
	root, err := seal.NewRootKey(keys.Root)
	if err != nil {
		return types.Config{}, err
	}
	cfg := types.Config{
		Services: shape.Services,
		Policy: types.Policy{
			Place: `data_class != "personal" || region == "` + shape.Region + `"`,
			Order: `kind == "booking" || kind == "recharge" ? 1 : 0`,
			Spend: `budget < 2000000 ? budget : 2000000`,
		},
		Defaults: Defaults(),
		Keys:     []types.DataKey{root.NewKey("k1")},
	}
	yes, no, one := true, false, int64(1)
	cfg.Policy.Samples = []types.Sample{
		{Name: "home", Input: types.RuleInput{DataClass: "personal", Region: shape.Region, Use: "run"}, Want: types.ExpectedResults{Place: &yes}},
		{Name: "abroad", Input: types.RuleInput{DataClass: "personal", Region: "elsewhere", Use: "run"}, Want: types.ExpectedResults{Place: &no}},
		{Name: "line", Input: types.RuleInput{Kind: "booking"}, Want: types.ExpectedResults{Order: &one}},
	}
	for _, zone := range shape.Zones {
		cfg.Zones = append(cfg.Zones, types.Zone{Name: zone, Region: shape.Region, Slots: shape.Slots})
	}
	for _, workspace := range shape.Workspaces {
		cfg.Workspaces = append(cfg.Workspaces, types.Workspace{Name: workspace, TokenHashes: []string{ident.KeyDigest(Token(workspace))}})
	}
	for _, model := range shape.Models {
		cfg.Models = append(cfg.Models, types.Model{Name: model, MinWarm: 1})
	}
	return cfg, nil
}

// Defaults are limits that suit both deployments.
func Defaults() types.Defaults {
	return types.Defaults{
		Turns: 600, Depth: 3, FanOut: 16, Idle: types.Duration(30 * time.Minute), Deadline: types.Duration(24 * time.Hour),
		MaxTokens: 256, GrantChunk: 20_000, TailBytes: 4 << 20, LogWait: types.Duration(50 * time.Millisecond),
		KeyRetention: types.Duration(24 * time.Hour),
	}
}
