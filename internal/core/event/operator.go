package event

// StatusRequested is posted when an operator requests the node's status. effect.ReplyStatus replies to it.
type StatusRequested struct {
	// QueryID distinguishes concurrent queries.
	QueryID uint64
}

func (StatusRequested) isBody() {}
