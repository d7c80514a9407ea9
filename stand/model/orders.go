package model

import (
	"maps"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// The operations of cache orders and the kinds of engine orders.
const (
	OpRelease = "release"
	OpHold    = "hold"
	OpUnhold  = "unhold"
	OpImport  = "import"

	OrderLoad   = "load"
	OrderUnload = "unload"
)

// CacheItem describes one cached prefix.
type CacheItem struct {
	Tokens int  `json:"tokens"`
	Held   bool `json:"held"`
}

// ApplyCacheOrder executes a cache order other than OpImport, for which the caller uses ImportItems.
func (e *Engine) ApplyCacheOrder(order types.CacheOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range order.Keys {
		switch order.Op {
		case OpRelease:
			e.cache.release(key)
		case OpHold:
			e.cache.setHeld(key, true)
		case OpUnhold:
			e.cache.setHeld(key, false)
		default:
			return fault.Refuse(fault.BadRequest, "unknown cache order")
		}
	}
	return nil
}

// CacheItems returns the cached prefixes by key.
func (e *Engine) CacheItems() map[string]CacheItem {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]CacheItem, len(e.cache.items))
	for key, el := range e.cache.items {
		it := el.Value.(*item)
		out[key] = CacheItem{Tokens: it.tokens, Held: it.held}
	}
	return out
}

// ImportItems adds prefixes that another engine exported.
func (e *Engine) ImportItems(items map[string]CacheItem) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, it := range items {
		e.cache.put(key, it.Tokens, it.Held)
	}
}

// ApplyOrder executes a load or unload order. A fenced engine rejects a fencing number lower than the
// highest one that it has seen.
func (e *Engine) ApplyOrder(order types.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spec.Fenced && order.Fence < e.fence {
		e.stats.StaleOrders++
		return fault.Refuse(fault.RevisionConflict, "stale fencing number")
	}
	e.fence = max(e.fence, order.Fence)
	switch order.Kind {
	case OrderLoad:
		e.models[order.Model] = order.Version
		e.stats.LoadOrders++
	case OrderUnload:
		delete(e.models, order.Model)
	default:
		return fault.Refuse(fault.BadRequest, "unknown order")
	}
	e.report = e.buildReport()
	return nil
}

// Models returns the versions of the loaded models by model.
func (e *Engine) Models() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.models)
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.ChargedTokens = maps.Clone(e.stats.ChargedTokens)
	out.Items = len(e.cache.items)
	out.EvictedTokens = e.cache.evictedTokens
	for _, el := range e.cache.items {
		if el.Value.(*item).held {
			out.Held++
		}
	}
	return out
}
