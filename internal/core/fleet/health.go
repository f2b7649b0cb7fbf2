package fleet

import "fmt"

// Health is the condition of a target as judged from its most recent requests.
type Health uint8

// The health values, from best to worst.
const (
	// Healthy targets take every request.
	Healthy Health = iota
	// Shedding targets have recently refused requests although they had free slots. They respond to the requests that they accept.
	Shedding
	// Silent targets work on requests for longer than usual: they hang or are slow. They take idempotent requests and, if no healthy
	// target takes the request, forced attempts.
	Silent
	// Faulty targets have recently dropped requests or returned errors. They take only trial requests and, if no healthy target
	// takes the request, forced attempts.
	Faulty
)

var healthNames = [...]string{Healthy: "Healthy", Shedding: "Shedding", Silent: "Silent", Faulty: "Faulty"}

// String returns the name used in messages between nodes and in logs.
func (h Health) String() string {
	if int(h) >= len(healthNames) {
		return fmt.Sprintf("Health(%d)", uint8(h))
	}
	return healthNames[h]
}

// ParseHealth returns the health with the given name.
func ParseHealth(name string) (Health, error) {
	for h, n := range healthNames {
		if n == name {
			return Health(h), nil
		}
	}
	return Healthy, fmt.Errorf("unknown health %q: want Healthy, Shedding, Silent or Faulty", name)
}
