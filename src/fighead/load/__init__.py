"""Load generation, and checks of the scheduler's guarantees on the recorded history."""
