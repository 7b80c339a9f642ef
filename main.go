// Command briarrouter runs and operates a fleet of proxy daemons that send
// requests to targets with gray failures: targets that are up but slow or
// respond with errors.
package main

import (
	"os"

	"github.com/briarrouter/briarrouter/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
