// Package cli implements the damasklatch program: the operator's commands and the commands that run the daemons.
//
// Each command is a struct that implements Command. Its fields are the arguments, with the struct tags of go-arg. To add
// a command, add a field with a subcommand tag to Arguments or to a group such as ConfigCommands.
package cli
