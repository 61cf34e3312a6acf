// Command drill runs the decision module on the bench's wire.
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
