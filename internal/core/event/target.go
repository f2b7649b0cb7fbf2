package event

import "jayfold.dev/jayfold/internal/core/fleet"

// HeartbeatReceived says that a target on this host sent a heartbeat.
type HeartbeatReceived struct {
	Heartbeat fleet.Heartbeat
}

// TargetWithdrew says that a target on this host asked to be removed.
type TargetWithdrew struct {
	Name string
}

// AdmissionRequested says that an ingress asks to run an attempt on a target of this host.
type AdmissionRequested struct {
	Attempt fleet.Attempt
}

// AdmissionCanceled says that the ingress gave up an attempt, or that its connection broke.
type AdmissionCanceled struct {
	Attempt fleet.AttemptID
}

// RunFinished says that an attempt on a target of this host ended.
type RunFinished struct {
	Attempt fleet.AttemptID
	Outcome fleet.Outcome
}

// CrashChecked says whether the process of a target died while an attempt ran that ended with CrashPending.
type CrashChecked struct {
	Attempt fleet.AttemptID
	Crashed bool
}

func (CrashChecked) isBody()       {}
func (HeartbeatReceived) isBody()  {}
func (TargetWithdrew) isBody()     {}
func (AdmissionRequested) isBody() {}
func (AdmissionCanceled) isBody()  {}
func (RunFinished) isBody()        {}
