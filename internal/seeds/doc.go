// Package seeds fixes the seed of the state machine tests, so that a check of a
// change gives the same verdict every time.
package seeds
