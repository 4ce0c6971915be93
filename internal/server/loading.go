package server

import (
	"context"
	"time"

	"tealpath/internal/config"
	"tealpath/internal/neterr"
	"tealpath/internal/operatorconfig"
)

// loadFunc reads the configuration and the operator's file as they are now.
type loadFunc func() (*config.Config, *operatorconfig.File, error)

// loadPause is the time between two tries to read a configuration.
const loadPause = 50 * time.Millisecond

// loadWhenPossible reads the configuration, and reads again while this machine lacks the descriptors or the memory: passed over, a new
// address of the journal service was never heard of.
func loadWhenPossible(ctx context.Context, load loadFunc, log func(string)) (*config.Config, *operatorconfig.File, error) {
	for tries := 0; ; tries++ {
		next, file, err := load()
		if !neterr.IsExhausted(err) {
			return next, file, err
		}
		if tries == 0 {
			log("configuration is read again as soon as it can be: " + err.Error())
		}
		select {
		case <-time.After(loadPause):
		case <-ctx.Done():
			return nil, nil, err
		}
	}
}
