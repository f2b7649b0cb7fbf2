package fleet

import "fmt"

// Class is the kind of a request. It sets the precedence among requests of the same priority.
type Class uint8

// The classes, from the lowest precedence to the highest.
const (
	Lookup Class = iota
	Internal
	Order
)

// Classes lists all classes.
var Classes = [...]Class{Lookup, Internal, Order}

var classNames = [...]string{Lookup: "Lookup", Internal: "Internal", Order: "Order"}

// String returns the name used in tables, headers and metrics.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return fmt.Sprintf("Class(%d)", uint8(c))
	}
	return classNames[c]
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, error) {
	for c, n := range classNames {
		if n == name {
			return Class(c), nil
		}
	}
	return 0, fmt.Errorf("unknown class %q: want Lookup, Internal or Order", name)
}
