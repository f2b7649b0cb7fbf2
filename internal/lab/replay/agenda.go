package replay

import (
	"container/heap"
	"time"
)

// agenda runs tasks in the order of their simulated times.
type agenda struct {
	// now is the time of the task that runs.
	now   time.Time
	tasks tasks
	count uint64
}

// after runs a task when some time has passed.
func (a *agenda) after(d time.Duration, run func()) {
	a.count++
	heap.Push(&a.tasks, task{at: a.now.Add(d), order: a.count, run: run})
}

// every runs a task again and again.
func (a *agenda) every(d time.Duration, run func()) {
	a.after(d, func() {
		run()
		a.every(d, run)
	})
}

// runUntil runs all tasks before a time.
func (a *agenda) runUntil(end time.Time) {
	for len(a.tasks) > 0 && a.tasks[0].at.Before(end) {
		next := heap.Pop(&a.tasks).(task)
		a.now = next.at
		next.run()
	}
	a.now = end
}

// task is something that happens at a time; tasks at the same time run in the order in which they were entered.
type task struct {
	at    time.Time
	order uint64
	run   func()
}

// tasks is a heap.
type tasks []task

func (t tasks) Len() int { return len(t) }

func (t tasks) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].order < t[j].order
}

func (t tasks) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(x any)   { *t = append(*t, x.(task)) }

// Pop removes the last task.
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
