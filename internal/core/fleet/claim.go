package fleet

// ClaimResult is the platform's answer to the claim on an order.
type ClaimResult uint8

// The results. A claim whose answer was lost is read back before it counts as failed.
const (
	ClaimFailed ClaimResult = iota
	ClaimCreated
	ClaimExists
)
