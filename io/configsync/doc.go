// Package configsync follows the configuration manifest: from the platform store, if this VM is one of those that watch
// it, and from peers. It fetches missing parts from peers first and then from the store, checks their digests, builds
// the effective configuration, and applies it only if its generation is higher than the one in force.
//
// The follower has three goroutines. The fetcher collects manifests, fetches parts and applies; it is the only one
// that does. The watcher reads and watches the manifest in the store. The prober calls the store when the freshness
// rule for keys needs evidence that the store was reached and the watch gave none.
package configsync
