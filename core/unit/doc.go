// Package unit defines named integer types for amounts, rates and fractions.
package unit
