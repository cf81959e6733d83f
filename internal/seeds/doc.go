// Package seeds fixes the random seed of the state machine tests, so that
// repeated runs on the same code give the same result.
package seeds
