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

// namePattern matches the names of zones, workspaces, models and services.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check returns all errors in a configuration, joined; each names the path of its field.
func Check(cfg types.Config) error {
	var c checker
	c.zones(cfg.Zones)
	c.workspaces(cfg.Workspaces)
	c.models(cfg.Models)
	c.services(cfg.Services)
	c.defaults(cfg.Defaults)
	c.require(len(cfg.Keys) > 0, "keys", "at least one data key is needed")
	if _, err := rules.Compile(cfg.Policy); err != nil {
		c.errs = append(c.errs, err)
	}
	return errors.Join(c.errs...)
}

// checker collects the errors in a configuration.
type checker struct {
	errs []error
}

// require adds an error for the field at path unless ok is true.
func (c *checker) require(ok bool, path, detail string) {
	if !ok {
		c.errs = append(c.errs, fault.Refuse(fault.BadConfig, path+": "+detail))
	}
}

// checkName requires a well-formed name that is not in seen, and adds it there.
func (c *checker) checkName(seen map[string]bool, path, name string) {
	c.require(namePattern.MatchString(name), path, "not a name of lower-case letters, digits and hyphens")
	c.require(!seen[name], path, "is a duplicate")
	seen[name] = true
}

// fieldPath returns the path of a field of the list's element i.
func fieldPath(list string, i int, field string) string {
	return list + "[" + strconv.Itoa(i) + "]." + field
}

func (c *checker) zones(zones []types.Zone) {
	c.require(len(zones) > 0, "zones", "at least one availability zone is needed")
	seen := map[string]bool{}
	for i, zone := range zones {
		c.checkName(seen, fieldPath("zones", i, "name"), zone.Name)
		c.require(zone.Region != "", fieldPath("zones", i, "region"), "missing")
		c.require(zone.Slots > 0 && zone.Slots <= maxSlots, fieldPath("zones", i, "slots"), "not between 1 and 4096")
	}
}

func (c *checker) workspaces(workspaces []types.Workspace) {
	seen, hashes := map[string]bool{}, map[string]bool{}
	for i, workspace := range workspaces {
		c.checkName(seen, fieldPath("workspaces", i, "name"), workspace.Name)
		c.require(workspace.Share >= 0, fieldPath("workspaces", i, "share"), "negative")
		for _, hash := range workspace.TokenHashes {
			raw, err := hex.DecodeString(hash)
			c.require(err == nil && len(raw) == hashBytes, fieldPath("workspaces", i, "token_hashes"),
				"not a SHA-256 sum in hexadecimal")
			c.require(!hashes[hash], fieldPath("workspaces", i, "token_hashes"), "is a duplicate")
			hashes[hash] = true
		}
	}
}

func (c *checker) models(models []types.Model) {
	seen := map[string]bool{}
	for i, model := range models {
		c.checkName(seen, fieldPath("models", i, "name"), model.Name)
		c.require(model.MinWarm >= 0, fieldPath("models", i, "min_warm"), "negative")
	}
}

func (c *checker) services(services []types.Service) {
	seen := map[string]bool{}
	for i, svc := range services {
		c.checkName(seen, fieldPath("services", i, "name"), svc.Name)
		c.require(svc.Price >= 0, fieldPath("services", i, "price"), "negative")
		c.require(svc.Timeout >= 0, fieldPath("services", i, "timeout"), "negative")
		c.require(svc.HedgeAfter == 0 || svc.Repeatable, fieldPath("services", i, "hedge_after"),
			"only repeatable services may be hedged")
	}
}

func (c *checker) defaults(d types.Defaults) {
	c.require(d.Turns > 0 && d.Turns <= maxTurns, "defaults.turns", "not between 1 and 100000")
	c.require(d.Depth >= 0, "defaults.depth", "negative")
	c.require(d.FanOut >= 0, "defaults.fan_out", "negative")
	c.require(time.Duration(d.Idle) > 0, "defaults.idle", "not positive")
	c.require(time.Duration(d.Deadline) > 0, "defaults.deadline", "not positive")
	c.require(d.MaxTokens > 0, "defaults.max_tokens", "not positive")
	c.require(d.GrantChunk > 0, "defaults.grant_chunk", "not positive")
	c.require(d.TailBytes > 0, "defaults.tail_bytes", "not positive")
	c.require(time.Duration(d.LogWait) > 0, "defaults.log_wait", "not positive")
	c.require(time.Duration(d.KeyRetention) > 0, "defaults.key_retention", "not positive")
}
