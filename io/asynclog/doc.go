// Package asynclog writes log lines without blocking the goroutine that logs. It drops and counts the lines that exceed the
// speed of the output or a fixed rate.
package asynclog
