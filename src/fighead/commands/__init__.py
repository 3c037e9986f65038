"""Commands: operations of callers and operators that change state."""
