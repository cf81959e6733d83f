// Package lead is the duty of the process that leads: it reads the jobs, asks
// package plan, has its decisions committed, and then gives orders to workers.
//
// Scheduler is a machine without input or output that lives for one term.
// Runner carries out its actions and feeds it with what comes back.
package lead
