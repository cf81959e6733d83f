// Package httpd has what the HTTP servers of all roles share: answers in JSON,
// health and metrics.
package httpd
