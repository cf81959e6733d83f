// Package cmds holds the subcommands of cranberrymill, one file each.
package cmds
