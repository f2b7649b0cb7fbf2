package event

// StatusAsked asks for a view of the node's state.
type StatusAsked struct {
	// Query tells concurrent questions apart.
	Query uint64
}

func (StatusAsked) isBody() {}
