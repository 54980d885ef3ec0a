package main

import (
	"fmt"
	"io"
)

// printf writes to a command's output. A failed write, for example to a closed pipe, does not make the command fail,
// because its work is done by then.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
