// Package configsync keeps a VM's configuration up to date. It learns of new configuration manifests from the platform
// store, if this VM is one of the store's watchers, and from peers. It fetches missing parts from peers first and then
// from the store, checks their digests, builds the effective configuration, and applies it only if its generation is
// higher than the generation in force.
//
// The follower has three goroutines. The fetcher collects manifests, fetches parts and is the only one that applies a
// configuration. The watcher reads and watches the manifest in the store. The prober calls the store when the freshness
// rule for keys needs proof that the store was reached and the watch has not given any.
package configsync
