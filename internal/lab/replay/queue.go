package replay

import (
	"container/heap"
	"time"
)

// eventQueue runs tasks in the order of their simulated times.
type eventQueue struct {
	// now is the time of the task that runs.
	now      time.Time
	tasks    taskHeap
	sequence uint64
}

// after runs a task when some time has passed.
func (a *eventQueue) after(d time.Duration, run func()) {
	a.sequence++
	heap.Push(&a.tasks, task{at: a.now.Add(d), sequence: a.sequence, run: run})
}

// every runs a task again and again.
func (a *eventQueue) every(d time.Duration, run func()) {
	a.after(d, func() {
		run()
		a.every(d, run)
	})
}

// runUntil runs all tasks before a time.
func (a *eventQueue) runUntil(end time.Time) {
	for len(a.tasks) > 0 && a.tasks[0].at.Before(end) {
		next := heap.Pop(&a.tasks).(task)
		a.now = next.at
		next.run()
	}
	a.now = end
}

// task is something that happens at a time; tasks at the same time run in the order in which they were entered.
type task struct {
	at       time.Time
	sequence uint64
	run      func()
}

// taskHeap is a heap.
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

// Pop removes the last task.
func (t *taskHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
