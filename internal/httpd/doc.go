// Package httpd provides what the HTTP servers of all roles share: JSON
// responses, listeners, health checks and the metrics endpoint.
package httpd
