package measure

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// Publish runs all cases and writes MEASUREMENTS.md, measurements.csv and the plots to
// a directory. It also writes the bounds to a file, unless its name is empty.
func Publish(dir, bounds string) error {
	suite, err := RunAll(AllCases())
	if err != nil {
		return err
	}
	plots := filepath.Join(dir, "plots")
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return fmt.Errorf("plots: %w", err)
	}
	if err := writeFile(filepath.Join(dir, "MEASUREMENTS.md"), suite.WriteTable); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, "measurements.csv"), suite.WriteCSV); err != nil {
		return err
	}
	if err := suite.WritePlots(plots); err != nil {
		return err
	}
	if bounds == "" {
		return nil
	}
	return writeFile(bounds, WriteBounds)
}

func writeFile(name string, write func(io.Writer) error) error {
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := f.Close(); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}
