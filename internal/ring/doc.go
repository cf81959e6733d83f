// Package ring provides the bounded queue between components that run on separate goroutines.
package ring
