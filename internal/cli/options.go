package cli

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"damasklatch/core/config"
	"damasklatch/internal/configdir"
	"damasklatch/io/configchange"
	"damasklatch/io/store"
)

// StoreOptions are arguments of every command that uses the platform store.
type StoreOptions struct {
	OutputOptions
	Store   string        `arg:"--store,required,env:DAMASKLATCH_STORE" placeholder:"ADDRESS" help:"IP address and port of the platform store"`
	Timeout time.Duration `arg:"--timeout,env:DAMASKLATCH_TIMEOUT" default:"15s" placeholder:"TIME" help:"longest time that the command tries"`
	Secret  string        `arg:"--operator-secret-file,env:DAMASKLATCH_OPERATOR_SECRET_FILE" placeholder:"FILE" help:"file with the operator's secret, needed to reach the entry VMs"`
}

// ChangeOptions are arguments of every command that changes something.
type ChangeOptions struct {
	Author  string `arg:"--author,required,env:DAMASKLATCH_AUTHOR" help:"who makes the change"`
	Comment string `arg:"--comment" help:"why"`
}

// callTimeout bounds one call of the store, so that a lost answer leaves time for further attempts.
const callTimeout = 2 * time.Second

// session is what a command with StoreOptions works with.
type session struct {
	st  store.Store
	acc *configchange.Client
	fl  *fleet
}

// open connects to the store. The returned context ends with the timeout; the caller calls cancel.
func (so *StoreOptions) open(ctx context.Context, ev *Env) (context.Context, context.CancelFunc, *session, error) {
	if so.Timeout <= 0 {
		return nil, nil, nil, inputErrorf("--timeout: %v is not above zero", so.Timeout)
	}
	st, err := ev.OpenStore(so.Store, min(callTimeout, so.Timeout))
	if err != nil {
		return nil, nil, nil, inputErrorf("--store: %v", err)
	}
	ss := &session{st: st}
	if ss.fl, err = openFleet(ev, st, so.Secret); err != nil {
		return nil, nil, nil, err
	}
	ss.acc = configchange.New(configchange.Options{Store: st, Announce: ss.fl.announce})
	ctx, cancel := context.WithTimeout(ctx, so.Timeout)
	ss.fl.prefetch(ctx)
	return ctx, cancel, ss, nil
}

// change describes a new change.
func (co *ChangeOptions) change(ev *Env) (config.Change, error) {
	op, err := configchange.NewOperationID(ev.Random)
	if err != nil {
		return config.Change{}, err
	}
	if strings.TrimSpace(co.Author) == "" {
		return config.Change{}, inputErrorf("--author must not be empty")
	}
	return config.Change{OperationID: op, Author: co.Author, Time: ev.Now(), Comment: co.Comment}, nil
}

// DirectoryOptions name the files of a configuration.
type DirectoryOptions struct {
	Directory string `arg:"positional" default:"." placeholder:"DIRECTORY" help:"directory with base.yaml, overlays/ and blocks.txt"`
	Base      string `arg:"--base" placeholder:"FILE" help:"base file in place of DIRECTORY/base.yaml, - for standard input"`
}

// sources reads the files.
func (do *DirectoryOptions) sources(ev *Env) (*config.Sources, error) {
	src, err := configdir.Read(do.Directory, do.Base == "")
	if err != nil || do.Base == "" {
		return src, err
	}
	if src.Base.Name = do.Base; do.Base == "-" {
		src.Base.Name = "standard input"
	}
	src.Base.Content, err = readFile(ev, do.Base)
	return src, err
}

// maxInput bounds a file that an operator gives.
const maxInput = 64 << 20

// readFile reads a file, or standard input for "-".
func readFile(ev *Env, name string) ([]byte, error) {
	if name == "-" {
		src, err := io.ReadAll(io.LimitReader(ev.Stdin, maxInput))
		if err != nil {
			return nil, inputErrorf("standard input: %v", err)
		}
		return src, nil
	}
	src, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, inputErrorf("%s: the file is missing", name)
	}
	if err != nil {
		return nil, inputErrorf("%v", err)
	}
	return src, nil
}

// word returns the argument, or the first word of standard input for "-". So a key need not appear in the list of
// processes.
func word(ev *Env, argument string) (string, error) {
	if argument != "-" {
		return argument, nil
	}
	src, err := readFile(ev, "-")
	if err != nil {
		return "", err
	}
	words := strings.Fields(string(src))
	if len(words) != 1 {
		return "", inputErrorf("standard input: expected one word, found %d", len(words))
	}
	return words[0], nil
}
