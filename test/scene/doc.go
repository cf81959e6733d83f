// Package scene runs the real program in scenarios: processes are killed,
// stopped and resumed with signals, and data folders are removed.
package scene
