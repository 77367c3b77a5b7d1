package cli

import (
	"context"
	"errors"
	"fmt"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/keyring"
	"damasklatch/io/configchange"
)

// KeyCommands holds the subcommands of key.
type KeyCommands struct {
	Issue    *KeyIssue    `arg:"subcommand:issue" help:"issue a key to a team and print it once"`
	Withdraw *KeyWithdraw `arg:"subcommand:withdraw" help:"withdraw a key"`
	List     *KeyList     `arg:"subcommand:list" help:"list the digests of keys"`
}

// KeyIssue issues a key to a team.
type KeyIssue struct {
	StoreOptions
	ChangeOptions
	Team string `arg:"positional,required" placeholder:"TEAM"`
}

// Examples implements Command.
func (*KeyIssue) Examples() []string {
	return []string{"damasklatch key issue --store 127.0.0.1:16000 --author an salon_app"}
}

// Run implements Command. It prints the key only after the change was accepted. The key is not stored or logged.
func (ki *KeyIssue) Run(ctx context.Context, ev *Env) error {
	ch, err := ki.change(ev)
	if err != nil {
		return err
	}
	key, err := keyring.Generate(ev.Random)
	if err != nil {
		return err
	}
	ctx, cancel, ss, err := ki.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	digest := keyring.Digest(key)
	rs, err := ss.acc.IssueKey(ctx, ch, config.Key{Digest: digest, Team: id.Team(ki.Team)})
	var unknown *configchange.UnknownError
	if errors.As(err, &unknown) {
		return fmt.Errorf("%w; the key is not shown: if \"key list\" shows its digest %s, withdraw it", err, digest)
	}
	if err != nil {
		return err
	}
	ki.print(ev, struct {
		result
		Key    string `json:"key"`
		Digest string `json:"digest"`
		Team   string `json:"team"`
	}{newResult(rs), key, digest.String(), ki.Team}, func() {
		fmt.Fprintf(ev.Stdout, "%s\n", key)
		fmt.Fprintf(ev.Stderr, "key of team %s with digest %s, issued in generation %d; it is not shown again\n", ki.Team, digest, rs.Generation)
	})
	return nil
}

// KeyWithdraw withdraws a key.
type KeyWithdraw struct {
	StoreOptions
	ChangeOptions
	Key string `arg:"positional,required" placeholder:"KEY" help:"the key, its digest or the first digits of the digest, - for standard input"`
}

// Examples implements Command.
func (*KeyWithdraw) Examples() []string {
	return []string{
		"damasklatch key withdraw --store 127.0.0.1:16000 --author an 4f1c9a0be2d7",
		"damasklatch key withdraw --store 127.0.0.1:16000 --author an - < leaked-key.txt",
	}
}

// minDigestDigits is the minimum number of digits of a digest that identify a key. Fewer digits could match another key
// after a typing error.
const minDigestDigits = 8

// Run implements Command.
func (kw *KeyWithdraw) Run(ctx context.Context, ev *Env) error {
	digits, err := readWord(ev, kw.Key)
	if err != nil {
		return err
	}
	switch {
	case keyring.WellFormed(digits):
		digits = keyring.Digest(digits).String()
	case !isDigits(digits) || len(digits) < minDigestDigits:
		return inputErrorf("give a key, or at least %d hexadecimal digits of its digest", minDigestDigits)
	}
	ch, err := kw.change(ev)
	if err != nil {
		return err
	}
	ctx, cancel, ss, err := kw.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	rs, err := ss.acc.WithdrawKey(ctx, ch, digits)
	if err != nil {
		return err
	}
	kw.print(ev, newResult(rs), func() {
		if rs.AlreadyInEffect {
			fmt.Fprintf(ev.Stdout, "the key was withdrawn earlier, it is revoked in generation %d\n", rs.Generation)
			return
		}
		fmt.Fprintf(ev.Stdout, "withdrawn in generation %d\n", rs.Generation)
	})
	return nil
}

func isDigits(text string) bool {
	for _, ch := range text {
		if (ch < '0' || ch > '9') && (ch < 'a' || ch > 'f') {
			return false
		}
	}
	return true
}

// KeyList lists keys.
type KeyList struct {
	StoreOptions
	Team string `arg:"--team" help:"only the keys of this team"`
}

// Examples implements Command.
func (*KeyList) Examples() []string {
	return []string{"damasklatch key list --store 127.0.0.1:16000 --team salon_app"}
}

// Run implements Command.
func (kl *KeyList) Run(ctx context.Context, ev *Env) error {
	ctx, cancel, ss, err := kl.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	sn, err := ss.acc.Current(ctx)
	if err != nil {
		return err
	}
	var keys []config.Key
	if sn.Manifest != nil {
		if keys, err = ss.acc.Keys(ctx, sn.Manifest); err != nil {
			return err
		}
	}
	type row struct {
		Digest string  `json:"digest"`
		Team   id.Team `json:"team"`
		State  string  `json:"state"`
	}
	list := []row{}
	for _, ky := range configchange.TeamKeys(keys, id.Team(kl.Team)) {
		list = append(list, row{ky.Digest.String(), ky.Team, ky.State()})
	}
	kl.print(ev, map[string]any{"keys": list}, func() {
		var rs [][]string
		for _, rw := range list {
			rs = append(rs, []string{rw.Digest, string(rw.Team), rw.State})
		}
		writeTable(ev.Stdout, []string{"DIGEST", "TEAM", "STATE"}, rs)
	})
	return nil
}
