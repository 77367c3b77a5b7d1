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

// StoreOptions holds the arguments of the commands that use the platform store.
type StoreOptions struct {
	OutputOptions
	Store   string        `arg:"--store,required,env:DAMASKLATCH_STORE" placeholder:"ADDRESS" help:"IP address and port of the platform store"`
	Timeout time.Duration `arg:"--timeout,env:DAMASKLATCH_TIMEOUT" default:"15s" placeholder:"TIME" help:"longest time that the command tries"`
	Secret  string        `arg:"--operator-secret-file,env:DAMASKLATCH_OPERATOR_SECRET_FILE" placeholder:"FILE" help:"file with the operator's secret, needed to reach the entry VMs"`
}

// ChangeOptions holds the arguments of the commands that change the accepted configuration or propose a change.
type ChangeOptions struct {
	Author  string `arg:"--author,required,env:DAMASKLATCH_AUTHOR" help:"who makes the change"`
	Comment string `arg:"--comment" help:"why"`
}

// callTimeout is the maximum duration of one call of the store, so that time remains for further attempts after a lost
// response.
const callTimeout = 2 * time.Second

// session holds the clients of a command with StoreOptions.
type session struct {
	st  store.Store
	acc *configchange.Client
	fl  *fleet
}

// open returns a session and a context that ends when the timeout of the command has passed. The caller must call the
// returned cancel function.
func (so *StoreOptions) open(ctx context.Context, ev *Env) (context.Context, context.CancelFunc, *session, error) {
	if so.Timeout <= 0 {
		return nil, nil, nil, inputErrorf("--timeout: %v is not greater than zero", so.Timeout)
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

// change returns the description of a new change, with a new operation ID.
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

// DirectoryOptions holds the arguments that name the files of a configuration.
type DirectoryOptions struct {
	Directory string `arg:"positional" default:"." placeholder:"DIRECTORY" help:"directory with base.yaml, overlays/ and blocks.txt"`
	Base      string `arg:"--base" placeholder:"FILE" help:"base file in place of DIRECTORY/base.yaml, - for standard input"`
}

// sources reads the configuration files.
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

// maxInputBytes is the maximum number of bytes read from standard input.
const maxInputBytes = 64 << 20

// readFile reads a file, or standard input if the name is "-".
func readFile(ev *Env, name string) ([]byte, error) {
	if name == "-" {
		src, err := io.ReadAll(io.LimitReader(ev.Stdin, maxInputBytes))
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

// readWord returns the argument, or the only word of standard input if the argument is "-". Reading a key from standard
// input keeps it out of the process list.
func readWord(ev *Env, argument string) (string, error) {
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
