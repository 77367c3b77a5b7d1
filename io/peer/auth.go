package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"

	"github.com/twitchtv/twirp"
)

// Secret is a credential from the settings. Daemons share one for calls between them; operators have another.
type Secret string

const bearer = "Bearer "

// requireSecret passes a request to next only if it presents the secret. An empty secret admits no request. Digests are
// compared in constant time, so that the time taken reveals nothing about the secret's length or content.
func requireSecret(sc Secret, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(bearer + string(sc)))
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		got := sha256.Sum256([]byte(rq.Header.Get("Authorization")))
		if sc == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			er := twirp.NewError(twirp.Unauthenticated, "the credential in header Authorization is missing or wrong")
			_ = twirp.WriteError(rw, er) // fails only if the caller has disconnected
			return
		}
		next.ServeHTTP(rw, rq)
	})
}

// withSecret returns a context whose twirp calls present the secret.
func withSecret(ctx context.Context, sc Secret) (context.Context, error) {
	return twirp.WithHTTPRequestHeaders(ctx, http.Header{"Authorization": {bearer + string(sc)}})
}
