// Package defaults sets options with the zero value to their defaults.
package defaults

// Set sets an option to its default if it has the zero value.
func Set[T comparable](option *T, value T) {
	var zero T
	if *option == zero {
		*option = value
	}
}
