package settings

const (
	// callerPercent is the part of the process's memory that callers may make the node hold. The collector lets the heap grow to about
	// twice what is held, and the rest of a node takes some 30 MB.
	callerPercent = 40
	// defaultCallerMemory is the most that callers may make a node hold beside bodies if no memory is set. With the default for bodies it
	// allows for about 1,200 small requests in progress. With 32 MiB, pipelined heads of many lines took a node with 7 processors to 185 MB,
	// more than the smallest host has, because the collector lets the heap grow to twice what is held.
	defaultCallerMemory = 16 << 20
	// processPercent is the part of the memory, less programBytes, that the runtime may use before it collects garbage more often. The rest is
	// for what it allocates until a collection ends.
	processPercent = 85
	// programBytes is the resident part of the program itself, which the runtime does not count. Without it, bodies took a node with 64 MiB
	// to 65 MiB.
	programBytes = 12 << 20
)

// callerMemory returns the memory in bytes that callers may make the node hold.
func (l Limits) callerMemory(system int64) int64 {
	if l.Memory > 0 {
		return l.Memory / 100 * callerPercent
	}
	bound := l.MaxBufferedBytes + defaultCallerMemory
	if system > 0 {
		bound = min(bound, system/100*callerPercent)
	}
	return bound
}

// processMemory returns the size in bytes towards which the runtime keeps the process; 0 means no bound.
func (l Limits) processMemory(system int64) int64 {
	if l.Memory > 0 {
		system = l.Memory
	}
	return max(system/2, system/100*processPercent-programBytes)
}
