package registry

import (
	"fmt"
	"slices"
	"sync"
)

// Name is the name of a service.
type Name string

// NotFoundError reports that no service is registered under the name.
type NotFoundError struct{ Name Name }

func (er *NotFoundError) Error() string {
	return fmt.Sprintf("no service is registered as %q", er.Name)
}

// TypeError reports that the service registered under a name does not have the requested type. Have is the service, and Want is
// the requested type.
type TypeError struct {
	Name Name
	Have any
	Want string
}

func (er *TypeError) Error() string {
	return fmt.Sprintf("service %q is a %T, not a %s", er.Name, er.Have, er.Want)
}

// DuplicateError reports that a service is already registered under the name.
type DuplicateError struct{ Name Name }

func (er *DuplicateError) Error() string {
	return fmt.Sprintf("a service is already registered as %q", er.Name)
}

// Registry maps names to services. Create it with New. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	services map[Name]any
}

// New returns an empty registry.
func New() *Registry { return &Registry{services: make(map[Name]any)} }

// Register adds a service under the name. The error is a *DuplicateError if the name is already in use.
func (rg *Registry) Register(name Name, service any) error {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if _, ok := rg.services[name]; ok {
		return &DuplicateError{Name: name}
	}
	rg.services[name] = service
	return nil
}

// Names returns the names of all services in alphabetical order.
func (rg *Registry) Names() []Name {
	rg.mu.RLock()
	defer rg.mu.RUnlock()
	names := make([]Name, 0, len(rg.services))
	for name := range rg.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Find returns the service with the name. The error is a *NotFoundError if there is none, and a *TypeError if the service does
// not have type T.
func Find[T any](rg *Registry, name Name) (T, error) {
	rg.mu.RLock()
	defer rg.mu.RUnlock()
	var zero T
	sv, ok := rg.services[name]
	if !ok {
		return zero, &NotFoundError{Name: name}
	}
	tv, ok := sv.(T)
	if !ok {
		return zero, &TypeError{Name: name, Have: sv, Want: fmt.Sprintf("%T", new(T))[1:]}
	}
	return tv, nil
}
