// Package mail holds orders for workers that fetch them with the replies to their reports.
package mail
