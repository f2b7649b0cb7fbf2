package caller

import "sync"

// maxIdleWorkers bounds the goroutines that wait for a request.
const maxIdleWorkers = 64

// workers runs the handlers of requests. It reuses goroutines: a new one would have to grow its stack for each request, which takes a fifth
// of the processor time of a small request.
type workers struct {
	mu     sync.Mutex
	idle   []chan job
	closed bool
}

// job is a request to be handled.
type job struct {
	response *response
	handle   func()
}

// run handles a request on a goroutine of its own.
func (w *workers) run(j job) {
	w.mu.Lock()
	last := len(w.idle) - 1
	if last < 0 {
		w.mu.Unlock()
		go w.work(j)
		return
	}
	jobs := w.idle[last]
	w.idle = w.idle[:last]
	w.mu.Unlock()
	jobs <- j
}

// work handles requests until enough other goroutines wait for one.
func (w *workers) work(j job) {
	jobs := make(chan job, 1)
	for ok := true; ok; j, ok = <-jobs {
		j.response.conn.run(j.response, j.handle)
		j = job{}
		if !w.wait(jobs) {
			return
		}
	}
}

func (w *workers) wait(jobs chan job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) >= maxIdleWorkers {
		return false
	}
	w.idle = append(w.idle, jobs)
	return true
}

// close ends the goroutines that wait, and the others after their requests.
func (w *workers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, jobs := range w.idle {
		close(jobs)
	}
	w.idle = nil
}
