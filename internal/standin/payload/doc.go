// Package payload generates the request and response bodies that stand-in callers and targets exchange. The bytes of
// a body are derived from its operation and its size. The receiver therefore computes the expected checksum by
// itself, and a body that belongs to another operation fails the check.
package payload
