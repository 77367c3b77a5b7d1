// Package keyring authenticates callers by their API keys and generates new keys. It also decides whether a VM's knowledge of
// revoked keys is recent enough to accept keys at all.
package keyring
