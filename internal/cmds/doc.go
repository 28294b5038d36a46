// Package cmds is the command line.
package cmds
