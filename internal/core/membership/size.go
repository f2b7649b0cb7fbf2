package membership

// Len returns the number of records, this node's own among them.
func (s State) Len() int { return s.members.Len() }
