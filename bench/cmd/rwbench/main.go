// Command rwbench measures redwingledge: it compares its policies with baselines,
// and measures how the load of each role grows with the size of the system.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"

	"github.com/redwingledge/redwingledge/bench/models/specifier"
	"github.com/redwingledge/redwingledge/bench/services/comparer"
	"github.com/redwingledge/redwingledge/bench/services/loadtester"
	"github.com/redwingledge/redwingledge/bench/services/profiler"
	"github.com/redwingledge/redwingledge/bench/services/simulator"
)

type commands struct {
	Policies policies `cmd:"" help:"Compare broken flows, imbalance and service delivered with baselines, in virtual time."`
	Capacity capacity `cmd:"" help:"Measure how the load of each role grows, on its state machines alone."`
}

type capacity struct {
	Seed uint64 `name:"seed" default:"1" help:"Seed of the simulated networks."`
}

// Run measures the slopes and prints Markdown.
func (c *capacity) Run() (err error) {
	folder, err := os.MkdirTemp("", "rwbench")
	if err != nil {
		return fmt.Errorf("create a folder: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	return profiler.Profile(os.Stdout, profiler.DefaultSizes(), c.Seed, folder)
}

type policies struct {
	Folder string `name:"folder" required:"" type:"path" help:"Folder for policies.md and the SVG images."`
	Seed   uint64 `name:"seed" default:"1" help:"First seed."`
	Seeds  int    `name:"seeds" default:"3" help:"Number of seeds, 1 to 1000."`
}

// Run compares the policies.
func (p *policies) Run() error {
	if p.Seeds < 1 || p.Seeds > 1000 {
		return fmt.Errorf("--seeds: %d is not between 1 and 1000", p.Seeds)
	}
	if err := os.MkdirAll(p.Folder, 0o755); err != nil {
		return fmt.Errorf("create the folder: %w", err)
	}
	report, err := comparer.Compare(comparer.Settings{
		Deployments: specifier.Deployments(), Scenarios: simulator.Scenarios(), Plan: loadtester.DefaultPlan(), Seed: p.Seed, Seeds: p.Seeds,
	})
	if err != nil {
		return err
	}
	errs := []error{writeFile(p.Folder, "policies.md", []byte(report.Markdown))}
	for name, image := range report.Images {
		errs = append(errs, writeFile(p.Folder, name, image))
	}
	fmt.Print(report.Markdown)
	return errors.Join(errs...)
}

func writeFile(folder, name string, data []byte) error {
	if err := os.WriteFile(filepath.Join(folder, name), data, 0o644); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	return nil
}

func main() {
	context := kong.Parse(&commands{}, kong.Name("rwbench"), kong.Description("Measures redwingledge."), kong.UsageOnError())
	context.FatalIfErrorf(context.Run())
}
