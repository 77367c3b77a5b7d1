package store

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"strconv"
	"strings"

	"damasklatch/core/id"

	"github.com/pkg/errors"
)

var (
	errInvalidKey = errors.New("the key or version is not valid")
	errNoETag     = errors.New("the response has no ETag")

	etagPattern = regexp.MustCompile(`^"[1-9][0-9]{0,19}"$`)
)

func formatETag(vs Version) string { return `"` + strconv.FormatUint(uint64(vs), 10) + `"` }

// parseETag accepts only the form that formatETag returns.
func parseETag(etag string) (Version, error) {
	if !etagPattern.MatchString(etag) {
		return 0, errors.Errorf("ETag %.40q is not a quoted version", etag)
	}
	vs, err := strconv.ParseUint(etag[1:len(etag)-1], 10, 64)
	return Version(vs), errors.Wrap(err, "ETag")
}

// decodeJSON decodes exactly one JSON value. Unknown fields are ignored, because a newer version of the platform may
// add fields.
func decodeJSON(src []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(src))
	if err := dec.Decode(into); err != nil {
		return errors.Wrap(err, "decode response")
	}
	if _, err := dec.Token(); err != io.EOF {
		return errors.New("data after the JSON value")
	}
	return nil
}

func decodeList(src []byte, prefix string) ([]Info, Version, error) {
	var doc struct {
		Revision *Version `json:"revision"`
		Objects  []Info   `json:"objects"`
	}
	if err := decodeJSON(src, &doc); err != nil {
		return nil, 0, err
	}
	if doc.Revision == nil {
		return nil, 0, errors.New("list has no revision")
	}
	for _, info := range doc.Objects {
		if err := checkEntry(info.Key, prefix, info.Version); err != nil {
			return nil, 0, err
		}
		if info.Size < 0 || info.Size > MaxObjectBytes || info.Version > *doc.Revision {
			return nil, 0, errors.Errorf("size or version of %q is out of range", info.Key)
		}
	}
	return doc.Objects, *doc.Revision, nil
}

func decodeWatch(src []byte, prefix string, after Version) ([]Change, Version, error) {
	var doc struct {
		Revision *Version `json:"revision"`
		Changes  []Change `json:"changes"`
	}
	if err := decodeJSON(src, &doc); err != nil {
		return nil, 0, err
	}
	if doc.Revision == nil {
		return nil, 0, errors.New("watch response has no revision")
	}
	for _, ch := range doc.Changes {
		if err := checkEntry(ch.Key, prefix, ch.Version); err != nil {
			return nil, 0, err
		}
		if ch.Version <= after || ch.Version > *doc.Revision {
			return nil, 0, errors.Errorf("version of %q is out of range", ch.Key)
		}
	}
	return doc.Changes, *doc.Revision, nil
}

// checkEntry checks the key and the version of an entry in a list or watch response.
func checkEntry(key, prefix string, vs Version) error {
	switch {
	case !ValidKey(key):
		return errors.Errorf("key %.40q is not valid", key)
	case !strings.HasPrefix(key, prefix):
		return errors.Errorf("key %q does not begin with %q", key, prefix)
	case vs == 0:
		return errors.Errorf("object %q has no version", key)
	}
	return nil
}

// decodeVMs returns an error if any entry is invalid: without that entry, a live VM would appear to be gone.
func decodeVMs(src []byte) ([]VMRecord, error) {
	var doc struct {
		VMs *[]VMRecord `json:"vms"`
	}
	if err := decodeJSON(src, &doc); err != nil {
		return nil, err
	}
	if doc.VMs == nil {
		return nil, errors.New("response has no list of VMs")
	}
	seen := make(map[id.VM]bool, len(*doc.VMs))
	for nr := range *doc.VMs {
		rec := &(*doc.VMs)[nr]
		if err := rec.Validate(); err != nil {
			return nil, err
		}
		if seen[rec.VM] {
			return nil, errors.Errorf("vm %q is listed twice", rec.VM)
		}
		seen[rec.VM] = true
	}
	return *doc.VMs, nil
}
