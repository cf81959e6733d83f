// Package scene drives the real programs through scenarios: processes are
// killed, stopped and resumed with signals, and data folders are removed.
package scene
