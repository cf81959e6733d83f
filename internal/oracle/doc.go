// Package oracle holds what several tests expect of the product, derived from the platform's pages and not from the code
// under test.
package oracle
