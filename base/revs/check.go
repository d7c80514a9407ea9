package revs

import (
	"encoding/hex"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/rules"
	"mulleingate.dev/base/types"
)

const (
	maxSlots  = 4096
	maxTurns  = 100_000
	hashBytes = 32
)

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check reports all that is wrong with a configuration, joined, each with its path.
func Check(cfg types.Config) error {
	var c checker
	c.zones(cfg.Zones)
	c.workspaces(cfg.Workspaces)
	c.models(cfg.Models)
	c.services(cfg.Services)
	c.defaults(cfg.Defaults)
	c.need(len(cfg.Keys) > 0, "keys", "at least one data key is needed")
	if _, err := rules.Compile(cfg.Policy); err != nil {
		c.errs = append(c.errs, err)
	}
	return errors.Join(c.errs...)
}

type checker struct {
	errs []error
}

func (c *checker) need(ok bool, path, detail string) {
	if !ok {
		c.errs = append(c.errs, fault.Refuse(fault.BadConfig, path+": "+detail))
	}
}

func (c *checker) name(seen map[string]bool, path, name string) {
	c.need(nameForm.MatchString(name), path, "not a name of lower-case letters, digits and hyphens")
	c.need(!seen[name], path, "stands twice")
	seen[name] = true
}

func at(list string, i int, field string) string {
	return list + "[" + strconv.Itoa(i) + "]." + field
}

func (c *checker) zones(zones []types.Zone) {
	c.need(len(zones) > 0, "zones", "at least one availability zone is needed")
	seen := map[string]bool{}
	for i, zone := range zones {
		c.name(seen, at("zones", i, "name"), zone.Name)
		c.need(zone.Region != "", at("zones", i, "region"), "missing")
		c.need(zone.Slots > 0 && zone.Slots <= maxSlots, at("zones", i, "slots"), "not between 1 and 4096")
	}
}

func (c *checker) workspaces(workspaces []types.Workspace) {
	seen, hashes := map[string]bool{}, map[string]bool{}
	for i, workspace := range workspaces {
		c.name(seen, at("workspaces", i, "name"), workspace.Name)
		c.need(workspace.Share >= 0, at("workspaces", i, "share"), "negative")
		for _, hash := range workspace.TokenHashes {
			raw, err := hex.DecodeString(hash)
			c.need(err == nil && len(raw) == hashBytes, at("workspaces", i, "token_hashes"), "not a SHA-256 sum in hexadecimal")
			c.need(!hashes[hash], at("workspaces", i, "token_hashes"), "stands twice")
			hashes[hash] = true
		}
	}
}

func (c *checker) models(models []types.Model) {
	seen := map[string]bool{}
	for i, model := range models {
		c.name(seen, at("models", i, "name"), model.Name)
		c.need(model.MinWarm >= 0, at("models", i, "min_warm"), "negative")
	}
}

func (c *checker) services(services []types.Service) {
	seen := map[string]bool{}
	for i, svc := range services {
		c.name(seen, at("services", i, "name"), svc.Name)
		c.need(svc.Price >= 0, at("services", i, "price"), "negative")
		c.need(svc.Timeout >= 0, at("services", i, "timeout"), "negative")
		c.need(svc.HedgeAfter == 0 || svc.Repeatable, at("services", i, "hedge_after"), "only repeatable services may be hedged")
	}
}

func (c *checker) defaults(d types.Defaults) {
	c.need(d.Turns > 0 && d.Turns <= maxTurns, "defaults.turns", "not between 1 and 100000")
	c.need(d.Depth >= 0, "defaults.depth", "negative")
	c.need(d.FanOut >= 0, "defaults.fan_out", "negative")
	c.need(time.Duration(d.Idle) > 0, "defaults.idle", "not positive")
	c.need(time.Duration(d.Deadline) > 0, "defaults.deadline", "not positive")
	c.need(d.MaxTokens > 0, "defaults.max_tokens", "not positive")
	c.need(d.GrantChunk > 0, "defaults.grant_chunk", "not positive")
	c.need(d.TailBytes > 0, "defaults.tail_bytes", "not positive")
	c.need(time.Duration(d.LogWait) > 0, "defaults.log_wait", "not positive")
	c.need(time.Duration(d.KeyRetention) > 0, "defaults.key_retention", "not positive")
}
