// Package mail holds orders for workers that take them from the answers to their reports.
package mail
