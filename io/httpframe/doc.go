// Package httpframe reads HTTP/1.1 messages by the grammar of RFC 9112, without the leniency of net/http.
//
// net/http accepts responses that the grammar excludes. It leaves out a field whose name has a blank, joins folded lines, and passes
// on a status such as 999. A faulty server's bytes would then reach a caller as a response that the server has never sent.
// ResponseChecker finds the first byte that can't be part of a valid response, and Conn lets a client of net/http read no further.
//
// A response without a length ends with its connection. If the connection is reset while the request is still being sent, the
// kernel may report the reset to the writer alone, and the reader sees the same end as after an orderly close. Conn tells the two
// apart.
package httpframe
