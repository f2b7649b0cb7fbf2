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
	// utimeField is the place of utime in /proc/PID/stat, after the name in brackets; stime follows it.
	utimeField = 11
	// residentField is the place of the resident pages in /proc/PID/statm.
	residentField = 1
)

// processUsage is what a process took within some time.
type processUsage struct {
	// meanMemory and maxMemory are resident memory in MB, cpu is the share of a core in percent.
	meanMemory, maxMemory, cpu float64
}

// measureUsage watches a process for some time.
func measureUsage(ctx context.Context, pid int, length time.Duration) (processUsage, error) {
	before, err := processCPUTime(pid)
	if err != nil {
		return processUsage{}, err
	}
	var u processUsage
	begun, looks := time.Now(), 0
	for time.Since(begun) < length && ctx.Err() == nil {
		sleep(ctx, usageInterval)
		resident, err := residentMemory(pid)
		if err != nil {
			return processUsage{}, err
		}
		looks++
		u.meanMemory += (resident - u.meanMemory) / float64(looks)
		u.maxMemory = max(u.maxMemory, resident)
	}
	after, err := processCPUTime(pid)
	if err != nil {
		return processUsage{}, err
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
	pages, err := fieldAt(string(content), residentField)
	return float64(pages) * float64(os.Getpagesize()) / megabyte, err
}

// processCPUTime returns the processor time that a process has taken.
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

func fieldAt(text string, place int) (int64, error) {
	fields := strings.Fields(text)
	if place >= len(fields) {
		return 0, fmt.Errorf("%q has no field %d", text, place)
	}
	return strconv.ParseInt(fields[place], 10, 64)
}
