package platform

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"
)

// chunkCache holds the chunks of the content that was read last. A change of the tables leaves most chunks as they are. The chunks are
// parts of the content, which the node keeps in any case.
type chunkCache struct {
	mu     sync.Mutex
	chunks map[string][]byte
}

func (c *chunkCache) get(name string) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chunk, ok := c.chunks[name]
	return chunk, ok
}

// clear removes all chunks.
func (c *chunkCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks = nil
}

// keep replaces the chunks by those of a content whose chunks have the given names.
func (c *chunkCache) keep(names []string, content []byte) {
	chunks := make(map[string][]byte, len(names))
	for i, chunk := range splitChunks(content) {
		sum := sha256.Sum256(chunk)
		if name := hex.EncodeToString(sum[:]); i < len(names) && names[i] == name {
			chunks[name] = chunk
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.chunks = chunks
}
