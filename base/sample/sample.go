package sample

import (
	"crypto/ed25519"
	"crypto/sha256"
	"time"

	"mulleingate.dev/base/ident"
	"mulleingate.dev/base/seal"
	"mulleingate.dev/base/types"
)

// Keys holds the keys of a deployment for development and tests.
type Keys struct {
	Root     []byte
	Operator ed25519.PrivateKey
}

// NewKeys derives keys from a seed, so that separate processes agree on them.
func NewKeys(seed string) Keys {
	root := sha256.Sum256([]byte("root " + seed))
	operator := sha256.Sum256([]byte("operator " + seed))
	return Keys{Root: root[:], Operator: ed25519.NewKeyFromSeed(operator[:])}
}

// Public returns the operator's public key.
func (k Keys) Public() ed25519.PublicKey {
	return k.Operator.Public().(ed25519.PublicKey)
}

// Token returns the bearer token of a workspace in sample configurations.
func Token(workspace string) string {
	return "token-" + workspace
}

// Deployment describes a sample configuration. All zones are in one region, with SlotsPerZone slots each.
type Deployment struct {
	Region       string
	Zones        []string
	SlotsPerZone int
	Workspaces   []string
	Models       []string
	Services     []types.Service
}

// Ghent returns the example deployment of two teams that book blood donors.
func Ghent() Deployment {
	return Deployment{
		Region: "be-central", Zones: []string{"hall-gent", "hall-mechelen", "hall-namur"}, SlotsPerZone: 4,
		Workspaces: []string{"flanders", "wallonia"}, Models: []string{"planner"},
		Services: []types.Service{
			{Name: "booking", ProbePath: "/v1/probe", Price: 50, Timeout: types.Duration(5 * time.Second)},
			{Name: "calendar", Repeatable: true, Price: 5, Timeout: types.Duration(2 * time.Second), HedgeAfter: types.Duration(200 * time.Millisecond)},
		},
	}
}

// Ndokwa returns the example deployment of a trust that sells airtime.
func Ndokwa() Deployment {
	return Deployment{
		Region: "ng-south", Zones: []string{"enugu-a", "enugu-b", "onitsha-a", "aba-a"}, SlotsPerZone: 4,
		Workspaces: []string{"trust", "telco"}, Models: []string{"assistant"},
		Services: []types.Service{
			{Name: "topup", ProbePath: "/v1/probe", Price: 50, Timeout: types.Duration(5 * time.Second)},
			{Name: "balance", Repeatable: true, Price: 5, Timeout: types.Duration(2 * time.Second), HedgeAfter: types.Duration(200 * time.Millisecond)},
		},
	}
}

// Config returns the configuration of a deployment. Its policy keeps personal data in the region, and
// gives priority to the kinds of programs that serve a waiting person (booking and recharge).
func Config(deployment Deployment, keys Keys) (types.Config, error) {
	root, err := seal.NewRootKey(keys.Root)
	if err != nil {
		return types.Config{}, err
	}
	cfg := types.Config{
		Services: deployment.Services,
		Policy: types.Policy{
			Place: `data_class != "personal" || region == "` + deployment.Region + `"`,
			Order: `kind == "booking" || kind == "recharge" ? 1 : 0`,
			Spend: `budget < 2000000 ? budget : 2000000`,
		},
		Defaults: Defaults(),
		Keys:     []types.DataKey{root.NewKey("k1")},
	}
	yes, no, one := true, false, int64(1)
	cfg.Policy.Samples = []types.Sample{
		{Name: "home", Input: types.RuleInput{DataClass: "personal", Region: deployment.Region, Use: "run"}, Want: types.ExpectedResults{Place: &yes}},
		{Name: "abroad", Input: types.RuleInput{DataClass: "personal", Region: "elsewhere", Use: "run"}, Want: types.ExpectedResults{Place: &no}},
		{Name: "line", Input: types.RuleInput{Kind: "booking"}, Want: types.ExpectedResults{Order: &one}},
	}
	for _, zone := range deployment.Zones {
		cfg.Zones = append(cfg.Zones, types.Zone{Name: zone, Region: deployment.Region, Slots: deployment.SlotsPerZone})
	}
	for _, workspace := range deployment.Workspaces {
		cfg.Workspaces = append(cfg.Workspaces, types.Workspace{Name: workspace, TokenHashes: []string{ident.KeyDigest(Token(workspace))}})
	}
	for _, model := range deployment.Models {
		cfg.Models = append(cfg.Models, types.Model{Name: model, MinWarm: 1})
	}
	return cfg, nil
}

// Defaults returns default limits that suit both example deployments.
func Defaults() types.Defaults {
	return types.Defaults{
		Turns: 600, Depth: 3, FanOut: 16, Idle: types.Duration(30 * time.Minute), Deadline: types.Duration(24 * time.Hour),
		MaxTokens: 256, GrantChunk: 20_000, TailBytes: 4 << 20, LogWait: types.Duration(50 * time.Millisecond),
		KeyRetention: types.Duration(24 * time.Hour),
	}
}
