// Package place implements the placement policies, which rate workers for a task, and registers them
// in mill.Placers.
package place
