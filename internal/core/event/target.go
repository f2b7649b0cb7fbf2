package event

import "jayfold.dev/jayfold/internal/core/fleet"

// HeartbeatReceived is posted when a target on this host sends a heartbeat. effect.AcknowledgeTarget replies to it.
type HeartbeatReceived struct {
	Heartbeat fleet.Heartbeat
	// AckID distinguishes the calls that wait for an acknowledgement.
	AckID uint64
}

// TargetWithdrew is posted when a target on this host asks to be removed. effect.AcknowledgeTarget replies to it.
type TargetWithdrew struct {
	Name string
	// AckID distinguishes the calls that wait for an acknowledgement.
	AckID uint64
}

// AdmissionRequested is posted when an ingress asks to run an attempt on a target on this host.
type AdmissionRequested struct {
	Attempt fleet.Attempt
}

// AdmissionCanceled is posted when the ingress cancels an attempt or the connection to the ingress breaks.
type AdmissionCanceled struct {
	Attempt fleet.AttemptID
}

// RunFinished is posted when an attempt on a target on this host ends.
type RunFinished struct {
	Attempt fleet.AttemptID
	Outcome fleet.Outcome
}

// CrashChecked is posted when the check for a target crash is complete, after an attempt that ended with CrashCheckPending.
type CrashChecked struct {
	Attempt fleet.AttemptID
	// TargetCrashed is true if the target's process died while the attempt ran.
	TargetCrashed bool
}

func (CrashChecked) isBody()       {}
func (HeartbeatReceived) isBody()  {}
func (TargetWithdrew) isBody()     {}
func (AdmissionRequested) isBody() {}
func (AdmissionCanceled) isBody()  {}
func (RunFinished) isBody()        {}
