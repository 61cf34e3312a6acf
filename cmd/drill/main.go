// Command drill runs the placement policy under the test bench, over the line protocol on standard input and
// output.
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
