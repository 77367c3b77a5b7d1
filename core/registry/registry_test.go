package registry_test

import (
	"testing"

	"damasklatch/core/registry"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a second registration that silently replaces a service, and against a service returned as a wrong type.
func TestFind(t *testing.T) {
	Convey("Given a registry with one service", t, func() {
		rg := registry.New()
		So(rg.Register("greeting", "hello"), ShouldBeNil)

		Convey("the service is found by name and type", func() {
			sv, err := registry.Find[string](rg, "greeting")
			So(err, ShouldBeNil)
			So(sv, ShouldEqual, "hello")
		})
		Convey("a wrong type, an unknown name and a duplicate registration return errors", func() {
			_, err := registry.Find[int](rg, "greeting")
			So(err, ShouldHaveSameTypeAs, &registry.TypeError{})
			_, err = registry.Find[string](rg, "other")
			So(err, ShouldHaveSameTypeAs, &registry.NotFoundError{})
			So(rg.Register("greeting", 1), ShouldHaveSameTypeAs, &registry.DuplicateError{})
		})
	})
}
