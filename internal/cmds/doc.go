// Package cmds implements the commands of the balsamvale program.
package cmds
