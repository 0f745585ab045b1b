package objapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/core"
)

// FuzzWatch sends arbitrary data to a watch, as a broken platform or proxy may. The watch
// must end with a PlatformError and return only objects of its kind.
func FuzzWatch(f *testing.F) {
	f.Add([]byte(`{"type":"ADDED","object":{"metadata":{"name":"a","resourceVersion":"1"},"spec":{}}}`))
	f.Add([]byte(`{"type":"BOOKMARK","object":{"metadata":{"resourceVersion":"7"}}}`))
	f.Add([]byte(`{"type":"ERROR","object":{"kind":"Status","code":410,"reason":"Expired"}}`))
	f.Add([]byte(`{"type":"DELETED","object":{"metadata":{"name":"a"}}}`))
	f.Add([]byte(`{"type":"ADDED","object":[]}{"type":`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ctx, cancel := context.WithCancel(context.Background())
		w := &watch{
			op:      &operation{kind: core.KindModel},
			cancel:  cancel,
			changes: make(chan core.Change, maxBufferedEvents),
			ended:   make(chan error, 1),
		}
		go w.run(ctx, &http.Response{Body: io.NopCloser(bytes.NewReader(data))}, time.Minute)
		for {
			change, err := w.Next(context.Background())
			if err != nil {
				var failed *core.PlatformError
				assert.Assert(t, errors.As(err, &failed))
				return
			}
			assert.Equal(t, change.Object.Kind, core.KindModel)
		}
	})
}
