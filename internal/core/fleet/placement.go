package fleet

// Placement is the rule by which an ingress chooses the target of an attempt and a sidecar estimates waits.
type Placement string

// The placements.
const (
	// PlacementByCount compares targets by their requests per slot.
	PlacementByCount Placement = "count"
	// PlacementByCost compares targets by the expected completion time of the request.
	PlacementByCost Placement = "cost"
)
