// Package ring has the bounded queue that joins two duties.
package ring
