package main

import (
	"os"

	"mangolug.org/mangoctl/root"
	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

func main() {
	os.Exit(int(root.Run(shell.New(stream.System()), os.Args[1:])))
}
