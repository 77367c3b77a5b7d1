// Package config parses, validates, merges and compares configurations. Operators write a configuration as one base file
// for the whole deployment, one overlay file for each site, and a list of client blocks. Merge builds the effective
// configuration from them. The platform store holds a configuration as parts, which a manifest lists. The package also
// parses the settings files of daemons.
package config
