// Package logs writes log lines in batches, since a system call for each line costs more than the line.
package logs
