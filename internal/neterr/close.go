package neterr

import "io"

// Close closes a connection, listener or file that is no longer used. It ignores the error, because close(2) frees the
// descriptor whatever it returns, and no caller relies on the delivery of the last bytes written.
func Close(closer io.Closer) { _ = closer.Close() }
