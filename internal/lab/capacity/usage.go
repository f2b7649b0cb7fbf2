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
	// usageInterval is the time between two samples of the memory of a process.
	usageInterval = 200 * time.Millisecond
	// ticksPerSecond is the number of clock ticks per second in /proc (sysconf(_SC_CLK_TCK) on Linux).
	ticksPerSecond = 100
	megabyte       = 1 << 20
	// utimeField is the index of utime in /proc/PID/stat, counted from the first field after the name in parentheses. The next
	// field is stime.
	utimeField = 11
	// residentField is the index of the resident pages in /proc/PID/statm.
	residentField = 1
)

// processUsage is the resource usage of a process during a measurement.
type processUsage struct {
	// meanMemory and maxMemory are the resident memory in MB; cpu is the CPU usage in percent of a core.
	meanMemory, maxMemory, cpu float64
}

// measureUsage measures the resource usage of a process for the given duration.
func measureUsage(ctx context.Context, pid int, duration time.Duration) (processUsage, error) {
	before, err := processCPUTime(pid)
	if err != nil {
		return processUsage{}, err
	}
	var u processUsage
	begin, samples := time.Now(), 0
	for time.Since(begin) < duration && ctx.Err() == nil {
		sleep(ctx, usageInterval)
		resident, err := residentMemory(pid)
		if err != nil {
			return processUsage{}, err
		}
		samples++
		u.meanMemory += (resident - u.meanMemory) / float64(samples)
		u.maxMemory = max(u.maxMemory, resident)
	}
	after, err := processCPUTime(pid)
	if err != nil {
		return processUsage{}, err
	}
	u.cpu = 100 * (after - before).Seconds() / time.Since(begin).Seconds()
	return u, ctx.Err()
}

// residentMemory returns the resident memory of a process in MB.
func residentMemory(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	pages, err := fieldAt(string(content), residentField)
	return float64(pages) * float64(os.Getpagesize()) / megabyte, err
}

// processCPUTime returns the user and system CPU time of a process since its start.
func processCPUTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, fields, _ := strings.Cut(string(content), ") ")
	user, err := fieldAt(fields, utimeField)
	if err != nil {
		return 0, err
	}
	system, err := fieldAt(fields, utimeField+1)
	return time.Duration(user+system) * time.Second / ticksPerSecond, err
}

func fieldAt(text string, index int) (int64, error) {
	fields := strings.Fields(text)
	if index >= len(fields) {
		return 0, fmt.Errorf("%q has no field %d", text, index)
	}
	return strconv.ParseInt(fields[index], 10, 64)
}
