package watcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/redwingledge/redwingledge/gateway/models/viewer"
)

// filePeriod is the interval at which a FileSource reads its file.
const filePeriod = 500 * time.Millisecond

// FileSource reads views from a JSON file, for tests and for sites without entries. The version
// in the file is ignored: each change of the content produces a new version.
type FileSource struct {
	path    string
	last    []byte
	version uint64
}

var _ viewer.Source = (*FileSource)(nil)

// NewFileSource returns a source for the file at path.
func NewFileSource(path string) *FileSource { return &FileSource{path: path} }

// Watch waits until the content of the file changes. It returns an error if the file cannot be
// read or does not contain a valid view.
func (f *FileSource) Watch(ctx context.Context, _ uint64) (viewer.View, error) {
	for {
		data, err := os.ReadFile(f.path)
		if err != nil {
			return viewer.View{}, fmt.Errorf("read the view: %w", err)
		}
		if !bytes.Equal(data, f.last) {
			view, err := ParseView(data)
			if err != nil {
				return viewer.View{}, fmt.Errorf("read the view from %s: %w", f.path, err)
			}
			f.last = data
			f.version++
			view.Version = f.version
			return view, nil
		}
		select {
		case <-time.After(filePeriod):
		case <-ctx.Done():
			return viewer.View{}, ctx.Err()
		}
	}
}

// ParseView decodes and validates a view in JSON.
func ParseView(data []byte) (viewer.View, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var view viewer.View
	if err := decoder.Decode(&view); err != nil {
		return viewer.View{}, fmt.Errorf("decode the view: %w", err)
	}
	names := make(map[string]bool)
	for _, g := range view.Gateways {
		if g.Name == "" || g.DataCentre == "" || !g.Address.IsValid() || names[g.Name] {
			return viewer.View{}, fmt.Errorf("gateway %q needs a unique name, a data centre and an address", g.Name)
		}
		names[g.Name] = true
	}
	for _, r := range view.Backends {
		if err := r.Check(); err != nil {
			return viewer.View{}, fmt.Errorf("backend server %s: %w", r.ID, err)
		}
		if !view.HasService(r.Service) {
			return viewer.View{}, fmt.Errorf("backend server %s: service %q is not listed", r.ID, r.Service)
		}
	}
	return view, nil
}
