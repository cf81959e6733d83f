// Package route implements the policies that choose an upstream for a request.
package route
