// Package configchange changes the accepted configuration in the platform store. It uploads parts, stores proposals,
// and accepts them with one conditional update of the manifest. A change takes effect exactly once, even if responses
// of the store are lost and other operators change the configuration at the same time. Section 5 of docs/design.md
// describes the procedure.
package configchange
