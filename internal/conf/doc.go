// Package conf reads and checks the settings of a process and the map of the
// cluster that all processes share.
package conf
