package main

import (
	"fmt"
	"io"
)

// printf writes to a command's output. A write that fails, as to a pipe whose reader has gone, does not
// make the command fail: what it was asked for is done by then.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
