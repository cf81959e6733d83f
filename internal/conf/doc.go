// Package conf reads and validates the settings of a process and the cluster file
// that all processes share.
package conf
