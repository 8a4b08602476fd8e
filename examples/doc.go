// Package examples contains sample settings and service documents of two sites. Its
// tests run the commands of their README pages, with separate processes.
package examples
