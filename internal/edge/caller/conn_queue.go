package caller

// start appends a response to the queue and starts its handler. It waits until the request may run: one that cannot run beside others,
// or that follows such a request, runs when all responses before it are written.
func (c *conn) start(x *response, handle func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.hasRoom(x) && !c.failed {
		c.changed.Wait()
	}
	if len(c.queue) == 0 {
		x.wait = false
	}
	if !c.accepts() {
		c.holder.Return(x.cost)
		return errStopped
	}
	if len(c.queue) > 0 {
		x.turn = make(chan struct{})
	}
	c.queue = append(c.queue, x)
	if x.last {
		c.closing = true
	}
	c.server.workers.run(job{response: x, handle: handle})
	return nil
}

// hasRoom reports whether a request may run beside those in the queue.
func (c *conn) hasRoom(x *response) bool {
	if len(c.queue) == 0 {
		return true
	}
	if x.wait || !x.concurrent || !c.queue[0].concurrent || len(c.queue) >= maxPipelined {
		return false
	}
	// Without memory for a response that is held back, the request waits for those before it.
	x.wait = !c.holder.TryTake(heldResponseCost)
	if !x.wait {
		x.cost += heldResponseCost
	}
	return !x.wait
}

// accepts reports whether a further request may be served. When the connection is about to close, a request is served only if no other
// response can carry the notice of it.
func (c *conn) accepts() bool {
	if c.failed || c.announced {
		return false
	}
	if !c.closing {
		return true
	}
	for _, x := range c.queue {
		if !x.begun {
			return false
		}
	}
	return true
}

// run handles a request and completes its response.
func (c *conn) run(x *response, handle func()) {
	ok := false
	defer func() {
		x.end(ok)
		c.remove(x)
	}()
	c.server.seams.Recovery.Do("serve request", func() { ok = x.handle(handle) })
}

// remove takes the first response from the queue and gives its turn to the next one.
func (c *conn) remove(x *response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Return(x.cost)
	c.holder.Progress()
	c.queue[0] = nil
	c.queue = c.queue[1:]
	if !x.aborted {
		c.answered = true
	}
	switch {
	case len(c.queue) > 0:
		close(c.queue[0].turn)
	case c.failed:
	case c.announced && x.last && !c.linger:
		// The caller asked for the end. serve waits for input that will not come.
		_ = c.socket.Close()
	case c.announced:
		c.linger = true
		c.closeWrite()
		if c.waiting {
			c.setIdleDeadline()
		}
	case c.waiting:
		c.setIdleDeadline()
	}
	if len(c.queue) == 0 {
		c.queue = nil
	}
	c.changed.Broadcast()
}

// begin marks the head of a response as written, and reports whether it carries the notice that the connection is closed: only the
// response to the last request that has been read does.
func (c *conn) begin(x *response, wantsClose bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.begun = true
	c.closing = c.closing || wantsClose
	if !c.closing || c.queue[len(c.queue)-1] != x {
		return false
	}
	c.announced = true
	return true
}
