"""Tasks: each owns its sockets and its state and talks by messages."""
