// Package jwaudit keeps the audit trail of a node: its latest changes of state
// and the catalogue changes that it put in force. The trail is bounded and kept
// in memory, since hosts have no persistent storage. Each record is also logged,
// so that the operators' log collection can keep it. The full history of the
// catalogue is in the platform's key-value service.
package jwaudit
