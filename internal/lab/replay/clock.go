package replay

import (
	"container/heap"
	"time"
)

// clock is a simulated clock. It runs tasks in the order of their simulated time.
type clock struct {
	// now is the simulated time, which is that of the current task while it runs.
	now      time.Time
	tasks    taskHeap
	sequence uint64
}

// after schedules a task to run after d.
func (c *clock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.tasks, task{at: c.now.Add(d), sequence: c.sequence, run: run})
}

// every schedules a task to run every d, the first time after d.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

// runUntil runs all tasks that are due before end.
func (c *clock) runUntil(end time.Time) {
	for len(c.tasks) > 0 && c.tasks[0].at.Before(end) {
		next := heap.Pop(&c.tasks).(task)
		c.now = next.at
		next.run()
	}
	c.now = end
}

// task is a function that runs at a simulated time. Tasks with the same time run in the order in which they were scheduled.
type task struct {
	at       time.Time
	sequence uint64
	run      func()
}

// taskHeap is a heap of tasks, ordered by time and sequence.
type taskHeap []task

func (t taskHeap) Len() int { return len(t) }

func (t taskHeap) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].sequence < t[j].sequence
}

func (t taskHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *taskHeap) Push(x any)   { *t = append(*t, x.(task)) }

// Pop removes and returns the last element, as container/heap requires.
func (t *taskHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
