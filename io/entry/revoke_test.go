package entry_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"damasklatch/core/keyring"
	"damasklatch/io/entry"
)

// Guards against running a request whose key was revoked while its body arrived slowly.
func TestKeyRevokedWhileBodyArrives(t *testing.T) {
	rg := newRig(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	body, send := io.Pipe()
	rq, err := http.NewRequest(http.MethodPost, rg.url+"/read/1", body)
	if err != nil {
		t.Fatal(err)
	}
	rq.ContentLength = 10
	rq.Header.Set("Authorization", "Bearer "+key)
	revoked := make(chan struct{})
	go func() {
		defer close(revoked)
		_, _ = send.Write([]byte("first"))
		// Leaves time for the first check of the key. If the check is later, it refuses the request itself.
		time.Sleep(100 * time.Millisecond)
		rg.set(func(st *entry.State) { st.Ring = keyring.New(nil) })
		_, _ = send.Write([]byte("other"))
		_ = send.Close()
	}()
	rs, err := rg.client.Do(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Body.Close()
	<-revoked
	if got := rs.Header.Get("Damasklatch-Outcome"); rs.StatusCode != http.StatusUnauthorized || got != "not_run" {
		t.Errorf("got %d %q, want 401 not_run", rs.StatusCode, got)
	}
	if ran := rg.runs.String(); ran != "" {
		t.Errorf("the request ran after its key was revoked: %s", ran)
	}
}
