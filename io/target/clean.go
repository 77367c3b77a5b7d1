package target

import (
	"net/http"
	"net/url"
	"strings"

	"damasklatch/core/keyring"
)

// hopByHop holds the header fields that apply to a single connection (RFC 9110, section 7.6.1), and Authorization, which
// carries the caller's key.
var hopByHop = map[string]bool{
	"Connection": true, "Proxy-Connection": true, "Keep-Alive": true, "Te": true, "Transfer-Encoding": true,
	"Trailer": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Authentication-Info": true, "Authorization": true,
}

// reservedFields holds the header fields that this system sets itself. Values from a caller are dropped.
var reservedFields = map[string]bool{
	"Request-Id": true, "Team": true, "Request-Deadline-Ms": true, "Expect": true, "Content-Length": true, "Host": true,
}

const reservedPrefix = "Damasklatch-"

// connectionOptions returns the names of the fields that are listed in the Connection header. They are hop-by-hop too.
func connectionOptions(hd http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range hd["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				if named == nil {
					named = map[string]bool{}
				}
				named[http.CanonicalHeaderKey(name)] = true
			}
		}
	}
	return named
}

// cleaner removes from a request what must not be forwarded: hop-by-hop fields, reserved fields and the caller's key.
type cleaner struct{ key string }

// containsKey reports whether the text, as it is or URL-decoded, contains the caller's key or anything that looks like
// a key of this system.
func (cl cleaner) containsKey(text string) bool {
	if cl.containsLiteralKey(text) {
		return true
	}
	if !strings.ContainsAny(text, "%+") {
		return false
	}
	plain, err := url.QueryUnescape(text)
	if err == nil {
		return cl.containsLiteralKey(plain)
	}
	return cl.containsLiteralKey(unescapeValid(text))
}

// containsLiteralKey is like containsKey, but does not decode the text.
func (cl cleaner) containsLiteralKey(text string) bool {
	if len(text) < len(keyring.Prefix) {
		return false
	}
	if cl.key != "" && strings.Contains(text, cl.key) {
		return true
	}
	for at := 0; at+len(keyring.Prefix) <= len(text); at++ {
		if strings.EqualFold(text[at:at+len(keyring.Prefix)], keyring.Prefix) {
			return true
		}
	}
	return false
}

// unescapeValid decodes the valid percent escapes of the text and leaves invalid ones unchanged, because a target may
// decode the text in the same way.
func unescapeValid(text string) string {
	var sb strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if plain, err := url.PathUnescape(text[i : i+3]); err == nil {
				sb.WriteString(plain)
				i += 2
				continue
			}
		}
		sb.WriteByte(text[i])
	}
	return sb.String()
}

// requestHeader returns the header fields of a caller's request that are forwarded to a target.
func (cl cleaner) requestHeader(hd http.Header) http.Header {
	named := connectionOptions(hd)
	out := make(http.Header, len(hd)+4)
	for name, vals := range hd {
		if hopByHop[name] || named[name] || reservedFields[name] || strings.HasPrefix(name, reservedPrefix) || cl.containsKey(name) {
			continue
		}
		if vals = cl.withoutKeys(vals); len(vals) > 0 {
			out[name] = vals
		}
	}
	if len(out["User-Agent"]) == 0 {
		out["User-Agent"] = []string{""} // prevents the default value of net/http
	}
	return out
}

// withoutKeys returns the values that contain no key. It copies the slice only if it removes a value.
func (cl cleaner) withoutKeys(vals []string) []string {
	for nr, val := range vals {
		if !cl.containsKey(val) {
			continue
		}
		kept := append([]string(nil), vals[:nr]...)
		for _, val := range vals[nr+1:] {
			if !cl.containsKey(val) {
				kept = append(kept, val)
			}
		}
		return kept
	}
	return vals
}

// trailer copies into dst the trailer fields of the caller that dst announces.
func (cl cleaner) trailer(dst, src http.Header) {
	for name, vals := range src {
		if _, ok := dst[name]; ok {
			dst[name] = cl.withoutKeys(vals)
		}
	}
}

// trailerNames returns a trailer with the field names to announce to the target, or nil if there are none.
func (cl cleaner) trailerNames(src http.Header) http.Header {
	var out http.Header
	for name := range src {
		if hopByHop[name] || reservedFields[name] || strings.HasPrefix(name, reservedPrefix) || cl.containsKey(name) {
			continue
		}
		if out == nil {
			out = http.Header{}
		}
		out[name] = nil
	}
	return out
}

// query returns the raw query without the parameters that contain a key. Other parameters stay unchanged.
func (cl cleaner) query(raw string) string {
	if raw == "" || !cl.containsKey(raw) {
		return raw
	}
	var kept []string
	for param := range strings.SplitSeq(raw, "&") {
		if !cl.containsKey(param) {
			kept = append(kept, param)
		}
	}
	raw = strings.Join(kept, "&")
	if cl.containsKey(raw) {
		return "" // the key itself contains "&" and spans several parameters
	}
	return raw
}

// ContainsKey reports whether the text, as it is or URL-decoded, contains the given key or anything that looks like a key
// of this system. A request whose path contains a key must not be forwarded.
func ContainsKey(text, key string) bool { return cleaner{key: key}.containsKey(text) }

// internalFields holds the response fields that are meant for this system and are not passed to the caller.
var internalFields = map[string]bool{"Work-Load": true, "Work-Status": true}

// responseHeader returns the header fields of a target's response that are passed to the caller.
func responseHeader(hd http.Header) http.Header {
	named := connectionOptions(hd)
	out := make(http.Header, len(hd)+2)
	for name, vals := range hd {
		if hopByHop[name] || named[name] || internalFields[name] || strings.HasPrefix(name, reservedPrefix) {
			continue
		}
		out[name] = vals
	}
	return out
}
