package model

import (
	"container/list"

	"mulleingate.dev/base/types"
)

// cache is a prefix cache keyed by program. It evicts the least recently used items that aren't held.
type cache struct {
	capacity int64
	used     int64
	items    map[string]*list.Element
	// lru has the least recently used item first.
	lru *list.List
	// events are the newest maxEvents changes, numbered from 1 without gaps.
	events  []types.CacheEvent
	lastSeq int64
	// evictedTokens counts the tokens of items that were evicted to make room.
	evictedTokens int64
}

type item struct {
	key    string
	tokens int
	held   bool
}

const maxEvents = 4096

func newCache(capacity int64) *cache {
	return &cache{capacity: capacity, items: map[string]*list.Element{}, lru: list.New()}
}

// cachedTokens returns how many tokens of the key's prompt are cached, and marks the item as used.
func (c *cache) cachedTokens(key string, prompt int) int {
	el, ok := c.items[key]
	if !ok {
		return 0
	}
	c.lru.MoveToBack(el)
	return min(el.Value.(*item).tokens, prompt)
}

// put replaces the key's item. If it doesn't fit, the key is left without an item.
func (c *cache) put(key string, tokens int, held bool) {
	c.remove(key)
	if !c.makeRoom(int64(tokens)) {
		c.recordEvent(key, 0, true)
		return
	}
	c.items[key] = c.lru.PushBack(&item{key: key, tokens: tokens, held: held})
	c.used += int64(tokens)
	c.recordEvent(key, tokens, false)
}

// makeRoom evicts items that aren't held until that many tokens fit, and returns whether they do.
func (c *cache) makeRoom(tokens int64) bool {
	for el := c.lru.Front(); el != nil && c.used+tokens > c.capacity; {
		next := el.Next()
		if it := el.Value.(*item); !it.held {
			c.evictedTokens += int64(it.tokens)
			c.remove(it.key)
			c.recordEvent(it.key, 0, true)
		}
		el = next
	}
	return c.used+tokens <= c.capacity
}

// remove deletes an item without recording an event.
func (c *cache) remove(key string) {
	el, ok := c.items[key]
	if !ok {
		return
	}
	c.used -= int64(el.Value.(*item).tokens)
	c.lru.Remove(el)
	delete(c.items, key)
}

func (c *cache) release(key string) {
	c.remove(key)
	c.recordEvent(key, 0, true)
}

func (c *cache) setHeld(key string, held bool) {
	if el, ok := c.items[key]; ok {
		el.Value.(*item).held = held
	}
}

func (c *cache) recordEvent(key string, tokens int, removed bool) {
	c.lastSeq++
	c.events = append(c.events, types.CacheEvent{Seq: c.lastSeq, Key: key, Tokens: tokens, Removed: removed})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}
