package model

import (
	"container/list"

	"mulleingate.dev/base/types"
)

// cache is a prefix cache by program, evicting the least recently used that is not held.
type cache struct {
	size  int64
	used  int64
	items map[string]*list.Element
	// order has the least recently used item in front.
	order *list.List
	// events are numbered from 1 without gaps; publishing may lose some.
	events []types.CacheEvent
	seq    int64
	// evictedHeld counts tokens of held items lost for lack of room.
	evicted int64
}

type item struct {
	key    string
	tokens int
	held   bool
}

const maxEvents = 4096

func newCache(size int64) *cache {
	return &cache{size: size, items: map[string]*list.Element{}, order: list.New()}
}

// prefix is how many tokens of the key's prompt are held.
func (c *cache) prefix(key string, prompt int) int {
	el, ok := c.items[key]
	if !ok {
		return 0
	}
	c.order.MoveToBack(el)
	return min(el.Value.(*item).tokens, prompt)
}

func (c *cache) put(key string, tokens int, held bool) {
	c.drop(key)
	if !c.room(int64(tokens)) {
		c.note(key, 0, true)
		return
	}
	c.items[key] = c.order.PushBack(&item{key: key, tokens: tokens, held: held})
	c.used += int64(tokens)
	c.note(key, tokens, false)
}

func (c *cache) room(tokens int64) bool {
	for el := c.order.Front(); el != nil && c.used+tokens > c.size; {
		next := el.Next()
		if it := el.Value.(*item); !it.held {
			c.evicted += int64(it.tokens)
			c.drop(it.key)
			c.note(it.key, 0, true)
		}
		el = next
	}
	return c.used+tokens <= c.size
}

func (c *cache) drop(key string) {
	el, ok := c.items[key]
	if !ok {
		return
	}
	c.used -= int64(el.Value.(*item).tokens)
	c.order.Remove(el)
	delete(c.items, key)
}

func (c *cache) release(key string) {
	c.drop(key)
	c.note(key, 0, true)
}

func (c *cache) hold(key string, held bool) {
	if el, ok := c.items[key]; ok {
		el.Value.(*item).held = held
	}
}

func (c *cache) note(key string, tokens int, gone bool) {
	c.seq++
	c.events = append(c.events, types.CacheEvent{Seq: c.seq, Key: key, Tokens: tokens, Removed: gone})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}
