package target

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// keyPrefix is the prefix of every API key. Targets must never receive one.
const keyPrefix = "dlk_"

// headerContainsKey reports whether the name or a value of a header contains an API key.
func headerContainsKey(hd http.Header) bool {
	for name, vals := range hd {
		if containsKey(name) {
			return true
		}
		for _, val := range vals {
			if containsKey(val) {
				return true
			}
		}
	}
	return false
}

// urlContainsKey reports whether the path or the query contains an API key.
func urlContainsKey(ur *url.URL) bool {
	return containsKey(ur.EscapedPath()) || containsKey(ur.RawQuery)
}

// containsKey reports whether s contains keyPrefix, either as sent or after percent-decoding. It ignores case because
// header names are sent in canonical form.
func containsKey(s string) bool {
	return strings.Contains(strings.ToLower(s), keyPrefix) || strings.Contains(strings.ToLower(unescape(s)), keyPrefix)
}

// unescape decodes valid percent escapes and keeps invalid ones. url.QueryUnescape would reject the whole text, while
// lenient targets decode the valid part.
func unescape(s string) string {
	var sb strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if n, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
				sb.WriteByte(byte(n))
				i += 2
				continue
			}
		}
		sb.WriteByte(s[i])
	}
	return sb.String()
}
