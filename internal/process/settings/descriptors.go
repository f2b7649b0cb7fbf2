package settings

import "syscall"

const (
	// callerDescriptorPercent is the part of the process's descriptors that connections of callers may use. The rest is for targets, other
	// nodes, the platform and files.
	callerDescriptorPercent = 50
	// maxDescriptors is used in place of a larger limit, which some systems report for none.
	maxDescriptors = 1 << 30
)

// CallerConnections returns the number of connections of callers that the node keeps, from the limit that the system sets for its descriptors;
// 0 means no limit.
func CallerConnections() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return callerConnections(limit.Cur)
}

func callerConnections(descriptors uint64) int {
	return int(min(descriptors, maxDescriptors) * callerDescriptorPercent / 100)
}
