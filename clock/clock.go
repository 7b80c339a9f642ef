// Package clock waits.
package clock

import (
	"context"
	"time"
)

// Sleep lets time pass while the context lasts.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
