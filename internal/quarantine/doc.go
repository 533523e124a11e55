// Package quarantine finds the requests that end whichever instance runs them, and keeps
// them from being sent on.
package quarantine
