// Package place holds the policies that choose a worker for a task.
package place
