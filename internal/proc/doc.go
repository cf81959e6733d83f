// Package proc helps tests that start the program's own processes.
package proc
