package capacity

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// usageInterval is the time between two looks at the memory of a process.
	usageInterval = 200 * time.Millisecond
	// ticksPerSecond is the unit of processor time in /proc (sysconf(_SC_CLK_TCK) on Linux).
	ticksPerSecond = 100
	megabyte       = 1 << 20
	// userTicks is the place of utime in /proc/PID/stat, after the name in brackets; stime follows it.
	userTicks = 11
	// residentPages is the place of the resident pages in /proc/PID/statm.
	residentPages = 1
)

// usage is what a process took within some time.
type usage struct {
	// mean and most are resident memory in MB, cpu is the share of a core in percent.
	mean, most, cpu float64
}

// measureUsage watches a process for some time.
func measureUsage(ctx context.Context, pid int, length time.Duration) (usage, error) {
	before, err := processorTime(pid)
	if err != nil {
		return usage{}, err
	}
	var u usage
	begun, looks := time.Now(), 0
	for time.Since(begun) < length && ctx.Err() == nil {
		wait(ctx, usageInterval)
		resident, err := residentMemory(pid)
		if err != nil {
			return usage{}, err
		}
		looks++
		u.mean += (resident - u.mean) / float64(looks)
		u.most = max(u.most, resident)
	}
	after, err := processorTime(pid)
	if err != nil {
		return usage{}, err
	}
	u.cpu = 100 * (after - before).Seconds() / time.Since(begun).Seconds()
	return u, ctx.Err()
}

// residentMemory returns the memory of a process that is in use, in MB.
func residentMemory(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := numberAt(string(content), residentPages)
	return float64(pages) * float64(os.Getpagesize()) / megabyte, err
}

// processorTime returns the processor time that a process has taken.
func processorTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, fields, _ := strings.Cut(string(content), ") ")
	user, err := numberAt(fields, userTicks)
	if err != nil {
		return 0, err
	}
	system, err := numberAt(fields, userTicks+1)
	return time.Duration(user+system) * time.Second / ticksPerSecond, err
}

func numberAt(text string, place int) (int64, error) {
	fields := strings.Fields(text)
	if place >= len(fields) {
		return 0, fmt.Errorf("%q has no field %d", text, place)
	}
	return strconv.ParseInt(fields[place], 10, 64)
}
