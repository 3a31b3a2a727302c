// Package jwaudit keeps the audit trail of a node: its latest changes of state
// and the catalogue changes it brought into force. The trail is in memory and
// bounded, since hosts keep nothing; each record is also a line of the log,
// which the operators' own collection may keep. The catalogue's full history
// is in the platform's key-value service, not here.
package jwaudit
