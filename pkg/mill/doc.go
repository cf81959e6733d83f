// Package mill is the core of cranberrymill: the types that all roles share,
// the interfaces for interchangeable behavior, and the registries in which
// implementations register themselves by name.
package mill
