package awake_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"radishwell/io/awake"
)

func TestLimitPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, stop := awake.WithTimeout(t.Context(), time.Second)
		defer stop()
		<-ctx.Done()
		var timeout *awake.TimeoutError
		assert.Assert(t, errors.As(context.Cause(ctx), &timeout))
		assert.Equal(t, time.Since(began), time.Second)
	})
}

func TestStoppedLimitDoesNotPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := awake.WithTimeout(t.Context(), time.Second)
		stop()
		time.Sleep(2 * time.Second)
		assert.Equal(t, context.Cause(ctx), context.Canceled)
	})
}
