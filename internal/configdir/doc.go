// Package configdir reads the configuration files of a deployment from a directory, and edits them to drain an element.
// The files are base.yaml, overlays/<site>.yaml and blocks.txt.
package configdir
