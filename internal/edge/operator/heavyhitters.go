package operator

// heavyHitters counts the most frequent keys of a stream in bounded memory with the Space-Saving algorithm (Metwally et al.,
// 2005). With k counters, every key that makes up more than 1/k of the stream has a counter.
type heavyHitters struct {
	counters map[string]counter
	capacity int
	total    int
}

// counter is the estimate for one key, which has occurred between count-maxError and count times.
type counter struct {
	count    int
	maxError int
}

func newHeavyHitters(capacity int) *heavyHitters {
	return &heavyHitters{counters: make(map[string]counter, capacity), capacity: capacity}
}

// add counts a key. It returns the minimum number of occurrences of the key and the total number of keys added.
func (h *heavyHitters) add(key string) (atLeast, total int) {
	h.total++
	c, ok := h.counters[key]
	if !ok && len(h.counters) >= h.capacity {
		c = h.evict()
	}
	c.count++
	h.counters[key] = c
	return c.count - c.maxError, h.total
}

// evict removes the least frequent key and returns the initial counter for the key that replaces it. Of several such keys it
// removes the first in string order, so that the same stream always yields the same counters.
func (h *heavyHitters) evict() counter {
	least, found := "", false
	for key, c := range h.counters {
		l := h.counters[least]
		if !found || c.count < l.count || c.count == l.count && key < least {
			least, found = key, true
		}
	}
	count := h.counters[least].count
	delete(h.counters, least)
	return counter{count: count, maxError: count}
}
