// Command briarrouter is a proxy fleet for targets with gray failures.
package main

import (
	"os"

	"github.com/briarrouter/briarrouter/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
