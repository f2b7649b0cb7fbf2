package fleet

// ClaimResult is the result of claiming an order on the platform.
type ClaimResult uint8

// The claim results. A claim whose response was lost is read back before it counts as failed.
const (
	ClaimFailed ClaimResult = iota
	ClaimCreated
	ClaimExists
)
