// Package id defines the types of the identifiers in the system.
//
// Each kind of identifier has its own string or integer type, so that the compiler rejects a team where a route is expected.
package id
