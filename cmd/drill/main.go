// Command drill serves the decision module to the external simulator: it reads the simulator's protocol from standard input and
// answers on standard output.
package main

import (
	"fmt"
	"os"

	"gullrail/internal/benchproto"
)

func main() {
	if err := benchproto.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
