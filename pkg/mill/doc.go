// Package mill is the kernel of cranberrymill: the types that every role
// shares, the interfaces behind which behavior varies, and the registries in
// which implementations enter themselves by name.
package mill
