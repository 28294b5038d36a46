// Package class ranks calls by how long they may wait.
package class
