package fleetbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime/pprof"
)

// profile starts the CPU profile of the idle phase if Options.CPUProfile is set. The
// returned function completes the profile and closes its file.
func (b *bench) profile(ctx context.Context) (finish func() error, err error) {
	if b.options.CPUProfile == "" {
		return func() error { return nil }, nil
	}
	f, err := os.Create(b.options.CPUProfile)
	if err != nil {
		return nil, fmt.Errorf("processor profile: %w", err)
	}
	if b.options.Binary != "" {
		return b.profileProcess(ctx, f), nil
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Join(fmt.Errorf("processor profile: %w", err), f.Close())
	}
	return func() error {
		pprof.StopCPUProfile()
		return f.Close()
	}, nil
}

// profileProcess requests a profile from the first daemon's admin listener. The returned
// function waits for its end.
func (b *bench) profileProcess(ctx context.Context, f *os.File) (finish func() error) {
	result := make(chan error, 1)
	go func() { result <- errors.Join(b.fetchProfile(ctx, f), f.Close()) }()
	return func() error { return <-result }
}

func (b *bench) fetchProfile(ctx context.Context, w io.Writer) error {
	url := fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", b.fleet.adminAddresses()[0], max(1, int(b.options.Idle.Seconds())))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("processor profile: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("processor profile: %w", err)
	}
	defer resp.Body.Close()
	_, err = io.Copy(w, resp.Body)
	return err
}
