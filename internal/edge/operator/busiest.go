package operator

// busiest counts the most frequent keys of a stream in bounded memory (space-saving, Metwally et al., 2005). With k
// counters every key with more than 1/k of the stream has one.
type busiest struct {
	counters map[string]counter
	capacity int
	total    int
}

// counter says that its key came between count-excess and count times.
type counter struct {
	count  int
	excess int
}

func newBusiest(capacity int) *busiest {
	return &busiest{counters: make(map[string]counter, capacity), capacity: capacity}
}

// add counts a key and returns how often it came at least, out of how many keys.
func (b *busiest) add(key string) (atLeast, total int) {
	b.total++
	c, ok := b.counters[key]
	if !ok && len(b.counters) >= b.capacity {
		c = b.evict()
	}
	c.count++
	b.counters[key] = c
	return c.count - c.excess, b.total
}

// evict removes the least frequent key and returns the counter that its successor starts from. Among equals it removes
// the first in order, so that the same stream gives the same counters.
func (b *busiest) evict() counter {
	least, found := "", false
	for key, c := range b.counters {
		l := b.counters[least]
		if !found || c.count < l.count || c.count == l.count && key < least {
			least, found = key, true
		}
	}
	count := b.counters[least].count
	delete(b.counters, least)
	return counter{count: count, excess: count}
}
