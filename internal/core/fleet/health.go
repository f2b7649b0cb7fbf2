package fleet

import "fmt"

// Health is what the last requests of a target say of it.
type Health uint8

// The healths, from the best to the worst.
const (
	// Healthy targets take every request.
	Healthy Health = iota
	// Shedding targets have just refused requests although they had free slots. Those that they take they answer.
	Shedding
	// Faulty targets have just broken off requests or answered them with errors, and take only trials.
	Faulty
)

var healthNames = [...]string{Healthy: "Healthy", Shedding: "Shedding", Faulty: "Faulty"}

// String returns the name used between nodes and in logs.
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
	return Healthy, fmt.Errorf("no health is named %q", name)
}
