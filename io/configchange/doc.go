// Package configchange changes the accepted configuration in the platform store: it uploads parts, stores proposals, and
// accepts them with one conditional update of the manifest, so that a change takes effect exactly once although
// answers of the store get lost and other operators change the configuration at the same time. Section 5 of
// docs/design.md describes the procedure.
package configchange
