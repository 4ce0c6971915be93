package neterr

import "io"

// Close closes a connection, listener or file that is not used any more, and ignores the error: close(2) frees
// the descriptor whatever it returns, and no caller depends on the delivery of what was written last.
func Close(closer io.Closer) { _ = closer.Close() }
