package settings

const (
	// callerPercent is the part of the process's memory that callers may make the node hold. The collector lets the heap grow to about
	// twice what is held, and the rest of a node takes some 30 MB.
	callerPercent = 40
	// defaultCallerMemory is the most that callers may make a node hold beside bodies if no memory is set: about 1,500 requests in progress.
	// Twice this and the default for bodies fit in the memory of the smallest host.
	defaultCallerMemory = 32 << 20
	// processPercent is the part of the memory that the runtime may use before it collects garbage more often. The rest is for what the
	// runtime does not count.
	processPercent = 85
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
	return system / 100 * processPercent
}
