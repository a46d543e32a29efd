package batch

import "container/list"

const blockBytes = 64 // block size of cached prompt prefixes

// cache is an LRU cache of prompt prefixes with one entry per block.
type cache struct {
	size   int // blocks
	order  list.List
	blocks map[string]*list.Element
}

// use returns the length in bytes of the longest cached prefix of the prompt and caches all of its prefixes.
func (c *cache) use(prompt string) int {
	if c.blocks == nil {
		c.blocks = map[string]*list.Element{}
	}
	hit, missed := 0, false
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		prefix := prompt[:end]
		if element, ok := c.blocks[prefix]; ok {
			c.order.MoveToFront(element)
			if !missed {
				hit = end
			}
			continue
		}
		missed = true
		c.blocks[prefix] = c.order.PushFront(prefix)
	}
	for c.order.Len() > c.size {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(string))
	}
	return hit
}

func (c *cache) clear() {
	c.order.Init()
	c.blocks = nil
}
