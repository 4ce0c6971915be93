package adminsocket

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
)

// Query sends a command to the socket of a running instance and decodes its answer into a value. words are the
// command's name and its arguments. If the instance replies with an error, such as an unknown command, Query returns
// it.
func Query(ctx context.Context, path string, into any, words ...string) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "unix", path)
	if err != nil {
		return fmt.Errorf("no instance answers at %s: %w", path, err)
	}
	defer func() { ignore(conn.Close()) }()
	if deadline, ok := ctx.Deadline(); ok {
		if err := conn.SetDeadline(deadline); err != nil {
			return err
		}
	}
	if _, err := fmt.Fprintln(conn, strings.Join(words, " ")); err != nil {
		return fmt.Errorf("command %q to %s: %w", words, path, err)
	}
	var received reply
	if err := json.NewDecoder(io.LimitReader(conn, maxReplySize)).Decode(&received); err != nil {
		return fmt.Errorf("decode the reply to %q from %s: %w", words, path, err)
	}
	if received.Error != "" {
		return errors.New(received.Error)
	}
	if err := json.Unmarshal(received.Answer, into); err != nil {
		return fmt.Errorf("decode the answer to %q from %s: %w", words, path, err)
	}
	return nil
}
