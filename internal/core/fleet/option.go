package fleet

// Option is a value that may be absent. The zero value is absent.
type Option[T any] struct {
	value   T
	present bool
}

// Some returns a present value.
func Some[T any](value T) Option[T] { return Option[T]{value: value, present: true} }

// Get returns the value and reports whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.present }

// Or returns the value if it is present, and other if not.
func (o Option[T]) Or(other T) T {
	if o.present {
		return o.value
	}
	return other
}
