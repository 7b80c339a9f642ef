package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// scenarios has the scenario of each script.
var scenarios = map[string]func(rec *record, st *store, dir string, trouble bool){
	"late-shed":    lateShedAnswer,
	"late-failure": lateFailureAnswer,
	"lookup":       lookup,
	"added-route":  addedRoute,
	"slow-body":    slowBody,
}

// maxRun is less than the 120 s that a script may take.
const maxRun = 110 * time.Second

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 SCENARIO RECORD, in the repository")
		os.Exit(2)
	}
	raiseDescriptorLimit()
	var err error
	if directory, err = os.MkdirTemp("", "review-2-"); err != nil {
		unable("%v", err)
	}
	time.AfterFunc(maxRun, func() { unable("not finished after %s", maxRun) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { unable("%v", <-signals) }()
	scenarios[os.Args[1]](newRecord(os.Args[2]), newStore(), directory, os.Getenv("TROUBLE") != "0")
}

// raiseDescriptorLimit raises the soft limit, since a script holds both ends of many
// connections.
func raiseDescriptorLimit() {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) == nil {
		limit.Cur = limit.Max
		syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	}
}
