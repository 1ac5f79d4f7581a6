package modelengine

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"limpethub/internal/modelref"
)

// Sizes of the prefix cache's units.
const (
	// bytesPerToken is how many bytes of a prompt make one token.
	bytesPerToken = 4
	// blockTokens is how many prompt tokens one cached block holds.
	blockTokens = 32
)

// prefixCache remembers prompt blocks, the least recently used going first. A
// block's key covers all that comes before it.
type prefixCache struct {
	limit  int
	recent *list.List
	blocks map[uint64]*list.Element
	log    cacheLog
	// loseEvery makes each n-th event get lost; 0 means none.
	loseEvery int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, recent: list.New(), blocks: map[uint64]*list.Element{}}
}

// touch returns how many tokens of the prompt were cached and how many it has, and
// caches all its whole blocks.
func (c *prefixCache) touch(model modelref.Ref, prompt string) (hit, total int) {
	total = (len(prompt) + bytesPerToken - 1) / bytesPerToken
	digest := xxhash.New()
	_, _ = digest.WriteString(string(model))
	const blockBytes = blockTokens * bytesPerToken
	unbroken := true
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		_, _ = digest.WriteString(prompt[:blockBytes])
		if c.use(digest.Sum64()) && unbroken {
			hit += blockTokens
		} else {
			unbroken = false
		}
	}
	return hit, total
}

// use marks a block as recent and reports whether it was cached.
func (c *prefixCache) use(key uint64) bool {
	if element, ok := c.blocks[key]; ok {
		c.recent.MoveToFront(element)
		return true
	}
	if c.limit <= 0 {
		return false
	}
	if len(c.blocks) >= c.limit {
		oldest := c.recent.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.log.add(CacheEvicted, oldest.Value.(uint64), c.loseEvery)
		c.recent.Remove(oldest)
	}
	c.blocks[key] = c.recent.PushFront(key)
	c.log.add(CacheStored, key, c.loseEvery)
	return false
}

// keys lists the blocks, the most recent first.
func (c *prefixCache) keys() []uint64 {
	out := make([]uint64, 0, len(c.blocks))
	for element := c.recent.Front(); element != nil; element = element.Next() {
		out = append(out, element.Value.(uint64))
	}
	return out
}
