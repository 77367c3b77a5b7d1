package cli

import (
	"crypto/rand"
	"net/netip"
	"os"
	"time"

	"damasklatch/io/peer"
	"damasklatch/io/store"
)

// SystemEnv returns the environment of the running process.
func SystemEnv() *Env {
	return &Env{
		Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Color: isTerminal(os.Stdout) && os.Getenv("NO_COLOR") == "",
		Now: time.Now, Random: rand.Reader, OpenStore: openStore, OpenOperator: openOperator,
	}
}

func openOperator(secret string) OperatorClient { return peer.NewOperatorClient(peer.Secret(secret)) }

func isTerminal(fl *os.File) bool {
	fi, err := fl.Stat()
	return err == nil && fi.Mode()&os.ModeCharDevice != 0
}

func openStore(address string, timeout time.Duration) (store.Store, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	return store.NewClient(store.Options{Address: ap, Timeout: timeout}), nil
}
