package model

import (
	"maps"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

// The operations of cache and engine orders.
const (
	OpRelease = "release"
	OpHold    = "hold"
	OpUnhold  = "unhold"
	OpImport  = "import"

	OrderLoad   = "load"
	OrderUnload = "unload"
)

// Item describes one cached prefix.
type Item struct {
	Tokens int  `json:"tokens"`
	Held   bool `json:"held"`
}

// Cache carries out a cache order; import is done by Import.
func (e *Engine) Cache(order types.CacheOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range order.Keys {
		switch order.Op {
		case OpRelease:
			e.cache.release(key)
		case OpHold:
			e.cache.hold(key, true)
		case OpUnhold:
			e.cache.hold(key, false)
		default:
			return fault.Refuse(fault.BadRequest, "unknown cache order")
		}
	}
	return nil
}

// Items lists the cached prefixes by key.
func (e *Engine) Items() map[string]Item {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]Item, len(e.cache.items))
	for key, el := range e.cache.items {
		it := el.Value.(*item)
		out[key] = Item{Tokens: it.tokens, Held: it.held}
	}
	return out
}

// Import stores prefixes that another engine exported.
func (e *Engine) Import(items map[string]Item) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, it := range items {
		e.cache.put(key, it.Tokens, it.Held)
	}
}

// Order carries out a load or unload order, if its fencing number is not old.
func (e *Engine) Order(order types.EngineOrder) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.spec.Fenced && order.Fence < e.fence {
		e.stats.Stale++
		return fault.Refuse(fault.RevisionConflict, "fencing number is old")
	}
	e.fence = max(e.fence, order.Fence)
	switch order.Kind {
	case OrderLoad:
		e.models[order.Model] = order.Version
		e.stats.Loads++
	case OrderUnload:
		delete(e.models, order.Model)
	default:
		return fault.Refuse(fault.BadRequest, "unknown order")
	}
	e.report = e.snapshot()
	return nil
}

// Models lists what is loaded, with versions.
func (e *Engine) Models() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.models)
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.stats
	out.Charged = maps.Clone(e.stats.Charged)
	out.Items = len(e.cache.items)
	out.Evicted = e.cache.evicted
	for _, el := range e.cache.items {
		if el.Value.(*item).held {
			out.Held++
		}
	}
	return out
}
