// Package mail queues orders for workers that get them in the replies to their reports.
package mail
