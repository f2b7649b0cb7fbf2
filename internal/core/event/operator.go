package event

// StatusRequested asks for a view of the node's state.
type StatusRequested struct {
	// QueryID tells concurrent questions apart.
	QueryID uint64
}

func (StatusRequested) isBody() {}
