// Package cmds implements the subcommands of cranberrymill, one file each.
package cmds
