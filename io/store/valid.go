package store

import (
	"net/netip"
	"regexp"

	"damasklatch/core/id"

	"github.com/pkg/errors"
)

// maxKeyBytes is the maximum length of a key.
const maxKeyBytes = 512

// keyPattern excludes all characters that would need to be escaped or normalized in a URL path. Each path element
// begins with a letter or digit, which excludes "." and "..".
var keyPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*(/[A-Za-z0-9][A-Za-z0-9._-]*)*$`)

// ValidKey reports whether a key has at most 512 bytes and consists of elements separated by "/". Elements consist of
// letters, digits, ".", "_" and "-" and begin with a letter or digit.
func ValidKey(key string) bool { return len(key) <= maxKeyBytes && keyPattern.MatchString(key) }

// Validate returns an error for the first invalid field, or nil.
func (vr *VMRecord) Validate() error {
	if !id.ValidName(vr.VM) {
		return errors.Errorf("vm %q is not a valid name", vr.VM)
	}
	if !id.ValidName(vr.FailureDomain) {
		return errors.Errorf("failure_domain %q of vm %q is not a valid name", vr.FailureDomain, vr.VM)
	}
	for _, address := range []string{vr.PeerAddress, vr.CallerAddress} {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return errors.Wrapf(err, "address of vm %q", vr.VM)
		}
	}
	if vr.State != VMLive && vr.State != VMLeaving {
		return errors.Errorf("state %q of vm %q is neither %q nor %q", vr.State, vr.VM, VMLive, VMLeaving)
	}
	return nil
}
