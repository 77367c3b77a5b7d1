// Package peerpb holds the messages and twirp services between the daemons. All but this file is generated from
// peer.proto.
package peerpb

//go:generate buf generate
