"""Tasks, which own their sockets and state and communicate by messages."""
