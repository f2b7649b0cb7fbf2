package effect

// AcknowledgeTarget replies to event.HeartbeatReceived and event.TargetWithdrew.
type AcknowledgeTarget struct {
	AckID uint64
	// Accepted is false if the target is leaving and no other party than this node knows so.
	Accepted bool
}

func (AcknowledgeTarget) isEffect() {}
