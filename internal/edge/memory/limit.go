package memory

import (
	"bytes"
	"math"
	"os"
	"path"
	"strconv"
	"strings"
)

// SystemLimit returns the memory in bytes that the system gives this process: the smallest of the limits of its control groups and the
// memory of the machine. It returns 0 if none can be read.
func SystemLimit() int64 { return systemLimit(os.ReadFile) }

func systemLimit(read func(string) ([]byte, error)) int64 {
	limit := int64(math.MaxInt64)
	content, _ := read("/proc/self/cgroup")
	for line := range strings.Lines(string(content)) {
		parts := strings.SplitN(strings.TrimSpace(line), ":", 3)
		if len(parts) != 3 {
			continue
		}
		root, file := "", ""
		switch parts[1] {
		case "":
			root, file = "/sys/fs/cgroup", "memory.max"
		case "memory":
			root, file = "/sys/fs/cgroup/memory", "memory.limit_in_bytes"
		default:
			continue
		}
		// A limit of a parent group applies too. Inside a container the path may not exist; its own group is then the root.
		for group := path.Clean("/" + parts[2]); ; group = path.Dir(group) {
			limit = min(limit, parseLimit(read, path.Join(root, group, file)))
			if group == "/" {
				break
			}
		}
	}
	if content, err := read("/proc/meminfo"); err == nil {
		limit = min(limit, memTotal(string(content)))
	}
	if limit == math.MaxInt64 {
		return 0
	}
	return limit
}

// parseLimit returns the limit in a file of a control group; "max" and files that can't be read mean none.
func parseLimit(read func(string) ([]byte, error), name string) int64 {
	content, err := read(name)
	if err != nil {
		return math.MaxInt64
	}
	limit, err := strconv.ParseInt(string(bytes.TrimSpace(content)), 10, 64)
	if err != nil || limit <= 0 {
		return math.MaxInt64
	}
	return limit
}

func memTotal(meminfo string) int64 {
	for line := range strings.Lines(meminfo) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if kilobytes, err := strconv.ParseInt(fields[1], 10, 64); err == nil && kilobytes > 0 {
			return kilobytes << 10
		}
	}
	return math.MaxInt64
}
